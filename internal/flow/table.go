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
	ReasonForeign         = "foreign"          // the packet fits no state of a flow, or the flow is of another service
	ReasonSYNWithData     = "syn-with-data"    // a SYN that carries payload
	ReasonCrossedReply    = "crossed-reply"    // a packet from a host other than the pinned one
	ReasonSearching       = "searching"        // a search or a challenge is in progress, or cannot begin
	ReasonUnknownFlow     = "unknown-flow"     // no host holds the flow, or a RST or SYN-ACK that matches no pin
	ReasonProbeReply      = "probe-reply"      // the reply to a probe, which is not forwarded to the caller
	ReasonHostRefused     = "host-refused"     // the host refused the SYN and no SYN was saved for a retry
	ReasonRetryBudget     = "retry-budget"     // the host refused the SYN and the retry budget is empty
	ReasonRetryRefused    = "retry-refused"    // the SYN went to another host because the host refused it
	ReasonRetryUnanswered = "retry-unanswered" // the SYN went to another host because the host did not respond
)

// Defaults of the fields of Table.
const (
	DefaultCapacity     = 600_000 // twice the 300,000 flows that one entry VM has open
	DefaultPendingLimit = 65_536
	DefaultScanLimit    = 8192 // a full pass over a table of the default capacity takes 74 calls of Sweep
)

const (
	// retryAfter is the time without a SYN-ACK after which a retransmitted SYN may go to another host. It is the usual
	// delay of the first SYN retransmission in TCP stacks.
	retryAfter    = time.Second
	probeTimeout  = 300 * time.Millisecond // without a reply, after which the next host is probed
	searchTimeout = 30 * time.Second       // from the start of a search to its end without a result
	// resetAfter is the least age of a search that resets the caller after all hosts refused. The host of a flow may be so
	// new that this entry VM has not received its publication; an update is active at all entry VMs within 6 s.
	resetAfter          = 6 * time.Second
	shortTimeout        = 10 * time.Second // of half-open and closed pins
	datagramIdleTimeout = 2 * time.Minute
	defaultIdleTimeout  = time.Hour
	maxIdleTimeout      = 20 * 24 * time.Hour // deadlines are compared as 32-bit numbers of milliseconds
	// sequenceWindow is the number of bytes that a host can have in flight. With this window, a pin of an old connection
	// matches a new connection of another host on the same port with a probability of about 2^-12. A larger window makes
	// this more likely; a smaller one makes fast downloads start searches.
	sequenceWindow = 1 << 19
	// ackAhead is the number of bytes by which an ACK of the caller may be ahead of the host's packets seen here. Those
	// packets usually pass through the owner first; ackAhead covers the ones that passed through another entry VM while
	// membership views differed.
	ackAhead    = 1 << 16
	maxAttempts = 8 // hosts that one SYN is sent to
)

// Action is what to do with a packet.
type Action uint8

// Actions of a verdict.
const (
	Drop     Action = iota // discard the packet
	ToHost                 // forward it to Verdict.Host
	ToCaller               // forward it to the caller
)

// Verdict is the decision about one packet.
type Verdict struct {
	Action Action
	// Host is the receiver for ToHost and nil otherwise.
	Host *fleet.Host
	// Reason names the counter of a drop, refusal or retry; it is empty when nothing is counted.
	Reason string
}

// Pin is the state of one flow for status pages.
type Pin struct {
	// Service and Host are IDs in the fleet catalog; Host is zero when none is assumed.
	Service, Host uint32
	// State is half-open, established, unverified or closed.
	State string
	// Searching reports whether a search for the host of the flow is in progress.
	Searching bool
	// Exception reports whether the host is not among the first hosts of the flow's rank.
	Exception bool
}

