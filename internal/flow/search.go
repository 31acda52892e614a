package flow

import (
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/packet"
)

// search drops a packet that matches no pin and searches for the host that holds its connection. A pin of the same key
// stays unchanged until a host is found, so that a stray packet does not disturb its flow.
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
	// A host that has not received earlier payload accepts a probe after that payload as part of the window and does not
	// reply, so probes use the lowest sequence number of the connection.
	if !resumed || !near(p.Ack, c.ack) || !after(p.Seq, c.seq) {
		c.seq = p.Seq
	}
	c.service, c.ack = s, p.Ack
	if c.awaitedHost != 0 && now-c.sentAt < probeTimeout {
		return Verdict{Reason: ReasonSearching}
	}
	reason, sent := t.probe(now, n, c, true)
	if added && !sent && reason == ReasonSearching { // Packets beyond the probe budget must not fill the table.
		t.removePin(now, n)
	}
	return Verdict{Reason: reason}
}

// probe sends a keep-alive to the next candidate of a search; with restart set, it returns to the first candidate after
// the last one. It returns the reason to count and whether a probe was sent. It may free the pending state of the flow.
func (t *Table) probe(now time.Duration, n *pin, c *pendingFlow, restart bool) (string, bool) {
	c.awaitedHost = 0
	h := t.candidate(n, c)
	if h == nil && len(c.service.Hosts) > 0 && t.allRefused(c) {
		if now-c.startedAt >= resetAfter {
			t.failSearch(now, n, c)
			return ReasonUnknownFlow, false
		}
		c.probed, c.refused = c.probed[:0], c.refused[:0] // Later packets probe all hosts again.
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

// candidate returns the next host to probe: first the assumed host, then the hosts by rank, then all others. It returns
// nil when all have been probed.
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

// failSearch resets the caller of a connection that no host holds. The sequence number of the RST matches only that
// connection.
func (t *Table) failSearch(now time.Duration, n *pin, c *pendingFlow) {
	reset := packet.Segment{Key: n.key.Reverse(), Seq: c.ack, RST: true}
	switch n.state {
	case unverified:
		t.removePin(now, n)
	case established: // The pinned host also refused.
		t.setClosed(now, n, true)
	default:
		t.stopSearch(n, c)
	}
	t.emit(now, nil, reset)
}

// stopSearch ends the search. It keeps the pending state of a handshake or a challenge.
func (t *Table) stopSearch(n *pin, c *pendingFlow) {
	c.searching, c.awaitedHost = false, 0
	if n.state != halfOpen && !c.challenged {
		t.removePending(n)
	}
}

// searchReply handles a packet of a host for a flow with a search in progress. It reports false when the packet is not
// part of the search.
func (t *Table) searchReply(
	now time.Duration, s *fleet.Service, n *pin, c *pendingFlow, h *fleet.Host, p *packet.Packet,
) (Verdict, bool) {
	switch {
	case !c.searching, p.SYN:
		return Verdict{}, false
	case p.RST:
		// The sequence number of a RST is the ACK number of the segment that caused it. Any other RST may belong to an
		// older connection on another host.
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
	// A host that has only received the SYN, from another entry VM, also replies with an ACK, and one in 128 pairs of
	// initial sequence numbers is near. An exact match by chance has a probability of 2^-32. A host that has more in
	// flight than the caller acknowledged retransmits payload, which verifies the pin.
	if bare && p.Seq != c.ack && p.Seq != c.probeAck {
		return Verdict{Reason: ReasonProbeReply}, true
	}
	if n.state == established && n.host == h.ID {
		n.hostSeq = p.End()
		t.stopSearch(n, c)
	} else {
		t.setEstablished(now, s, n, h, p.End(), c.seq)
	}
	if bare {
		return Verdict{Reason: ReasonProbeReply}, true
	}
	return t.passReply(now, s, n, h, p), true
}
