package flow

import (
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/packet"
)

// refuse replies to the SYN of a caller with a RST.
func (t *Table) refuse(now time.Duration, p *packet.Packet, reason string) Verdict {
	t.emit(now, nil, p.Refusal())
	return Verdict{Reason: reason}
}

func (t *Table) callerSYN(now time.Duration, s *fleet.Service, n *pin, p *packet.Packet, hash uint64) Verdict {
	switch {
	case len(p.Payload) > 0:
		return Verdict{Reason: ReasonSYNWithData}
	case n == nil, n.state == closed, n.state == unverified:
		return t.newFlow(now, s, n, p, hash)
	case n.state == established:
		return t.challenge(now, s, n, p, hash)
	case n.callerSeq != p.Seq+1: // The caller opens another connection from the same port.
		return t.newFlow(now, s, n, p, hash)
	}
	h := hostOf(s, n.host)
	if !n.is(accepted) && now-n.since >= retryAfter || h == nil {
		if v, ok := t.retryUnanswered(now, s, n, h, p); ok {
			return v
		}
		// Without a retry the flow stays at its host. The event is still needed, so that new flows avoid the host.
		t.reportUnanswered(now, n)
	}
	n.extend(now, shortTimeout)
	return Verdict{Action: ToHost, Host: h}
}

// newFlow pins the flow of a SYN to the host that Pick chooses.
func (t *Table) newFlow(now time.Duration, s *fleet.Service, n *pin, p *packet.Packet, hash uint64) Verdict {
	if n != nil {
		t.removePin(now, n)
	}
	if t.pins.count >= t.pins.capacity {
		return t.refuse(now, p, ReasonTableFull)
	}
	h, reason := t.pick(now, s, &p.Key, nil)
	if h == nil {
		return t.refuse(now, p, reason)
	}
	n = t.pins.insert(&p.Key, hash)
	n.state, n.epoch, n.service = halfOpen, t.epoch, s.ID
	n.callerSeq = p.Seq + 1
	// Without a record of the SYN, a refusal by the host is forwarded to the caller, which may retry.
	if c := t.addPending(n); c != nil {
		c.syn = append(c.syn[:0], p.Bytes...)
	}
	t.recordSYN(now, s, n, h)
	return Verdict{Action: ToHost, Host: h}
}

// recordSYN records that the SYN of the half-open pin is sent to the host.
func (t *Table) recordSYN(now time.Duration, s *fleet.Service, n *pin, h *fleet.Host) {
	n.since = now
	n.extend(now, shortTimeout)
	if c := t.pendingOf(n); c != nil {
		c.service = s
		c.tried = append(c.tried, h.ID)
	}
	t.assignHost(now, n, h.ID)
}

// retryUnanswered sends the retransmitted SYN of a caller to another host, because h did not respond or is no longer
// published. It reports false when the SYN stays with h.
func (t *Table) retryUnanswered(
	now time.Duration, s *fleet.Service, n *pin, h *fleet.Host, p *packet.Packet,
) (Verdict, bool) {
	// A leaving host must not receive the SYN again, so the retry budget does not apply.
	mustMove := h == nil || h.Leaving
	next, reason := t.pickAnother(now, s, n, mustMove)
	switch {
	case next == nil && !mustMove:
		return Verdict{}, false
	case next == nil:
		t.removePin(now, n)
		return t.refuse(now, p, reason), true
	}
	t.reportUnanswered(now, n)
	t.reportEnd(now, n, false)
	n.flags &^= accepted
	t.recordSYN(now, s, n, next)
	return Verdict{Action: ToHost, Host: next, Reason: ReasonRetryUnanswered}, true
}

// pickAnother chooses a host that has not yet received the SYN of a half-open pin, or returns why there is none. It
// takes one retry from the budget unless unlimited is set.
func (t *Table) pickAnother(now time.Duration, s *fleet.Service, n *pin, unlimited bool) (*fleet.Host, string) {
	avoid := []uint32{n.host}
	if c := t.pendingOf(n); c != nil {
		avoid = c.tried
	}
	switch {
	case len(avoid) >= maxAttempts, !slices.ContainsFunc(s.Hosts, func(h *fleet.Host) bool {
		return !slices.Contains(avoid, h.ID)
	}):
		return nil, ReasonNoHost
	case !unlimited && !t.allowRetry(now):
		return nil, ReasonRetryBudget
	}
	return t.pick(now, s, &n.key, avoid)
}

