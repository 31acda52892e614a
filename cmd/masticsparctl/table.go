package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/masticspar/masticspar/internal/operator"
)

func (c *command) status() int {
	s, err := c.client.status()
	if err != nil {
		return c.fail(err)
	}
	return c.write(s, func(w io.Writer) { writeStatus(w, s) })
}

func (c *command) flow(a arguments) int {
	f, err := c.client.flow(a.protocol, a.source, a.destination)
	if err != nil {
		return c.fail(err)
	}
	return c.write(f, func(w io.Writer) {
		writeTable(w, [][]any{
			{"FLOW", "SERVICE", "OWNER", "BACKUP", "HOST", "STATE", "WHY"},
			{
				fmt.Sprintf("%s/%s>%s", f.Protocol, f.Source, f.Destination), orDash(f.Service), orDash(f.Owner),
				orDash(f.Backup), orDash(f.Host), orDash(f.State), f.Why,
			},
		})
	})
}

func (c *command) drain() int {
	d, err := c.client.drain()
	if err != nil {
		return c.fail(err)
	}
	return c.write(d, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s is draining %d open flows and stops within %s\n", d.Name, d.OpenFlows,
			formatSeconds(d.TimeoutSeconds))
	})
}

func writeStatus(w io.Writer, s *operator.Status) {
	state := "not ready"
	switch {
	case s.Draining:
		state = "draining"
	case s.Ready:
		state = "ready"
	}
	_, _ = fmt.Fprintf(w, "%s: %s\n\n", s.Name, state)
	writeTable(w, [][]any{
		{"DOCUMENT", "VERSION", "HASH", "AGE", "SOURCE"},
		{
			"inventory", s.Inventory.Version, orDash(s.Inventory.Hash), formatSeconds(s.Inventory.AgeSeconds),
			orDash(s.Inventory.Source),
		},
		{
			"rules", s.Rules.Version, orDash(s.Rules.Hash), formatSeconds(s.Rules.AgeSeconds),
			orDash(s.Rules.Source),
		},
	})
	if s.IgnoredRules > 0 {
		_, _ = fmt.Fprintf(w, "%d names in the rules are unknown and ignored\n", s.IgnoredRules)
	}
	if r := s.LastRefusal; r != nil {
		_, _ = fmt.Fprintf(w, "last refusal: %s from %s, %s ago: %s\n", r.Document, r.Source,
			formatSeconds(r.AgeSeconds), r.Error)
	}
	peers := [][]any{{"PEER", "REGION", "ZONE", "SIZE", "STATE"}}
	for _, p := range s.Peers {
		peers = append(peers, []any{p.Name, p.Region, p.AvailabilityZone, p.Size, p.State})
	}
	_, _ = fmt.Fprintln(w)
	writeTable(w, peers)
	hosts := [][]any{{
		"SERVICE", "HOST", "ZONE", "STATE", "WEIGHT", "LEARNED", "SHARE", "FLOWS", "FIRST-ANSWER", "REFUSALS",
	}}
	for _, v := range s.Services {
		for _, h := range v.Hosts {
			hosts = append(hosts, []any{
				v.Name, h.Name, h.AvailabilityZone, h.State, h.Weight, fmt.Sprintf("%.2f", h.LearnedWeight),
				formatShare(h.MaxShare), h.OpenFlows, fmt.Sprintf("%.1f ms", h.FirstAnswerMS), formatCounts(h.Refusals),
			})
		}
	}
	_, _ = fmt.Fprintln(w)
	writeTable(w, hosts)
}

func writeTable(w io.Writer, rows [][]any) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = fmt.Sprint(cell)
		}
		_, _ = fmt.Fprintln(t, strings.Join(cells, "\t"))
	}
	_ = t.Flush()
}

// formatSeconds formats a duration in seconds, rounded to 100 ms.
func formatSeconds(seconds float64) string {
	return time.Duration(seconds * float64(time.Second)).Round(100 * time.Millisecond).String()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// formatShare formats a share between 0 and 1 as a percentage, and 0 (no limit) as a dash.
func formatShare(f float64) string {
	if f == 0 {
		return "-"
	}
	return fmt.Sprintf("%g%%", f*100)
}

func formatCounts(m map[string]int64) string {
	var parts []string
	for name, n := range m {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", name, n))
		}
	}
	slices.Sort(parts)
	return orDash(strings.Join(parts, " "))
}
