package flow

import (
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/rendezvous"
)

// Reasons of verdicts, apart from those that Pick returns.
const (
	ReasonNoHost          = "no-host"          // no host can take the flow, or the pinned one is no longer published
	ReasonTableFull       = "table-full"       // the table has no room for the flow
	ReasonForeign         = "foreign"          // not a packet that a caller or host sends in any state of a flow
	ReasonSYNWithData     = "syn-with-data"    // a SYN that carries payload
	ReasonCrossedReply    = "crossed-reply"    // from a host other than the pinned one
	ReasonSearching       = "searching"        // the host of the flow is being looked for
	ReasonUnknownFlow     = "unknown-flow"     // no host holds the flow, or a RST or SYN-ACK that fits no pin
	ReasonProbeReply      = "probe-reply"      // the reply to a probe, used and not passed on
	ReasonHostRefused     = "host-refused"     // the host refused the SYN and no saved SYN was left
	ReasonRetryBudget     = "retry-budget"     // the host refused the SYN and the retry budget is empty
	ReasonRetryRefused    = "retry-refused"    // the SYN went to another host because the host refused it
	ReasonRetryUnanswered = "retry-unanswered" // the SYN went to another host because the host did not answer
)

// Defaults of the fields of Table.
const (
	DefaultCapacity     = 600_000 // twice the open flows of one entry VM today
	DefaultPendingLimit = 65_536
	DefaultScanLimit    = 8192 // a full pass over the default capacity takes 74 ticks
)

const (
	retryAfter    = time.Second // the first retransmission of a SYN by usual TCP stacks
	probeTimeout  = 300 * time.Millisecond
	searchTimeout = 30 * time.Second
	// The host of a flow may be published so recently that this entry VM does not know it yet; an update is in force
	// everywhere within 6 s.
	resetAfter          = 6 * time.Second
	shortTimeout        = 10 * time.Second // of half-open and closed pins
	datagramIdleTimeout = 2 * time.Minute
	defaultIdleTimeout  = time.Hour
	maxIdleTimeout      = 20 * 24 * time.Hour // deadlines are compared in 32 bits of milliseconds
	// What a host can have in flight. A pin of an old connection fits a new one of another host on the same port with a
	// chance of about 2^-12; with a greater window this is more likely, with a smaller one fast downloads start searches.
	sequenceWindow = 1 << 19
	// The host's packets pass through the owner before the caller can acknowledge them; this covers what went through
	// another entry VM while views differed.
	ackAhead    = 1 << 16
	maxAttempts = 8 // hosts that one SYN is sent to
)

// Action says where a packet goes.
type Action uint8

// Actions of a verdict.
const (
	Drop Action = iota
	ToHost
	ToCaller
)

// Verdict is the decision about one packet.
type Verdict struct {
	// Action says where the packet goes.
	Action Action
	// Host is the receiver of ToHost.
	Host *fleet.Host
	// Reason names the counter of a drop, refusal or retry; it is empty when there is nothing to count.
	Reason string
}

// Pin is the state of one flow for status pages.
type Pin struct {
	// Service and Host are IDs in the fleet catalog; Host is zero when no host is assumed.
	Service, Host uint32
	// State is half-open, established, unverified or closed.
	State string
	// Searching says that the host of the flow is being looked for.
	Searching bool
	// Exception says that the host is outside the first hosts of the flow's rank.
	Exception bool
}

// Table holds the pins of one entry VM; the zero value is ready for use. The fields must not change after the first
// packet. It is not safe for concurrent use.
type Table struct {
	// Capacity is the greatest number of pins; zero selects DefaultCapacity.
	Capacity int
	// PendingLimit is the greatest number of half-open and searched flows with full state; zero selects
	// DefaultSideLimit.
	PendingLimit int
	// ScanLimit is the number of pins that one call of Sweep or Release looks at; zero selects DefaultScan.
	ScanLimit int

	// Pick chooses the host of a new TCP flow, none of those with the IDs in avoid, or returns why there is none; nil
	// selects the first by published weight.
	Pick func(now time.Duration, s *fleet.Service, k *packet.Key, avoid []uint32) (*fleet.Host, string)
	// Rank appends the hosts of the service to out in the rank order of a TCP flow; nil selects the published weights.
	Rank func(s *fleet.Service, k *packet.Key, out []*fleet.Host) []*fleet.Host
	// AllowRetry takes one retry from the budget; nil allows all.
	AllowRetry func(now time.Duration) bool
	// AllowProbe takes one search packet from the budget; nil allows all.
	AllowProbe func(now time.Duration) bool
	// Observe receives the events of flows.
	Observe func(now time.Duration, e flowevent.Event)
	// Hint is told about a flow whose host other entry VMs would not guess first.
	Hint func(now time.Duration, s *fleet.Service, k *packet.Key, h *fleet.Host)
	// Emit sends a packet of the table to the host, or to the caller when the host is nil. The bytes are valid during
	// the call only.
	Emit func(now time.Duration, to *fleet.Host, b []byte)

	pins         store
	pendingFlows []*pendingFlow
	freePending  uint32
	epoch        uint16
	sweepPin     uint32
	sweepPending int
	ranker       rendezvous.Ranker
	hosts        []*fleet.Host

	prefetched uint32 // unused; it keeps the reads of Prefetch from being removed
}

