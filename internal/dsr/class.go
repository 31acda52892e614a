package dsr

import (
	"net/netip"

	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/registry"
)

// classify returns the classes of flows by the address of their route. A route is urgent if another route with a less
// urgent priority uses one of its services.
func classify(routes []registry.Route) map[netip.AddrPort]conntrack.Class {
	least := map[string]int{} // least urgent priority of the routes of each service
	for i := range routes {
		for _, t := range routes[i].Targets {
			least[t.Service] = max(least[t.Service], routes[i].Priority)
		}
	}
	classes := make(map[netip.AddrPort]conntrack.Class, len(routes))
	for i := range routes {
		r := &routes[i]
		c := conntrack.Class{Priority: int32(r.Priority), TargetLatency: r.TargetLatency}
		for _, t := range r.Targets {
			c.Urgent = c.Urgent || r.Priority < least[t.Service]
		}
		classes[r.Address] = c
	}
	return classes
}
