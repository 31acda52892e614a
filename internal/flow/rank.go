package flow

import (
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/rendezvous"
)

const (
	// expectedHosts is the number of hosts at the start of a rank that a new owner finds at little cost without a hint.
	expectedHosts = 2
	// Ranks change with learned weights and the configuration, so the host of a flow is compared with its rank
	// periodically. When the owner changes and has no hint, a UDP flow moves to another host, so its hint is also
	// repeated; a TCP flow only costs probes.
	segmentCheckSeconds  = 60
	datagramCheckSeconds = 5
)

// published returns the first n hosts of the service, ranked for the flow by their published weights. Hosts that are
// leaving or outside the zone rank last unless all is set or there are no others. The slice is valid until the next
// call.
func (t *Table) published(s *fleet.Service, k *packet.Key, all bool, n int) []*fleet.Host {
	t.ranker.Reset(k.Hash())
	usable := false
	for _, h := range s.Hosts {
		weight := h.Weight
		if !all && (h.Leaving || h.OutsideZone) {
			weight = 0
		}
		usable = usable || weight > 0
		t.ranker.Add(rendezvous.Hash(h.Name), weight)
	}
	t.hosts = t.hosts[:0]
	if !usable && !all {
		return t.published(s, k, true, n)
	}
	for _, i := range t.ranker.First(n) {
		t.hosts = append(t.hosts, s.Hosts[i])
	}
	return t.hosts
}

// rank returns the hosts in the rank order of a TCP flow; the slice is valid until the next call.
func (t *Table) rank(s *fleet.Service, k *packet.Key) []*fleet.Host {
	if t.Rank == nil {
		return t.published(s, k, true, len(s.Hosts))
	}
	t.hosts = t.Rank(s, k, t.hosts[:0])
	return t.hosts
}

// pick chooses the host of a new TCP flow, or returns why there is none.
func (t *Table) pick(now time.Duration, s *fleet.Service, k *packet.Key, avoid []uint32) (*fleet.Host, string) {
	if t.Pick != nil {
		h, reason := t.Pick(now, s, k, avoid)
		if h != nil && slices.Contains(avoid, h.ID) || h == nil && reason == "" {
			h, reason = nil, ReasonNoHost
		}
		return h, reason
	}
	for _, h := range t.published(s, k, true, len(s.Hosts)) {
		if !h.Leaving && !slices.Contains(avoid, h.ID) {
			return h, ""
		}
	}
	return nil, ReasonNoHost
}

// classify records whether the flow is an exception, which means that other entry VMs would not expect it at the host,
// and sends a hint if so.
func (t *Table) classify(now time.Duration, s *fleet.Service, n *pin, h *fleet.Host) {
	n.checked = uint16(now / time.Second)
	var first []*fleet.Host
	if n.key.Protocol == packet.UDP {
		// An owner without a hint sends a UDP flow to the first host and to no other.
		first = t.published(s, &n.key, false, 1)
	} else {
		first = t.rank(s, &n.key)
		first = first[:min(expectedHosts, len(first))]
	}
	for _, f := range first {
		if f.ID == h.ID {
			n.flags &^= exception
			return
		}
	}
	if t.Hint != nil && (!n.is(exception) || n.key.Protocol == packet.UDP) {
		t.Hint(now, s, &n.key, h)
	}
	n.flags |= exception
}

// reclassify calls classify when the check interval has passed since the last call.
func (t *Table) reclassify(now time.Duration, s *fleet.Service, n *pin, h *fleet.Host) {
	period := uint16(segmentCheckSeconds)
	if n.key.Protocol == packet.UDP {
		period = datagramCheckSeconds
	}
	if uint16(now/time.Second)-n.checked >= period {
		t.classify(now, s, n, h)
	}
}