// challenge handles a SYN on an established pin. Either the SYN is an old duplicate, or the caller has lost its
// connection and reuses the port. The host receives a probe instead of the SYN. If it still holds the connection, its
// ACK makes a caller that reuses the port reset it (RFC 9293, 3.10.7.3); otherwise its RST closes the pin. The ACK
// number of the probe is far from those of the connection, so that the RST can be recognized and resets no caller.
func (t *Table) challenge(now time.Duration, s *fleet.Service, n *pin, p *packet.Packet, hash uint64) Verdict {
	h := hostOf(s, n.host)
	if c := t.pendingOf(n); h == nil || c != nil && c.challenged && now-c.challengedAt >= retryAfter {
		return t.newFlow(now, s, n, p, hash)
	}
	c := t.addPending(n)
	if c == nil || c.challenged || !t.allowProbe(now) {
		return Verdict{Reason: ReasonSearching}
	}
	c.challenged, c.challengedAt, c.challengeAck = true, now, n.hostSeq+1<<30
	t.emit(now, h, packet.Segment{Key: p.Key, Seq: p.Seq - 1, Ack: c.challengeAck, ACK: true})
	return Verdict{Reason: ReasonSearching}
}

// callerReset forwards the RST of a caller to the pinned host. The RST ends the flow only when its sequence number
// matches, because a caller that waits for a SYN-ACK also resets an older connection of the same port.
func (t *Table) callerReset(now time.Duration, s *fleet.Service, n *pin, p *packet.Packet) Verdict {
	if n == nil || n.state == unverified || len(p.Payload) > 0 {
		return Verdict{Reason: ReasonUnknownFlow}
	}
	h := hostOf(s, n.host)
	if h == nil {
		return Verdict{Reason: ReasonNoHost}
	}
	switch {
	case n.state == established && near(p.Seq, n.callerSeq):
		t.setClosed(now, n, false)
	case n.state == halfOpen && n.is(accepted) && p.Seq == n.callerSeq: // The caller gave up on this SYN-ACK.
		t.removePin(now, n)
	}
	return Verdict{Action: ToHost, Host: h}
}

// callerSegment handles a packet of a caller with an ACK and without SYN or RST. It forwards the packet only to a host
// that the ACK verifies, and starts a search otherwise.
func (t *Table) callerSegment(now time.Duration, s *fleet.Service, n *pin, p *packet.Packet, hash uint64) Verdict {
	if n == nil || !t.acknowledged(n, p) {
		return t.search(now, s, n, p, hash)
	}
	h := hostOf(s, n.host)
	if h == nil {
		return Verdict{Reason: ReasonNoHost}
	}
	switch n.state {
	case halfOpen:
		t.removePending(n)
		n.state = established
		n.hostSeq++ // The SYN takes one sequence number.
		t.classify(now, s, n, h)
	case closed:
		return Verdict{Action: ToHost, Host: h}
	case established: // A search that is still in progress was started by a stray packet.
		if c := t.pendingOf(n); c != nil && c.searching {
			t.stopSearch(n, c)
		}
	}
	n.flags &^= unconfirmed
	n.extend(now, idleTimeout(s, packet.TCP))
	if end := p.Seq + uint32(len(p.Payload)); len(p.Payload) > 0 && after(end, n.callerSeq) {
		n.callerSeq = end
		t.recordRequest(now, n)
	}
	if p.FIN {
		n.flags |= callerDone
	}
	t.reclassify(now, s, n, h)
	if n.is(callerDone) && n.is(hostDone) {
		t.setClosed(now, n, false)
	}
	return Verdict{Action: ToHost, Host: h}
}

// acknowledged reports whether the packet acknowledges a sequence number of the pinned host in this connection. Only
// then may its payload go to that host.
func (t *Table) acknowledged(n *pin, p *packet.Packet) bool {
	switch n.state {
	case halfOpen:
		return n.is(accepted) && p.Ack == n.hostSeq+1
	case established, closed:
		d := int32(p.Ack - n.hostSeq)
		return d >= -sequenceWindow && d <= ackAhead
	}
	return false
}

func (t *Table) allowRetry(now time.Duration) bool { return t.AllowRetry == nil || t.AllowRetry(now) }

func (t *Table) allowProbe(now time.Duration) bool { return t.AllowProbe == nil || t.AllowProbe(now) }

// retryRefused sends the saved SYN of a half-open pin to another host after its host refused it. If no other host is
// available, it resets the caller.
func (t *Table) retryRefused(now time.Duration, s *fleet.Service, n *pin) Verdict {
	h, reason := t.pickAnother(now, s, n, false)
	if h == nil {
		refusal := packet.Segment{Key: n.key.Reverse(), Ack: n.callerSeq, RST: true, ACK: true}
		t.removePin(now, n)
		t.emit(now, nil, refusal)
		return Verdict{Reason: reason}
	}
	t.recordSYN(now, s, n, h)
	if t.Emit != nil {
		t.Emit(now, h, t.pendingOf(n).syn)
	}
	return Verdict{Reason: ReasonRetryRefused}
}
