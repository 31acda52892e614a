package flow

import (
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/packet"
)

func milliseconds(d time.Duration) uint32 { return uint32(d / time.Millisecond) }

// near reports whether sequence numbers a and b are close enough to belong to the same connection.
func near(a, b uint32) bool {
	d := int32(a - b)
	return d >= -sequenceWindow && d <= sequenceWindow
}

// after reports whether sequence number a follows b.
func after(a, b uint32) bool { return int32(a-b) > 0 }

// idleTimeout returns the time after which the pin of an idle flow is removed.
func idleTimeout(s *fleet.Service, protocol uint8) time.Duration {
	switch {
	case protocol == packet.UDP:
		return datagramIdleTimeout
	case s.IdleTimeout <= 0:
		return defaultIdleTimeout
	}
	return min(s.IdleTimeout, maxIdleTimeout)
}

func (n *pin) extend(now, d time.Duration) { n.deadline = milliseconds(now + d) }

func hostOf(s *fleet.Service, id uint32) *fleet.Host {
	for _, h := range s.Hosts {
		if h.ID == id {
			return h
		}
	}
	return nil
}

func (t *Table) observe(now time.Duration, n *pin, e flowevent.Event) {
	if t.Observe != nil {
		e.Service, e.Host = n.service, n.host
		t.Observe(now, e)
	}
}

// assignHost pins the flow to the host and reports it as opened there.
func (t *Table) assignHost(now time.Duration, n *pin, host uint32) {
	n.host = host
	n.flags |= counted
	t.observe(now, n, flowevent.Event{Kind: flowevent.Opened})
}

// reportEnd reports Abandoned if a request is outstanding, and Closed if Opened was reported. reset reports whether
// the host reset the connection.
func (t *Table) reportEnd(now time.Duration, n *pin, reset bool) {
	if n.is(outstanding) {
		t.observe(now, n, flowevent.Event{Kind: flowevent.Abandoned, Elapsed: now - n.since, Reset: reset})
	}
	if n.is(counted) {
		t.observe(now, n, flowevent.Event{Kind: flowevent.Closed})
	}
	n.flags &^= outstanding | counted
}

// reportUnanswered reports that the host did not respond to the SYN, once retryAfter has passed since the SYN and since
// the last such event.
func (t *Table) reportUnanswered(now time.Duration, n *pin) {
	if n.state != halfOpen || n.is(accepted) || !n.is(counted) || now-n.since < retryAfter {
		return
	}
	if c := t.pendingOf(n); c != nil {
		if c.unansweredAt > n.since && now-c.unansweredAt < retryAfter {
			return
		}
		c.unansweredAt = now
	}
	t.observe(now, n, flowevent.Event{Kind: flowevent.Unanswered, Elapsed: now - n.since})
}

// removePin reports the end of the flow and removes the pin.
func (t *Table) removePin(now time.Duration, n *pin) {
	t.reportUnanswered(now, n)
	t.reportEnd(now, n, false)
	t.removePending(n)
	t.pins.remove(n)
}

// setClosed reports the end of the flow and keeps the closed pin for its last packets.
func (t *Table) setClosed(now time.Duration, n *pin, reset bool) {
	t.reportEnd(now, n, reset)
	t.removePending(n)
	n.state = closed
	n.extend(now, shortTimeout)
}

// demote makes the pin unverified after a pause. It reports no unanswered SYN, because the response may have been lost
// in the pause.
func (t *Table) demote(now time.Duration, n *pin) {
	t.reportEnd(now, n, false)
	t.removePending(n)
	n.state, n.epoch = unverified, t.epoch
	n.flags &= exception | hinted
}

// setUnverified makes the pin unverified, with the given host ID or zero.
func (t *Table) setUnverified(now time.Duration, s *fleet.Service, n *pin, host uint32, timeout time.Duration) {
	n.state, n.epoch, n.service, n.host = unverified, t.epoch, s.ID, host
	n.extend(now, timeout)
}

// setEstablished makes the pin established with the host. The sequence numbers are those last seen from the host and
// from the caller.
func (t *Table) setEstablished(now time.Duration, s *fleet.Service, n *pin, h *fleet.Host, hostSeq, callerSeq uint32) {
	t.reportEnd(now, n, false)
	t.removePending(n)
	n.state, n.flags, n.epoch, n.service = established, 0, t.epoch, s.ID
	n.hostSeq, n.callerSeq = hostSeq, callerSeq
	n.extend(now, idleTimeout(s, n.key.Protocol))
	t.assignHost(now, n, h.ID)
	t.classify(now, s, n, h)
}

// recordRequest records new payload from the caller.
func (t *Table) recordRequest(now time.Duration, n *pin) {
	if !n.is(outstanding) {
		n.flags |= outstanding
		n.since = now
		t.observe(now, n, flowevent.Event{Kind: flowevent.Requested})
	}
}

// recordResponse records payload from the host.
func (t *Table) recordResponse(now time.Duration, n *pin) {
	if n.is(outstanding) {
		n.flags &^= outstanding
		t.observe(now, n, flowevent.Event{Kind: flowevent.Answered, Elapsed: now - n.since})
	}
}

func (t *Table) emit(now time.Duration, to *fleet.Host, s packet.Segment) {
	if t.Emit == nil {
		return
	}
	// The key was parsed from a packet, so building a packet from it does not fail.
	if b, err := s.Bytes(); err == nil {
		t.Emit(now, to, b)
	}
}
