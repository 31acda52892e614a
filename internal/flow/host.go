package flow

import (
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/packet"
)

// hostSegment handles a TCP packet that a host sent for a flow with a pin.
func (t *Table) hostSegment(now time.Duration, s *fleet.Service, n *pin, h *fleet.Host, p *packet.Packet) Verdict {
	if c := t.pendingOf(n); c != nil {
		if v, ok := t.searchReply(now, s, n, c, h, p); ok {
			return v
		}
		if v, ok := t.challengeReply(now, n, c, h, p); ok {
			return v
		}
	}
	// A host that holds an older connection of the port, or has only received a SYN, replies to probes with an ACK that
	// does not match what the caller acknowledged. Such a reply must not end the search for the right host.
	c := t.pendingOf(n)
	searching := c != nil && c.searching
	if n.state == unverified {
		switch {
		case p.RST, p.SYN:
			return Verdict{Reason: ReasonUnknownFlow}
		case searching:
			return Verdict{Reason: ReasonCrossedReply}
		}
		return t.learnSegment(now, s, n, h, p)
	}
	if n.host != h.ID {
		// A host that received the SYN of the flow from another entry VM can send an ACK without serving the flow. Until
		// the caller confirms the pin, a later packet of another host therefore replaces it.
		if n.state == established && n.is(unconfirmed) && !searching && !p.RST && !p.SYN {
			return t.learnSegment(now, s, n, h, p)
		}
		return Verdict{Reason: ReasonCrossedReply}
	}
	if n.state == halfOpen {
		return t.hostHandshake(now, s, n, h, p)
	}
	switch inWindow := near(p.Seq, n.hostSeq); {
	case (p.RST || p.SYN) && !inWindow:
		return Verdict{Reason: ReasonUnknownFlow}
	case p.RST:
		if n.state == established {
			t.setClosed(now, n, true)
		}
		return Verdict{Action: ToCaller}
	case p.SYN, !inWindow && searching:
		return Verdict{Action: ToCaller}
	case !inWindow: // Another entry VM opened a new connection on the host, or the flow advanced through another entry VM.
		return t.learnSegment(now, s, n, h, p)
	}
	return t.passReply(now, s, n, h, p)
}

// hostHandshake handles a packet from the host of a half-open pin.
func (t *Table) hostHandshake(now time.Duration, s *fleet.Service, n *pin, h *fleet.Host, p *packet.Packet) Verdict {
	switch {
	case p.RST && n.is(accepted):
		if !near(p.Seq, n.hostSeq) && (!p.ACK || p.Ack != n.callerSeq) {
			return Verdict{Reason: ReasonUnknownFlow}
		}
		t.removePin(now, n) // A closed pin would accept payload that the caller did not send to this host.
		return Verdict{Action: ToCaller}
	case p.RST:
		// Only the reply to this SYN has a matching ACK number; the reply to a probe has none.
		if !p.ACK || p.Ack != n.callerSeq {
			return Verdict{Reason: ReasonUnknownFlow}
		}
		t.observe(now, n, flowevent.Event{Kind: flowevent.Refused, Elapsed: now - n.since})
		t.reportEnd(now, n, true)
		if c := t.pendingOf(n); c == nil || len(c.syn) == 0 {
			t.removePin(now, n)
			return Verdict{Action: ToCaller, Reason: ReasonHostRefused}
		}
		return t.retryRefused(now, s, n)
	case p.SYN:
		if !p.ACK || p.Ack != n.callerSeq {
			return Verdict{Reason: ReasonUnknownFlow}
		}
		n.hostSeq = p.Seq
		if !n.is(accepted) {
			n.flags |= accepted
			t.observe(now, n, flowevent.Event{Kind: flowevent.Accepted, Elapsed: now - n.since})
		}
		n.extend(now, shortTimeout)
		return Verdict{Action: ToCaller}
	case n.is(accepted) && len(p.Payload) > 0 && near(p.Seq, n.hostSeq):
		// A host sends payload only after the caller's ACK of its SYN-ACK, which went through another entry VM.
		t.removePending(n)
		n.state = established
		n.flags |= unconfirmed
		t.classify(now, s, n, h)
		return t.passReply(now, s, n, h, p)
	}
	// The host may hold an older connection of the same port; its ACK makes the caller reset that connection.
	return Verdict{Action: ToCaller}
}

// learnSegment pins the flow to the host that sent a segment of it.
func (t *Table) learnSegment(now time.Duration, s *fleet.Service, n *pin, h *fleet.Host, p *packet.Packet) Verdict {
	t.setEstablished(now, s, n, h, p.End(), p.Ack)
	n.flags |= unconfirmed
	return t.passReply(now, s, n, h, p)
}

// passReply forwards a packet of the pinned host to the caller and updates the pin.
func (t *Table) passReply(now time.Duration, s *fleet.Service, n *pin, h *fleet.Host, p *packet.Packet) Verdict {
	if after(p.End(), n.hostSeq) {
		n.hostSeq = p.End()
	}
	if n.state == closed {
		return Verdict{Action: ToCaller}
	}
	n.extend(now, idleTimeout(s, packet.TCP))
	if len(p.Payload) > 0 {
		t.recordResponse(now, n)
	}
	if p.FIN {
		n.flags |= hostDone
	}
	t.reclassify(now, s, n, h)
	if n.is(callerDone) && n.is(hostDone) {
		t.setClosed(now, n, false)
	}
	return Verdict{Action: ToCaller}
}

// challengeReply handles the reply to the probe that was sent in place of a SYN. It reports false when the packet must
// be handled as usual.
func (t *Table) challengeReply(
	now time.Duration, n *pin, c *pendingFlow, h *fleet.Host, p *packet.Packet,
) (Verdict, bool) {
	if !c.challenged || n.host != h.ID || p.SYN {
		return Verdict{}, false
	}
	switch {
	case p.RST && p.Seq == c.challengeAck, !p.RST && !near(p.Seq, n.hostSeq):
		t.setClosed(now, n, true)
		return Verdict{Reason: ReasonProbeReply}, true
	case !p.RST:
		c.challenged = false
		if !c.searching {
			t.removePending(n)
		}
	}
	return Verdict{}, false
}
