package flow

import (
	"time"

	"github.com/masticspar/masticspar/internal/packet"
)

// Sweep removes the pins whose deadline has passed and continues searches whose probe received no reply. One call
// checks at most ScanLimit pins and as many pending flows.
func (t *Table) Sweep(now time.Duration) {
	for range min(t.scanLimit(), len(t.pendingFlows)) {
		t.sweepPending = (t.sweepPending + 1) % len(t.pendingFlows)
		c := t.pendingFlows[t.sweepPending]
		if c.pin == nil || !c.searching || !t.refresh(now, c.pin) || !c.searching {
			continue
		}
		switch {
		case now-c.startedAt >= searchTimeout:
			t.stopSearch(c.pin, c)
		case c.awaitedHost != 0 && now-c.sentAt >= probeTimeout:
			t.probe(now, c.pin, c, false)
		}
	}
	for range min(t.scanLimit(), int(t.pins.used)) {
		t.sweepPin = (t.sweepPin + 1) % t.pins.used
		if n := t.pins.at(t.sweepPin); n.state != free {
			t.refresh(now, n)
		}
	}
}

// Release removes the pins of flows that this entry VM no longer owns. One call checks at most ScanLimit pins from
// position from and returns the next position, or zero at the end of the table. When ownership changes during a pass,
// another pass must follow. Release calls handOver with each exception that is established or unverified, so that the
// new owner can receive its host. Pins made from hints of other entry VMs are kept.
func (t *Table) Release(
	now time.Duration, from int, owns func(service uint32, k *packet.Key) bool,
	handOver func(k *packet.Key, service, host uint32),
) int {
	end := min(from+t.scanLimit(), int(t.pins.used))
	for i := from; i < end; i++ {
		n := t.pins.at(uint32(i))
		if n.state == free || n.is(hinted) || owns(n.service, &n.key) || !t.refresh(now, n) {
			continue
		}
		if n.is(exception) && n.state != closed && n.state != halfOpen {
			handOver(&n.key, n.service, n.host)
		}
		t.removePin(now, n)
	}
	if end >= int(t.pins.used) {
		return 0
	}
	return end
}
