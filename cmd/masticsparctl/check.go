package main

import (
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/juju/errors"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/operator"
)

// report is the result of the command check.
type report struct {
	// Inventory and Rules are the versions of the checked files.
	Inventory uint64 `json:"inventory"`
	Rules     uint64 `json:"rules"`
	// Ignored is the number of names in the rules that are missing from the inventory.
	Ignored int `json:"ignored-rules"`
	// Refused has an entry for each file that an entry VM would refuse, with the reason.
	Refused []string `json:"refused"`
	// Warnings describes valid content that is probably unintended.
	Warnings []string `json:"warnings"`
	// Compared reports whether the files were compared with a configuration. Changes is empty otherwise.
	Compared bool     `json:"compared"`
	Changes  []change `json:"changes"`
}

// change is a difference of a host between two configurations.
type change struct {
	Host    string `json:"host"`
	Service string `json:"service"`
	// Kind is added, removed, leaving, share, weight, zone, outside-zone, address or service.
	Kind string `json:"what"`
	From string `json:"from"`
	To   string `json:"to"`
}

// hostSummary has the fields of a host that check compares.
type hostSummary struct {
	service, zone        string
	address              netip.AddrPort
	weight, share        float64
	leaving, outsideZone bool
}

func (c *command) check(a arguments) int {
	switch {
	case a.inventory == "" || a.rules == "":
		return c.fail(errors.WithType(errors.New("check requires --inventory and --rules, or --configuration"), errUsage))
	case (a.oldInventory == "") != (a.oldRules == ""):
		return c.fail(errors.WithType(errors.New("--old-inventory and --old-rules must be used together"), errUsage))
	case a.oldInventory != "" && a.operator != "":
		return c.fail(errors.WithType(
			errors.New("--operator cannot be combined with --old-inventory and --old-rules"), errUsage))
	}
	catalog, err := loadCatalog(a.inventory, a.rules)
	if err != nil {
		return c.fail(err)
	}
	v := catalog.Versions()
	r := &report{
		Inventory: v.Inventory.Number, Rules: v.Rules.Number, Ignored: catalog.Ignored(), Warnings: warnings(catalog),
		Refused: []string{}, Changes: []change{},
	}
	switch {
	case a.oldInventory != "":
		old, err := loadCatalog(a.oldInventory, a.oldRules)
		if err != nil {
			return c.fail(err)
		}
		r.compare(v, old.Versions(), summarizeCatalog(old), summarizeCatalog(catalog))
	case a.operator != "":
		status, err := c.client.status()
		if err != nil {
			return c.fail(err)
		}
		running, err := versionsOf(status)
		if err != nil {
			return c.fail(err)
		}
		r.compare(v, running, summarizeStatus(status), summarizeCatalog(catalog))
	}
	if code := c.write(r, r.writeTable); code != exitOK {
		return code
	}
	if len(r.Refused) > 0 {
		return exitInvalid
	}
	return exitOK
}

// loadCatalog reads and validates both files.
func loadCatalog(inventory, rules string) (*fleet.Catalog, error) {
	c := &fleet.Catalog{}
	for _, f := range []struct {
		kind fleet.Kind
		name string
	}{{fleet.Inventory, inventory}, {fleet.Rules, rules}} {
		b, err := os.ReadFile(f.name)
		if err != nil {
			return nil, errors.WithType(err, errUsage)
		}
		if _, err := c.AcceptBytes(f.kind, f.name, b); err != nil {
			return nil, errors.Annotate(err, f.name)
		}
	}
	return c, nil
}

// compare adds refusals and changes that would follow if an entry VM with the running versions received the offered
// ones.
func (r *report) compare(offered, running fleet.Versions, before, after map[string]hostSummary) {
	r.Compared = true
	for _, kind := range fleet.Kinds {
		o, active := offered.Of(kind), running.Of(kind)
		switch {
		case o.Number < active.Number:
			r.Refused = append(r.Refused,
				fmt.Sprintf("%s: version %d is lower than %d, which is in force", kind, o.Number, active.Number))
		case o.Number == active.Number && o.Hash != active.Hash:
			r.Refused = append(r.Refused, fmt.Sprintf("%s: version %d is in force with other content", kind, o.Number))
		}
	}
	r.Changes = append(r.Changes, diff(before, after)...)
}

// versionsOf returns the versions of the active documents in a status. Documents that were never accepted have
// version 0.
func versionsOf(s *operator.Status) (v fleet.Versions, err error) {
	for _, d := range []struct {
		document operator.Document
		version  *fleet.Version
	}{{s.Inventory, &v.Inventory}, {s.Rules, &v.Rules}} {
		d.version.Number = d.document.Version
		if d.document.Version == 0 {
			continue
		}
		if _, err := fmt.Sscanf(d.document.Hash, "%016x", &d.version.Hash); err != nil {
			return v, errors.WithType(
				errors.Errorf("decode status: hash %q must be hexadecimal", d.document.Hash), errUnreachable)
		}
	}
	return v, nil
}

// warnings returns warnings about unknown names in the rules and about services without enough hosts for new flows: no
// host accepts them, no such host is in the availability zones of the service, or the shares add up to less than 1.
func warnings(c *fleet.Catalog) []string {
	list := []string{}
	if n := c.Ignored(); n > 0 {
		list = append(list, fmt.Sprintf("%d names in the rules are unknown and ignored", n))
	}
	for _, s := range c.Services() {
		serving, inside, shares, limited := 0, 0, 0.0, true
		for _, h := range s.Hosts {
			if h.Leaving {
				continue
			}
			serving++
			if !h.OutsideZone {
				inside++
			}
			limited = limited && h.MaxShare > 0
			shares += h.MaxShare
		}
		switch {
		case serving == 0:
			list = append(list, fmt.Sprintf("service %s has no host that accepts new flows", s.Name))
		case inside == 0:
			list = append(list, fmt.Sprintf("service %s has no host in its availability zones", s.Name))
		case limited && shares < 1:
			list = append(list, fmt.Sprintf("the shares of service %s add up to only %s", s.Name, formatShare(shares)))
		}
	}
	return list
}

func (r *report) writeTable(w io.Writer) {
	_, _ = fmt.Fprintf(w, "inventory version %d and rules version %d are valid\n", r.Inventory, r.Rules)
	for _, text := range r.Warnings {
		_, _ = fmt.Fprintln(w, "warning:", text)
	}
	for _, text := range r.Refused {
		_, _ = fmt.Fprintln(w, "would be refused:", text)
	}
	switch {
	case !r.Compared:
	case len(r.Changes) == 0:
		_, _ = fmt.Fprintln(w, "no host changes")
	default:
		rows := [][]any{{"SERVICE", "HOST", "CHANGE", "FROM", "TO"}}
		for _, c := range r.Changes {
			rows = append(rows, []any{c.Service, c.Host, c.Kind, orDash(c.From), orDash(c.To)})
		}
		writeTable(w, rows)
	}
}
