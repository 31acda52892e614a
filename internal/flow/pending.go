package flow

import (
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
)

// pendingFlow is the additional state of a half-open, searched or challenged flow.
type pendingFlow struct {
	pin     *pin           // nil when the record is free
	next    uint32         // in a free record: position of the next free record plus one
	service *fleet.Service // as of the last packet of the caller

	syn   []byte   // the SYN to send to another host after a refusal; empty when it was not saved
	tried []uint32 // hosts that received the SYN

	unansweredAt time.Duration // time of the last Unanswered event

	searching         bool
	startedAt, sentAt time.Duration // start of the search and time of the last probe
	seq, ack          uint32        // lowest sequence number and last ACK number of the caller
	probeAck          uint32        // ACK number of the last probe
	awaitedHost       uint32        // host whose reply is awaited; zero when none is
	probed            []uint32      // hosts probed since the search last began with the first candidate
	refused           []uint32      // hosts that replied with RST

	challenged   bool // a probe was sent to the pinned host in place of a SYN
	challengedAt time.Duration
	challengeAck uint32 // ACK number of this probe
}

// pendingOf returns the pending state of the pin, or nil when it has none.
func (t *Table) pendingOf(n *pin) *pendingFlow {
	if n.pendingIndex == 0 {
		return nil
	}
	return t.pendingFlows[n.pendingIndex-1]
}

// addPending returns the pending state of the pin and creates it when there is none. It returns nil at the limit.
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
	// The next flow reuses the memory of the slices.
	*c = pendingFlow{
		next: t.freePending, syn: c.syn[:0], tried: c.tried[:0], probed: c.probed[:0], refused: c.refused[:0],
	}
	t.freePending = n.pendingIndex
	n.pendingIndex = 0
}
