package configcheck

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/masticspar/masticspar/internal/registry"
)

// Kinds of a Difference.
const (
	KindRoute   = "route"
	KindService = "service"
)

// Effects of a Difference on open flows.
const (
	effectNone    = "none"
	effectStay    = "stay at their servers"
	effectRemoved = "entry VMs forward them until they end; new flows are reset"
	effectRetry   = "are reset, or no longer reset, if their server is lost"
	effectSilence = "may be reset earlier or later if their server is silent"
)

// effectUnlisted is the effect of a service that is no longer listed. Entry VMs forget its servers after the
// retention.
var effectUnlisted = fmt.Sprintf("are forwarded for %v after the next report of their server",
	registry.DefaultRetention)

// Difference is a change to the configuration in force.
type Difference struct {
	// Kind is KindRoute or KindService.
	Kind string `json:"kind"`
	// Name is the name of the service, or the name and the address of the route.
	Name string `json:"name"`
	// Change is added, removed or the field that changes.
	Change string `json:"change"`
	From   string `json:"from"`
	To     string `json:"to"`
	// Effect is the effect on the open flows of the route or the service.
	Effect string `json:"effect"`
}

// compare adds the differences from the configuration in force. They are those of the values that entry VMs use.
func (c *checker) compare() {
	c.report.InForce = c.InForce.Version
	if c.Document.Used == nil {
		return
	}
	list := append(compareRoutes(c.InForce, c.Document.Used), compareServices(c.InForce, c.Document.Used)...)
	slices.SortStableFunc(list, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	c.report.Differences = append(c.report.Differences, list...)
}

// routesOf returns the routes in force, by address.
func routesOf(c *registry.Configuration) map[netip.AddrPort]*registry.Route {
	routes := make(map[netip.AddrPort]*registry.Route, len(c.Routes))
	for i := range c.Routes {
		routes[c.Routes[i].Address] = &c.Routes[i]
	}
	return routes
}

func routeName(r *registry.Route) string { return fmt.Sprintf("%s %v", r.Name, r.Address) }

func compareRoutes(before, after *registry.Configuration) []Difference {
	var list []Difference
	was, is := routesOf(before), routesOf(after)
	for address, r := range was {
		if is[address] == nil {
			list = append(list, Difference{Kind: KindRoute, Name: routeName(r), Change: "removed", Effect: effectRemoved})
		}
	}
	for address, r := range is {
		old := was[address]
		if old == nil {
			list = append(list, Difference{Kind: KindRoute, Name: routeName(r), Change: "added", Effect: effectNone})
			continue
		}
		add := func(change string, from, to any, effect string) {
			if from, to := fmt.Sprint(from), fmt.Sprint(to); from != to {
				list = append(list, Difference{KindRoute, routeName(r), change, from, to, effect})
			}
		}
		add("name", old.Name, r.Name, effectNone)
		add("services", formatTargets(old.Targets), formatTargets(r.Targets), effectStay)
		add("idempotent", old.Idempotent, r.Idempotent, effectRetry)
		silence := effectNone
		if r.Idempotent { // Other flows are not reset because of a silent server.
			silence = effectSilence
		}
		add("target-latency", old.TargetLatency, r.TargetLatency, silence)
		add("timeout", old.Timeout, r.Timeout, effectNone)
		add("priority", old.Priority, r.Priority, effectNone)
	}
	return list
}

// formatTargets returns the services of a route with the weights of a split route.
func formatTargets(list []registry.Target) string {
	if len(list) == 1 {
		return list[0].Service
	}
	var parts []string
	for _, t := range list {
		parts = append(parts, fmt.Sprintf("%s:%g", t.Service, t.Weight))
	}
	return strings.Join(parts, " ")
}

func compareServices(before, after *registry.Configuration) []Difference {
	var list []Difference
	add := func(name, change, from, to, effect string) {
		list = append(list, Difference{KindService, name, change, from, to, effect})
	}
	was, is := limitsOf(before), limitsOf(after)
	switch {
	case len(was) > 0 && len(is) == 0:
		add("*", "unlisted services are used", "false", "true", effectNone)
	case len(was) == 0 && len(is) > 0:
		add("*", "unlisted services are used", "true", "false", effectUnlisted)
	}
	for name := range was {
		if _, ok := is[name]; !ok && len(is) > 0 {
			add(name, "removed", "", "", effectUnlisted)
		}
	}
	for name, l := range is {
		old, ok := was[name]
		if !ok {
			add(name, "added", "", "", effectNone)
			old = l
		}
		if from, to := fmt.Sprint(old.Rate), fmt.Sprint(l.Rate); from != to {
			add(name, "cold-per-s", from, to, effectNone)
		}
		if from, to := fmt.Sprint(old.WarmUp), fmt.Sprint(l.WarmUp); from != to {
			add(name, "warm-up", from, to, effectNone)
		}
	}
	return list
}

// limitsOf returns the services with their limits for cold servers; a service without a limit has a zero one.
func limitsOf(c *registry.Configuration) map[string]registry.ColdLimit {
	limits := make(map[string]registry.ColdLimit, len(c.Services))
	for _, name := range c.Services {
		limits[name] = c.ColdLimit(name)
	}
	return limits
}
