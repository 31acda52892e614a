package flow

import (
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/packet"
)

func milliseconds(d time.Duration) uint32 { return uint32(d / time.Millisecond) }

// near says that an ACK number can belong to the connection in which the other number was seen.
func near(a, b uint32) bool {
	d := int32(a - b)
	return d >= -sequenceWindow && d <= sequenceWindow
}

// after says that sequence number a follows b.
func after(a, b uint32) bool { return int32(a-b) > 0 }

// idle returns the time after which a flow without packets ends.
func idle(s *fleet.Service, protocol uint8) time.Duration {
	switch {
	case protocol == packet.UDP:
		return datagramIdle
	case s.IdleTimeout <= 0:
		return defaultIdle
	}
	return min(s.IdleTimeout, longestIdle)
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

// open pins the flow to the host and counts it as open there.
func (t *Table) open(now time.Duration, n *pin, host uint32) {
	n.host = host
	n.flags |= counted
	t.observe(now, n, flowevent.Event{Kind: flowevent.Opened})
}

// end sends the events that balance those of the pin; reset says that the host reset the connection.
func (t *Table) end(now time.Duration, n *pin, reset bool) {
	if n.is(outstanding) {
		t.observe(now, n, flowevent.Event{Kind: flowevent.Abandoned, Elapsed: now - n.since, Reset: reset})
	}
	if n.is(counted) {
		t.observe(now, n, flowevent.Event{Kind: flowevent.Closed})
	}
	n.flags &^= outstanding | counted
}

// unanswered tells that the host did not answer the SYN, if it had the time to since the last such event.
func (t *Table) unanswered(now time.Duration, n *pin) {
	if n.state != halfOpen || n.is(accepted) || !n.is(counted) || now-n.since < retryAfter {
		return
	}
	if c := t.sideOf(n); c != nil {
		if c.blamed > n.since && now-c.blamed < retryAfter {
			return
		}
		c.blamed = now
	}
	t.observe(now, n, flowevent.Event{Kind: flowevent.Unanswered, Elapsed: now - n.since})
}

// drop removes the pin.
func (t *Table) drop(now time.Duration, n *pin) {
	t.unanswered(now, n)
	t.end(now, n, false)
	t.freeSide(n)
	t.pins.remove(n)
}

// shut closes the pin.
func (t *Table) shut(now time.Duration, n *pin, reset bool) {
	t.end(now, n, reset)
	t.freeSide(n)
	n.state = closed
	n.extend(now, shortTimeout)
}

// demote makes the pin unverified after a pause. A host is not blamed for what was missed in the pause.
func (t *Table) demote(now time.Duration, n *pin) {
	t.end(now, n, false)
	t.freeSide(n)
	n.state, n.epoch = unverified, t.epoch
	n.flags &= exception | hinted
}

// suppose makes the pin an unverified one with the given host.
func (t *Table) suppose(now time.Duration, s *fleet.Service, n *pin, host uint32, lifetime time.Duration) {
	n.state, n.epoch, n.service, n.host = unverified, t.epoch, s.ID, host
	n.extend(now, lifetime)
}

// settle makes the pin an established one of the host, whose connection is at the given sequence numbers.
func (t *Table) settle(now time.Duration, s *fleet.Service, n *pin, h *fleet.Host, server, caller uint32) {
	t.end(now, n, false)
	t.freeSide(n)
	n.state, n.flags, n.epoch, n.service = established, 0, t.epoch, s.ID
	n.server, n.caller = server, caller
	n.extend(now, idle(s, n.key.Protocol))
	t.open(now, n, h.ID)
	t.classify(now, s, n, h)
}

// request notes payload of the caller up to sequence number end.
func (t *Table) request(now time.Duration, n *pin) {
	if !n.is(outstanding) {
		n.flags |= outstanding
		n.since = now
		t.observe(now, n, flowevent.Event{Kind: flowevent.Requested})
	}
}

// answer notes payload of the host.
func (t *Table) answer(now time.Duration, n *pin) {
	if n.is(outstanding) {
		n.flags &^= outstanding
		t.observe(now, n, flowevent.Event{Kind: flowevent.Answered, Elapsed: now - n.since})
	}
}

func (t *Table) emit(now time.Duration, to *fleet.Host, s packet.Segment) {
	if t.Emit == nil {
		return
	}
	// A key that was parsed from a packet can always be built again.
	if b, err := s.Bytes(); err == nil {
		t.Emit(now, to, b)
	}
}
