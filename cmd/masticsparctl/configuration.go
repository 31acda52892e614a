package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/juju/errors"
	"github.com/masticspar/masticspar/internal/configcheck"
	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/platform/store"
	"github.com/masticspar/masticspar/platform/written"
)

// checkConfiguration checks a configuration of the token mode.
func (c *command) checkConfiguration(a arguments) int {
	if err := a.checkConfigurationFlags(); err != nil {
		return c.fail(errors.WithType(err, errUsage))
	}
	in, err := readInput(&a)
	if err != nil {
		return c.fail(errors.WithType(err, errUnreadable))
	}
	r := configcheck.Check(in)
	if code := c.write(r, func(w io.Writer) { writeReport(w, r, in.InForce != nil) }); code != exitOK {
		return code
	}
	if len(r.Findings) > 0 {
		return exitInvalid
	}
	return exitOK
}

// checkConfigurationFlags checks which flags are used together.
func (a *arguments) checkConfigurationFlags() error {
	switch {
	case a.configuration == "":
		return errors.New("--old, --store and --flow-lifetime require --configuration")
	case a.inventory != "" || a.rules != "" || a.oldInventory != "" || a.oldRules != "" || a.operator != "":
		return errors.New("--configuration cannot be combined with the flags of the owner mode: " +
			"--inventory, --rules, --old-inventory, --old-rules and --operator")
	case a.old != "" && a.store != "":
		return errors.New("--old cannot be combined with --store")
	case a.old == "-":
		return errors.New("--old must be a file")
	case a.flowLifetime <= 0:
		return errors.Errorf("--flow-lifetime must be above 0, got %v", a.flowLifetime)
	case a.timeout <= 0:
		return errors.Errorf("--timeout must be above 0, got %v", a.timeout)
	}
	if a.store != "" {
		if _, err := netip.ParseAddrPort(a.store); err != nil {
			return errors.Errorf("--store must be an \"ip:port\", got %q", a.store)
		}
	}
	return nil
}

// readInput reads the files and the store that the arguments name.
func readInput(a *arguments) (*configcheck.Input, error) {
	in := &configcheck.Input{FlowLifetime: a.flowLifetime}
	var err error
	if in.Document, err = readDocument(a.configuration); err != nil {
		return nil, err
	}
	if a.old != "" {
		old, err := readDocument(a.old)
		if err != nil {
			return nil, err
		}
		if in.InForce = old.Used; in.InForce == nil {
			return nil, errors.Errorf("%s: entry VMs refuse it: %s %s", a.old, old.Faults[0].Path, old.Faults[0].Text)
		}
	}
	if a.store != "" {
		if in.InForce, in.State, err = readStore(a.store, a.timeout); err != nil {
			return nil, errors.Annotatef(err, "store %s", a.store)
		}
	}
	return in, nil
}

// readDocument reads a configuration from a file, or from standard input for "-".
func readDocument(name string) (*written.Document, error) {
	var b []byte
	var err error
	if name == "-" {
		b, err = io.ReadAll(os.Stdin)
	} else {
		b, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	d, err := store.ReadDocument(b)
	return d, errors.Annotate(err, name)
}

// readStore reads the whole store once. The configuration is nil if the store has none that
// entry VMs accept.
func readStore(address string, timeout time.Duration) (*registry.Configuration, *configcheck.State, error) {
	client, stop := store.New(address)
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var inForce *registry.Configuration
	s := &configcheck.State{}
	era, after := uint64(0), ""
	for {
		page, err := client.Read(ctx, after)
		if err != nil {
			return nil, nil, errors.Trace(err)
		}
		if after != "" && page.Era != era {
			return nil, nil, errors.New("restored from a copy while it was read")
		}
		for _, c := range page.Changes {
			switch {
			case c.Configuration != nil:
				inForce = c.Configuration
			case strings.HasPrefix(c.Fault, store.ConfigurationFault):
				s.ConfigurationFault = strings.TrimPrefix(c.Fault, store.ConfigurationFault)
			case c.Evacuated:
				s.EvacuatedZones = append(s.EvacuatedZones, c.Zone)
			case c.Host != nil:
				s.Hosts = append(s.Hosts, *c.Host)
			}
		}
		if era, after = page.Era, page.Next; after == "" {
			return inForce, s, nil
		}
	}
}

// writeReport writes a report as text; compared reports whether there was a configuration to compare with.
func writeReport(w io.Writer, r *configcheck.Report, compared bool) {
	_, _ = fmt.Fprintf(w, "configuration version %d: %d findings\n", r.Version, len(r.Findings))
	if len(r.Findings) > 0 {
		rows := [][]any{{"SEVERITY", "FIELD", "VALUE", "FINDING"}}
		for _, f := range r.Findings {
			rows = append(rows, []any{f.Severity, orDash(f.Path), printable(f.Value), printable(f.Text)})
		}
		writeTable(w, rows)
	}
	switch {
	case !compared || !r.Accepted:
	case len(r.Differences) == 0:
		_, _ = fmt.Fprintf(w, "\nno differences from version %d\n", r.InForce)
	default:
		_, _ = fmt.Fprintf(w, "\ndifferences from version %d:\n", r.InForce)
		rows := [][]any{{"KIND", "NAME", "CHANGE", "FROM", "TO", "OPEN FLOWS"}}
		for _, d := range r.Differences {
			rows = append(rows, []any{d.Kind, printable(d.Name), d.Change, printable(d.From), printable(d.To), d.Effect})
		}
		writeTable(w, rows)
	}
}

// printable returns text for a cell of a table. Names in a configuration may hold line ends and control sequences of
// terminals, which would change other lines of the table.
func printable(s string) string {
	if strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(s)
	}
	return orDash(s)
}
