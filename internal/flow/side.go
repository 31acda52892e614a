package flow

import (
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
)

// side is what only half-open and searched flows need.
type side struct {
	pin     *pin // nil when the record is free
	next    uint32
	service *fleet.Service // as of the last packet of the caller

	syn   []byte   // the bare SYN, to be sent again when the host refuses it; empty when there is none
	tried []uint32 // hosts that got the SYN

	blamed time.Duration // of the last Unanswered event

	searching     bool
	started, sent time.Duration // of the search and of the last probe
	seq, ack      uint32        // the lowest sequence number and the last ACK number of the caller
	probeAck      uint32        // ACK number of the last probe
	probed        uint32        // host whose reply is awaited; zero when none is
	asked         []uint32      // hosts probed since the candidate list was last started
	refused       []uint32      // hosts that replied with RST

	challenged   bool // a SYN on an established pin was turned into a probe of the pinned host
	challengedAt time.Duration
	challengeAck uint32
}

// sideOf returns the side record of the pin or nil.
func (t *Table) sideOf(n *pin) *side {
	if n.side == 0 {
		return nil
	}
	return t.sides[n.side-1]
}

// addSide returns the side record of the pin and makes it when there is none; it returns nil at the limit.
func (t *Table) addSide(n *pin) *side {
	if c := t.sideOf(n); c != nil {
		return c
	}
	i := t.freedSide
	if i != 0 {
		t.freedSide = t.sides[i-1].next
	} else {
		if len(t.sides) >= t.sideLimit() {
			return nil
		}
		t.sides = append(t.sides, new(side))
		i = uint32(len(t.sides))
	}
	c := t.sides[i-1]
	c.pin, c.next = n, 0
	n.side = i
	return c
}

func (t *Table) freeSide(n *pin) {
	if n.side == 0 {
		return
	}
	c := t.sides[n.side-1]
	// The slices keep their memory for the next flow.
	*c = side{
		next: t.freedSide, syn: c.syn[:0], tried: c.tried[:0], asked: c.asked[:0], refused: c.refused[:0],
	}
	t.freedSide = n.side
	n.side = 0
}