// Table holds the pins of one entry VM; the zero value is ready for use. The fields must not change after the first
// packet. It is not safe for concurrent use.
type Table struct {
	// Capacity is the maximum number of pins; zero selects DefaultCapacity.
	Capacity int
	// PendingLimit is the maximum number of half-open, searched and challenged flows with pending state; zero selects
	// DefaultPendingLimit.
	PendingLimit int
	// ScanLimit is the maximum number of pins that one call of Sweep or Release checks; zero selects DefaultScanLimit.
	ScanLimit int

	// Pick returns the host of a new TCP flow, which must not be one of the IDs in avoid, or the reason why there is
	// none; nil selects the first host by published weight.
	Pick func(now time.Duration, s *fleet.Service, k *packet.Key, avoid []uint32) (*fleet.Host, string)
	// Rank appends the hosts of the service to out in the rank order of a TCP flow; nil selects the published weights.
	Rank func(s *fleet.Service, k *packet.Key, out []*fleet.Host) []*fleet.Host
	// AllowRetry takes one retry from the budget and reports whether it was available; nil allows all.
	AllowRetry func(now time.Duration) bool
	// AllowProbe takes one probe, of a search or for a SYN on an established pin, from the budget and reports whether it
	// was available; nil allows all.
	AllowProbe func(now time.Duration) bool
	// Observe is called for each event of a flow; it may be nil.
	Observe func(now time.Duration, e flowevent.Event)
	// Hint is called for an exception, a flow whose host other entry VMs would not expect; it may be nil.
	Hint func(now time.Duration, s *fleet.Service, k *packet.Key, h *fleet.Host)
	// Emit sends a packet that the table created to the host, or to the caller when the host is nil. The bytes are valid
	// only during the call. Emit may be nil, and nothing is sent then.
	Emit func(now time.Duration, to *fleet.Host, b []byte)

	pins         store
	pendingFlows []*pendingFlow
	freePending  uint32 // position of the first free record in pendingFlows plus one; zero when there is none
	epoch        uint16 // incremented by MarkUnverified
	sweepPin     uint32 // position at which the last Sweep ended
	sweepPending int    // position in pendingFlows at which the last Sweep ended
	ranker       rendezvous.Ranker
	hosts        []*fleet.Host // reused by rank and published

	prefetched uint32 // keeps the compiler from removing the reads of Prefetch; otherwise unused
}

// Prefetch loads the pins of a batch of packets into the CPU cache before the packets are handled one by one. With many
// open flows this more than halves the time for each packet. Keys are in the caller's direction.
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

// FromCaller returns the verdict on a packet that a caller sent to the service.
func (t *Table) FromCaller(now time.Duration, s *fleet.Service, p *packet.Packet) Verdict {
	hash := p.Key.Hash()
	n := t.lookup(now, &p.Key, hash)
	if n != nil && n.service != s.ID { // The address now belongs to another service.
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

// FromHost returns the verdict on a packet that host h of the service sent to a caller.
func (t *Table) FromHost(now time.Duration, s *fleet.Service, h *fleet.Host, p *packet.Packet) Verdict {
	k := p.Key.Reverse()
	hash := k.Hash()
	n := t.lookup(now, &k, hash)
	if n != nil && n.service != s.ID || p.Key.Protocol == packet.TCP && !p.ACK && !p.RST && !p.SYN {
		return Verdict{Reason: ReasonForeign}
	}
	if n == nil && !p.RST && !p.SYN {
		n = t.pins.insert(&k, hash)
		if n == nil { // The packet itself is valid; the caller's next packet starts a search.
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

// Learn records the host of a flow that another entry VM reported. For TCP it only sets the host that a search probes
// first.
func (t *Table) Learn(now time.Duration, s *fleet.Service, k *packet.Key, host uint32) {
	hash := k.Hash()
	n := t.lookup(now, k, hash)
	if n == nil {
		// The last tenth of the table is reserved for flows that this entry VM owns.
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

// MarkUnverified makes all pins unverified. Each pin changes when it is next used or swept, so the call itself takes
// constant time.
func (t *Table) MarkUnverified() { t.epoch++ }

// Get returns the pin of a flow and whether there is one. The key is in the caller's direction.
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

// refresh removes a pin whose deadline has passed and applies MarkUnverified. It reports whether the pin still exists.
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
