package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/operator"
)

// summarizeCatalog returns the hosts of checked files by name.
func summarizeCatalog(c *fleet.Catalog) map[string]hostSummary {
	hosts := map[string]hostSummary{}
	for _, s := range c.Services() {
		for _, h := range s.Hosts {
			hosts[h.Name] = hostSummary{
				service: s.Name, zone: h.Zone, address: h.Address, weight: h.Weight, share: h.MaxShare,
				leaving: h.Leaving, outsideZone: h.OutsideZone,
			}
		}
	}
	return hosts
}

// summarizeStatus returns the hosts of a running entry VM by name.
func summarizeStatus(s *operator.Status) map[string]hostSummary {
	hosts := map[string]hostSummary{}
	for _, v := range s.Services {
		for _, h := range v.Hosts {
			hosts[h.Name] = hostSummary{
				service: v.Name, zone: h.AvailabilityZone, address: h.Address, weight: h.Weight, share: h.MaxShare,
				leaving: h.Leaving, outsideZone: h.OutsideZone,
			}
		}
	}
	return hosts
}

// diff returns the differences of all hosts, sorted by service, host and kind of change.
func diff(before, after map[string]hostSummary) []change {
	var list []change
	for name, old := range before {
		if _, ok := after[name]; !ok {
			list = append(list, change{Host: name, Service: old.service, Kind: "removed"})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		h := after[name]
		old, ok := before[name]
		if !ok {
			list = append(list, change{Host: name, Service: h.service, Kind: "added"})
			// The share and the flags of an added host are listed as changes when they are set.
			old = hostSummary{service: h.service, zone: h.zone, address: h.address, weight: h.weight}
		}
		add := func(kind string, from, to any) {
			if from != to {
				list = append(list, change{Host: name, Service: h.service, Kind: kind, From: fmt.Sprint(from), To: fmt.Sprint(to)})
			}
		}
		add("service", old.service, h.service)
		add("zone", old.zone, h.zone)
		add("address", old.address, h.address)
		add("weight", old.weight, h.weight)
		add("share", formatShare(old.share), formatShare(h.share))
		add("leaving", old.leaving, h.leaving)
		add("outside-zone", old.outsideZone, h.outsideZone)
	}
	slices.SortFunc(list, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Kind, b.Kind))
	})
	return list
}
