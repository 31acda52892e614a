package flow

import (
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/packet"
)

// search drops a packet that matches no pin and looks for the host that holds its connection. A pin that the packet
// does not match stays as it is meanwhile, so that a stray packet does not disturb the flow.
func (t *Table) search(now time.Duration, s *fleet.Service, n *pin, p *packet.Packet, hash uint64) Verdict {
	added := n == nil
	if added {
		if n = t.pins.insert(&p.Key, hash); n == nil {
			return Verdict{Reason: ReasonTableFull}
		}
		t.setUnverified(now, s, n, 0, searchTimeout)
	}
	c := t.addPending(n)
	if c == nil {
		if added {
			t.removePin(now, n)
		}
		return Verdict{Reason: ReasonSearching}
	}
	resumed := c.searching && now-c.startedAt < searchTimeout
	if !resumed {
		c.searching, c.startedAt = true, now
		c.probed, c.refused, c.awaitedHost = c.probed[:0], c.refused[:0], 0
	}
	// A host that lacks earlier payload takes a probe that follows it for a part of the window and does not reply, so
	// probes use the lowest sequence number of the connection.
	if !resumed || !near(p.Ack, c.ack) || !after(p.Seq, c.seq) {
		c.seq = p.Seq
	}
	c.service, c.ack = s, p.Ack
	if c.awaitedHost != 0 && now-c.sentAt < probeTimeout {
		return Verdict{Reason: ReasonSearching}
	}
	reason, sent := t.probe(now, n, c, true)
	if added && !sent && reason == ReasonSearching { // Without budget, unknown packets must not fill the table.
		t.removePin(now, n)
	}
	return Verdict{Reason: reason}
}

// probe sends a keep-alive to the next candidate of a search; restart begins the list again when its end is reached.
// It returns the reason to count and whether a probe was sent. The side record may be gone afterwards.
func (t *Table) probe(now time.Duration, n *pin, c *pendingFlow, restart bool) (string, bool) {
	c.awaitedHost = 0
	h := t.candidate(n, c)
	if h == nil && len(c.service.Hosts) > 0 && t.allRefused(c) {
		if now-c.startedAt >= resetAfter {
			t.failSearch(now, n, c)
			return ReasonUnknownFlow, false
		}
		c.probed, c.refused = c.probed[:0], c.refused[:0] // Later packets ask all hosts again.
		return ReasonSearching, false
	}
	if h == nil && restart {
		c.probed = c.probed[:0]
		h = t.candidate(n, c)
	}
	if h == nil || !t.allowProbe(now) {
		return ReasonSearching, false
	}
	c.probed = append(c.probed, h.ID)
	c.awaitedHost, c.probeAck, c.sentAt = h.ID, c.ack, now
	t.emit(now, h, packet.Segment{Key: n.key, Seq: c.seq - 1, Ack: c.ack, ACK: true})
	return ReasonSearching, true
}

// candidate returns the next host to ask: the assumed one, then by rank, then all others.
func (t *Table) candidate(n *pin, c *pendingFlow) *fleet.Host {
	eligible := func(h *fleet.Host) bool {
		return !slices.Contains(c.probed, h.ID) && !slices.Contains(c.refused, h.ID)
	}
	if h := hostOf(c.service, n.host); h != nil && eligible(h) {
		return h
	}
	for _, h := range t.rank(c.service, &n.key) {
		if eligible(h) {
			return h
		}
	}
	for _, h := range c.service.Hosts {
		if eligible(h) {
			return h
		}
	}
	return nil
}

func (t *Table) allRefused(c *pendingFlow) bool {
	for _, h := range c.service.Hosts {
		if !slices.Contains(c.refused, h.ID) {
			return false
		}
	}
	return true
}

// failSearch resets the caller of a connection that no host holds. The reset fits that connection alone.
func (t *Table) failSearch(now time.Duration, n *pin, c *pendingFlow) {
	reset := packet.Segment{Key: n.key.Reverse(), Seq: c.ack, RST: true}
	switch n.state {
	case unverified:
		t.removePin(now, n)
	case established: // The pinned host refused, too.
		t.setClosed(now, n, true)
	default:
		t.stopSearch(n, c)
	}
	t.emit(now, nil, reset)
}

// stopSearch ends the search but keeps what else the side record holds.
func (t *Table) stopSearch(n *pin, c *pendingFlow) {
	c.searching, c.awaitedHost = false, 0
	if n.state != halfOpen && !c.challenged {
		t.removePending(n)
	}
}

// searchReply handles a packet of a host for a flow that is searched; it returns false when the packet does not
// concern the search.
func (t *Table) searchReply(now time.Duration, s *fleet.Service, n *pin, c *pendingFlow, h *fleet.Host, p *packet.Packet) (Verdict, bool) {
	switch {
	case !c.searching, p.SYN:
		return Verdict{}, false
	case p.RST:
		// A reset that answers a segment carries its ACK number. Others may answer an older connection, whose host can
		// differ.
		if p.Seq != c.probeAck && p.Seq != c.ack {
			return Verdict{}, false
		}
		if !slices.Contains(c.refused, h.ID) {
			c.refused = append(c.refused, h.ID)
		}
		if c.awaitedHost != 0 && c.awaitedHost != h.ID {
			return Verdict{Reason: ReasonProbeReply}, true
		}
		if reason, _ := t.probe(now, n, c, false); reason == ReasonUnknownFlow {
			return Verdict{Reason: reason}, true
		}
		return Verdict{Reason: ReasonProbeReply}, true
	case !near(p.Seq, c.ack):
		return Verdict{}, false
	}
	bare := len(p.Payload) == 0 && !p.FIN
	// A host that has only got the SYN, from another entry VM, replies with an ACK too, and of 128 pairs of initial
	// sequence numbers one is near. Its number is exact by chance only once in 2^32. A host that has more in flight than
	// the caller acknowledged sends it again, which proves the pin.
	if bare && p.Seq != c.ack && p.Seq != c.probeAck {
		return Verdict{Reason: ReasonProbeReply}, true
	}
	if n.state == established && n.host == h.ID {
		n.server = p.End()
		t.stopSearch(n, c)
	} else {
		t.setEstablished(now, s, n, h, p.End(), c.seq)
	}
	if bare {
		return Verdict{Reason: ReasonProbeReply}, true
	}
	return t.passReply(now, s, n, h, p), true
}
