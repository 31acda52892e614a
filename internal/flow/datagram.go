package flow

import (
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/packet"
)

// callerDatagram forwards a datagram to the pinned host. A new flow goes to the first host by published weight, which
// is the same host at every entry VM.
func (t *Table) callerDatagram(now time.Duration, s *fleet.Service, n *pin, p *packet.Packet, hash uint64) Verdict {
	var h *fleet.Host
	if n != nil {
		h = hostOf(s, n.host)
	}
	if h == nil {
		first := t.published(s, &p.Key, false, 1)
		if len(first) == 0 {
			return Verdict{Reason: ReasonNoHost}
		}
		h = first[0]
		if n == nil {
			if n = t.pins.insert(&p.Key, hash); n == nil {
				return Verdict{Reason: ReasonTableFull}
			}
		}
		t.setEstablished(now, s, n, h, 0, 0)
	}
	// UDP has no sequence numbers to verify: an unverified pin is used until return traffic or a hint names another host.
	if !n.is(counted) {
		t.assignHost(now, n, h.ID)
		n.flags &^= hinted
	}
	n.extend(now, datagramIdleTimeout)
	if len(p.Payload) > 0 {
		t.recordRequest(now, n)
	}
	t.reclassify(now, s, n, h)
	return Verdict{Action: ToHost, Host: h}
}

func (t *Table) hostDatagram(now time.Duration, s *fleet.Service, n *pin, h *fleet.Host, p *packet.Packet) Verdict {
	switch {
	case n.state == unverified && n.host == h.ID && n.is(counted):
		n.state = established
	case n.state == unverified:
		t.setEstablished(now, s, n, h, 0, 0)
	case n.host != h.ID:
		return Verdict{Reason: ReasonCrossedReply}
	}
	n.extend(now, datagramIdleTimeout)
	if len(p.Payload) > 0 {
		t.recordResponse(now, n)
	}
	t.reclassify(now, s, n, h)
	return Verdict{Action: ToCaller}
}
