package main

import (
	"math/rand/v2"
	"slices"

	"github.com/masticspar/masticspar/internal/capacity"
	"github.com/masticspar/masticspar/internal/entry"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/standin/site"
)

// policy is a method to select the host of a new flow.
type policy struct {
	name string // in the output
	// setup modifies an entry VM before it starts. Nil selects masticspar without changes.
	setup func(s *site.Site, v *site.VM)
	// controlKinds lists the kinds of messages that the policy needs. Other messages are not counted as control bytes.
	controlKinds []entry.Kind
	// safe reports whether a safety violation under this policy is a fault of masticspar and fails the run.
	safe bool
}

var (
	masticspar = &policy{
		name: "masticspar", safe: true,
		controlKinds: []entry.Kind{entry.KindMembership, entry.KindConfiguration, entry.KindReport, entry.KindHint},
	}
	// hash uses equal weights and no shared state but the published configuration. Each entry VM handles every packet
	// itself and forwards none: a flow goes to the host in the flow table of this entry VM, and if it is not there, to
	// the host that ranks first by rendezvous hashing over the hosts that are not leaving. Rendezvous hashing moves the
	// fewest flows when the list of hosts changes, so it is the strongest baseline among the hash methods. The entry
	// VMs receive the configuration through the same watches and announcements as masticspar.
	hash = &policy{name: "hash", setup: func(_ *site.Site, v *site.VM) {
		h := &hasher{vm: v}
		v.HandleDatagram = h.handleDatagram
	}, controlKinds: []entry.Kind{entry.KindMembership, entry.KindConfiguration}}
	// leastFlows sends a new flow to the host with the fewest open flows as counted by this entry VM alone, with ties
	// broken at random. The rest of masticspar is unchanged (owners, forwarding, flow table, search, retries on another
	// host, connection limits), because the fabric sprays packets and flows can only be counted if each has one entry
	// VM.
	leastFlows = &policy{name: "least-flows", setup: func(s *site.Site, v *site.VM) {
		v.Engine.Choose = leastCost(s, v, func(f capacity.HostStats) float64 { return float64(f.Open) })
	}, controlKinds: []entry.Kind{entry.KindMembership, entry.KindConfiguration, entry.KindHint}}
	// ideal is masticspar with the current true capacity of each host instead of the learned one.
	ideal = &policy{name: "ideal", setup: func(s *site.Site, v *site.VM) {
		v.Engine.TrueCapacity = func(name string) float64 { return trueCapacity(s, s.Host(name)) }
	}, controlKinds: masticspar.controlKinds, safe: true}
	// idealShortest sends a new flow to the host with the lowest (open flows + 1) / true capacity, with the open flows
	// as counted by this entry VM. It is the second reference for the first-answer time; the target uses the better
	// one.
	idealShortest = &policy{name: "ideal-shortest", setup: func(s *site.Site, v *site.VM) {
		v.Engine.Choose = leastCost(s, v, func(f capacity.HostStats) float64 {
			return float64(f.Open+1) / max(trueCapacity(s, s.Host(f.Host.Name)), 1e-6)
		})
	}, controlKinds: leastFlows.controlKinds, safe: true}
)

// leastCost returns a function that selects the host with the lowest cost among those that are not leaving, not in
// avoid and below their connection limit. Ties are broken at random.
func leastCost(s *site.Site, v *site.VM, cost func(capacity.HostStats) float64) func(
	*fleet.Service, []uint32, []capacity.HostStats,
) (*fleet.Host, string) {
	random := rand.New(rand.NewPCG(s.Config.Seed, v.Engine.Seed))
	return func(_ *fleet.Service, avoid []uint32, stats []capacity.HostStats) (*fleet.Host, string) {
		var best *fleet.Host
		low, ties, reason := 0.0, 0, capacity.ReasonNoHost
		for _, f := range stats {
			if f.Host.Leaving || slices.Contains(avoid, f.Host.ID) {
				continue
			}
			if f.Open >= f.OpenLimit {
				reason = capacity.ReasonConnectionLimit
				continue
			}
			c := cost(f)
			switch {
			case best == nil || c < low:
				best, low, ties = f.Host, c, 1
			case c == low:
				if ties++; random.IntN(ties) == 0 {
					best = f.Host
				}
			}
		}
		if best == nil {
			return nil, reason
		}
		return best, ""
	}
}
