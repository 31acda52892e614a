package flow

import (
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
)

// pendingFlow is what only half-open and searched flows need.
type pendingFlow struct {
	pin     *pin // nil when the record is free
	next    uint32
	service *fleet.Service // as of the last packet of the caller

	syn   []byte   // the bare SYN, to be sent again when the host refuses it; empty when there is none
	tried []uint32 // hosts that got the SYN

	unansweredAt time.Duration // of the last Unanswered event

	searching         bool
	startedAt, sentAt time.Duration // of the search and of the last probe
	seq, ack          uint32        // the lowest sequence number and the last ACK number of the caller
	probeAck          uint32        // ACK number of the last probe
	awaitedHost       uint32        // host whose reply is awaited; zero when none is
	probed            []uint32      // hosts probed since the candidate list was last started
	refused           []uint32      // hosts that replied with RST

	challenged   bool // a SYN on an established pin was turned into a probe of the pinned host
	challengedAt time.Duration
	challengeAck uint32
}

// pendingOf returns the side record of the pin or nil.
func (t *Table) pendingOf(n *pin) *pendingFlow {
	if n.pendingIndex == 0 {
		return nil
	}
	return t.pendingFlows[n.pendingIndex-1]
}

// addPending returns the side record of the pin and makes it when there is none; it returns nil at the limit.
func (t *Table) addPending(n *pin) *pendingFlow {
	if c := t.pendingOf(n); c != nil {
		return c
	}
	i := t.freePending
	if i != 0 {
		t.freePending = t.pendingFlows[i-1].next
	} else {
		if len(t.pendingFlows) >= t.pendingLimit() {
			return nil
		}
		t.pendingFlows = append(t.pendingFlows, new(pendingFlow))
		i = uint32(len(t.pendingFlows))
	}
	c := t.pendingFlows[i-1]
	c.pin, c.next = n, 0
	n.pendingIndex = i
	return c
}

func (t *Table) removePending(n *pin) {
	if n.pendingIndex == 0 {
		return
	}
	c := t.pendingFlows[n.pendingIndex-1]
	// The slices keep their memory for the next flow.
	*c = pendingFlow{
		next: t.freePending, syn: c.syn[:0], tried: c.tried[:0], probed: c.probed[:0], refused: c.refused[:0],
	}
	t.freePending = n.pendingIndex
	n.pendingIndex = 0
}
