package main

import (
	"math/rand/v2"
	"slices"

	"github.com/masticspar/masticspar/internal/capacity"
	"github.com/masticspar/masticspar/internal/entry"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/standin/site"
)

// policy is a way to choose the host of a new flow.
type policy struct {
	name string
	// setup changes an entry VM before it starts; nil leaves masticspar.
	setup func(s *site.Site, v *site.VM)
	// kinds are the messages that the policy needs; others are not counted as control bytes.
	kinds []entry.Kind
	// safe says that a safety violation is a fault of this project.
	safe bool
}

var (
	masticspar = &policy{
		name: "masticspar", safe: true,
		kinds: []entry.Kind{entry.KindMembership, entry.KindConfiguration, entry.KindReport, entry.KindHint},
	}
	// hash uses equal weights and no shared state but the published configuration. Each entry VM handles every packet
	// itself and forwards none: a flow goes to the host in the flow table of this entry VM, and if it is not there, to the
	// host that ranks first by rendezvous hashing over the hosts that are not leaving. Rendezvous hashing moves the fewest
	// flows when the list of hosts changes, so it is the most favourable of the table hashes. Configuration reaches it
	// through the same watches and announcements as masticspar.
	hash = &policy{name: "hash", setup: func(_ *site.Site, v *site.VM) {
		h := &hasher{vm: v}
		v.HandleDatagram = h.datagram
	}, kinds: []entry.Kind{entry.KindMembership, entry.KindConfiguration}}
	// leastFlows sends a new flow to the host with the fewest open flows that this entry VM itself counts, with ties broken
	// at random. It keeps everything else of masticspar (owners, forwarding, flow table, search, retries on another host,
	// connection limits), because the fabric sprays packets and counts of flows need one entry VM for each flow.
	leastFlows = &policy{name: "least-flows", setup: func(s *site.Site, v *site.VM) {
		v.Engine.Choose = least(s, v, func(f capacity.HostStats) float64 { return float64(f.Open) })
	}, kinds: []entry.Kind{entry.KindMembership, entry.KindConfiguration, entry.KindHint}}
	// ideal is masticspar with the true capacity of each host at each moment instead of the learned one.
	ideal = &policy{name: "ideal", setup: func(s *site.Site, v *site.VM) {
		v.Engine.TrueCapacity = func(name string) float64 { return trueCapacity(s, s.Host(name)) }
	}, kinds: masticspar.kinds, safe: true}
	// idealShortest sends a new flow to the host with the least (open flows + 1) / true capacity by the counts of this entry
	// VM. It is a second reference for the first-answer time; the better one counts.
	idealShortest = &policy{name: "ideal-shortest", setup: func(s *site.Site, v *site.VM) {
		v.Engine.Choose = least(s, v, func(f capacity.HostStats) float64 {
			return float64(f.Open+1) / max(trueCapacity(s, s.Host(f.Host.Name)), 1e-6)
		})
	}, kinds: leastFlows.kinds, safe: true}
)

// least returns a choice of the host with the least cost among those that are not leaving and not full.
func least(s *site.Site, v *site.VM, cost func(capacity.HostStats) float64) func(*fleet.Service, []uint32, []capacity.HostStats) (*fleet.Host, string) {
	random := rand.New(rand.NewPCG(s.Config.Seed, v.Engine.Seed))
	return func(_ *fleet.Service, avoid []uint32, figures []capacity.HostStats) (*fleet.Host, string) {
		var best *fleet.Host
		low, ties, reason := 0.0, 0, capacity.ReasonNoHost
		for _, f := range figures {
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