// Prefetch brings the pins of flows into the cache of the CPU before the packets of a batch are decided one by one.
// With many open flows this more than halves the time for each packet. Keys are in the caller's direction.
func (t *Table) Prefetch(keys []packet.Key) {
	t.init()
	for len(keys) > 0 {
		n := min(len(keys), prefetchBatch)
		t.prefetched += t.pins.prefetch(keys[:n])
		keys = keys[n:]
	}
}

// Len returns the number of pins in all states.
func (t *Table) Len() int { return t.pins.count }

// FromCaller decides about a packet that a caller sent to the service.
func (t *Table) FromCaller(now time.Duration, s *fleet.Service, p *packet.Packet) Verdict {
	hash := p.Key.Hash()
	n := t.lookup(now, &p.Key, hash)
	if n != nil && n.service != s.ID { // The address was given to another service.
		t.removePin(now, n)
		n = nil
	}
	switch {
	case p.Key.Protocol == packet.UDP:
		return t.callerDatagram(now, s, n, p, hash)
	case p.RST:
		return t.callerReset(now, s, n, p)
	case p.SYN && (p.ACK || p.FIN), !p.SYN && !p.ACK:
		return Verdict{Reason: ReasonForeign}
	case p.SYN:
		return t.callerSYN(now, s, n, p, hash)
	}
	return t.callerSegment(now, s, n, p, hash)
}

// FromHost decides about a packet that host h of the service sent to a caller.
func (t *Table) FromHost(now time.Duration, s *fleet.Service, h *fleet.Host, p *packet.Packet) Verdict {
	k := p.Key.Reverse()
	hash := k.Hash()
	n := t.lookup(now, &k, hash)
	if n != nil && n.service != s.ID || p.Key.Protocol == packet.TCP && !p.ACK && !p.RST && !p.SYN {
		return Verdict{Reason: ReasonForeign}
	}
	if n == nil && !p.RST && !p.SYN {
		n = t.pins.insert(&k, hash)
		if n == nil { // The packet itself is good; the caller's next one is searched for again.
			return Verdict{Action: ToCaller, Reason: ReasonTableFull}
		}
		t.setUnverified(now, s, n, 0, searchTimeout)
	}
	switch {
	case n == nil:
		return Verdict{Reason: ReasonUnknownFlow}
	case p.Key.Protocol == packet.UDP:
		return t.hostDatagram(now, s, n, h, p)
	}
	return t.hostSegment(now, s, n, h, p)
}

// Learn records the host of a flow as another entry VM reported it. For TCP it only tells where a search starts.
func (t *Table) Learn(now time.Duration, s *fleet.Service, k *packet.Key, host uint32) {
	hash := k.Hash()
	n := t.lookup(now, k, hash)
	if n == nil {
		// The last tenth of the table is kept for flows that this entry VM owns.
		if t.pins.count >= t.pins.capacity/10*9 {
			return
		}
		if n = t.pins.insert(k, hash); n == nil {
			return
		}
	}
	if n.state == free || n.state == unverified && n.service == s.ID {
		t.reportEnd(now, n, false)
		t.setUnverified(now, s, n, host, idleTimeout(s, k.Protocol))
		n.flags |= hinted
	}
}

// MarkUnverified makes all pins unverified. Each one changes when it is next used or swept, so the call itself is
// short.
func (t *Table) MarkUnverified() { t.epoch++ }

// Get returns the pin of the flow with the key in the caller's direction.
func (t *Table) Get(now time.Duration, k *packet.Key) (Pin, bool) {
	n := t.lookup(now, k, k.Hash())
	if n == nil {
		return Pin{}, false
	}
	c := t.pendingOf(n)
	return Pin{
		Service: n.service, Host: n.host, State: n.state.String(), Searching: c != nil && c.searching,
		Exception: n.is(exception),
	}, true
}

func (t *Table) init() {
	if t.pins.index != nil {
		return
	}
	capacity := t.Capacity
	if capacity == 0 {
		capacity = DefaultCapacity
	}
	t.pins.init(capacity)
}

// lookup returns the valid pin of the key or nil.
func (t *Table) lookup(now time.Duration, k *packet.Key, hash uint64) *pin {
	t.init()
	n := t.pins.find(k, hash)
	if n == nil || !t.refresh(now, n) {
		return nil
	}
	return n
}

// refresh ends a pin whose deadline has passed and applies MarkUnverified; it reports whether the pin is still there.
func (t *Table) refresh(now time.Duration, n *pin) bool {
	if n.epoch != t.epoch {
		t.demote(now, n)
	}
	if int32(milliseconds(now)-n.deadline) >= 0 {
		t.removePin(now, n)
		return false
	}
	return true
}

func (t *Table) pendingLimit() int {
	if t.PendingLimit == 0 {
		return DefaultPendingLimit
	}
	return t.PendingLimit
}

func (t *Table) scanLimit() int {
	if t.ScanLimit == 0 {
		return DefaultScanLimit
	}
	return t.ScanLimit
}
