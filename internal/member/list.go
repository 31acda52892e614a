package member

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/counter"
)

const (
	pingPeriod         = 500 * time.Millisecond
	indirectAfter      = 200 * time.Millisecond  // From a ping without a reply to the ping requests.
	suspectAfter       = time.Second             // From a ping without a reply to the suspicion.
	deadAfter          = 2500 * time.Millisecond // From the suspicion to the death.
	retryPeriod        = 5 * time.Second         // Between two pings of the same dead member.
	platformPingPeriod = time.Second             // Between two pings of addresses from the platform.
	forgetAfter        = time.Hour               // From the death to the removal from the list.
	settleAfter        = 3 * time.Second         // From a start or Resume until the view is settled without an exchange.
	exchangePeriod     = 500 * time.Millisecond  // Between two requests for an exchange.

	duplicateAfter  = 5 * time.Second // Late messages of a replaced process do not count as a duplicate name before.
	duplicatePeriod = time.Minute     // Limits the log, as each message of a second process reports the duplicate.

	fanout               = 3    // Members that receive a ping request or a notice.
	maxRetriers          = 2    // Members that retry the same dead member; one of them may have failed, too.
	maxRelays            = 64   // Pending ping requests of other members.
	maxPlatformAddresses = 1024 // Addresses from the platform.

	maxCrossZoneBytes = 200 // Bytes of updates in a message to another availability zone if CrossZoneRounds is set.
)

// List is one process's view of all members; its exported fields are set before Start.
type List struct {
	// Self is this process; Incarnation is its start time in milliseconds.
	Self Member
	// Seed makes the random choices of the list reproducible.
	Seed uint64
	// CrossZoneRounds is the number of ping rounds of which only one includes the members of other availability zones;
	// zero or one includes them in each round. With a greater number, failures in other zones are received mostly
	// through updates, which takes longer than for the own zone.
	CrossZoneRounds int
	// Send is called to send m to a member; a member without a name is an address whose owner is unknown.
	Send func(to Member, m Message)
	// Changed is called after a member was added, changed or, in state StateDead, removed.
	Changed func(m Member)
	// Digests returns the documents that each message announces; nil announces none.
	Digests func() []Digest
	// HandleDigests is called with the documents that another member announces; nil ignores them.
	HandleDigests func(from Member, digests []Digest)
	// Counters counts refusals and state changes; nil discards them.
	Counters *counter.Set
	// Logger logs errors that an operator has to correct; nil discards them.
	Logger *zap.Logger

	rand                *rand.Rand
	records             map[string]*record
	names               []string                  // Sorted keys of records, so that equal seeds give equal runs.
	byAddr              map[netip.AddrPort]string // Name that used a control address last.
	contacts            []netip.AddrPort
	platformAddresses   []netip.AddrPort
	nextPlatformAddress int
	platformPingDue     time.Duration

	order        []string // Members that are not yet pinged in this round.
	round        int
	pingDue      time.Duration
	retryDue     time.Duration
	probes       []*probe
	relays       []relay
	lastSequence uint64

	queue       []*record // Members whose updates are still to be sent.
	replaced    bool      // Set while another process with this name and a higher incarnation exists.
	duplicateAt time.Duration
	settled     bool
	settleDue   time.Duration
	exchangeDue time.Duration
	exchange    uint64 // Sequence of the page that was requested last.
	cursor      string // Last name that the exchange returned.

	owners     []Member
	generation uint64
}

// record is the state of one member in the list.
type record struct {
	Member
	stateSince    time.Duration // When the last update or suspicion was applied.
	firstSeen     time.Duration // When the process at the member's current address was first seen.
	lastMessageAt time.Duration // When the last message from the member was received.
	suspected     bool          // Set until the member refutes or is declared dead; a leaving member keeps its state.
	retryDue      time.Duration
	sendCount     int
	queued        bool
}

// Start joins the other members through the control addresses of the contacts.
func (l *List) Start(now time.Duration, contacts []netip.AddrPort) {
	l.rand = rand.New(rand.NewPCG(l.Seed, l.Seed^0x9e3779b97f4a7c15))
	l.records = map[string]*record{}
	l.byAddr = map[netip.AddrPort]string{l.Self.Control: l.Self.Name}
	l.lastSequence = l.rand.Uint64() >> 1 // A restarted process must not accept replies to its predecessor.
	l.contacts = slices.DeleteFunc(slices.Clone(contacts), func(a netip.AddrPort) bool { return a == l.Self.Control })
	// Members that start together must not ping at the same time.
	l.pingDue = now + time.Duration(l.rand.Int64N(int64(pingPeriod)))
	l.reportChange(l.Self)
	l.beginExchange(now)
}

// SetPlatformAddresses replaces the addresses that the platform lists. They are only pinged; a member is added when it
// sends a message or another member reports it.
func (l *List) SetPlatformAddresses(addresses []netip.AddrPort) {
	// nextPlatformAddress is kept: if it were reset by frequent updates, dead VMs at the start of the list would keep the
	// addresses after them from being pinged.
	l.platformAddresses = slices.Clone(addresses[:min(len(addresses), maxPlatformAddresses)])
}

// Settled reports whether the view is up to date: an exchange has completed since the start or the last Resume, or
// a timeout has passed without one.
func (l *List) Settled(now time.Duration) bool {
	if !l.settled && now >= l.settleDue {
		l.settled = true
		l.Counters.Add("member-settled-without-reply", 1)
	}
	return l.settled
}

// Leave announces that this process no longer owns flows; it cannot be undone.
func (l *List) Leave(_ time.Duration) {
	if l.Self.State == StateLeaving {
		return
	}
	l.Self.State = StateLeaving
	l.reportChange(l.Self)
	l.sendNotices()
}

// Resume must be called after a pause of the process, before the next message is handled.
func (l *List) Resume(now time.Duration) {
	// Probes from before or during the pause are no evidence of a failure of other members.
	l.probes, l.relays = nil, nil
	for _, r := range l.records {
		if r.suspected {
			r.stateSince = now
		}
	}
	for _, r := range l.queue { // Drops outdated updates.
		r.queued = false
	}
	l.queue = nil
	l.raiseIncarnation(l.Self.Incarnation)
	l.pingDue = now
	l.beginExchange(now)
	l.sendNotices()
}

// Owners returns the members of this region that may own flows, sorted by name, and a generation number that changes
// only with this set. The slice must not be modified.
func (l *List) Owners() ([]Member, uint64) { return l.owners, l.generation }

// Active returns the members of all regions, this process included, that are alive or suspect, sorted by name.
func (l *List) Active() []Member {
	return slices.DeleteFunc(l.Members(), func(m Member) bool { return m.State > StateSuspect })
}

// Members returns all members in the list, dead ones and this process included, sorted by name.
func (l *List) Members() []Member {
	all := make([]Member, 0, len(l.records)+1)
	for _, name := range l.names {
		all = append(all, l.records[name].Member)
	}
	i, _ := slices.BinarySearch(l.names, l.Self.Name)
	return slices.Insert(all, i, l.Self)
}

// Get returns the member with the given name, and reports whether it is in the list.
func (l *List) Get(name string) (Member, bool) {
	if name == l.Self.Name {
		return l.Self, true
	}
	if r := l.records[name]; r != nil {
		return r.Member, true
	}
	return Member{}, false
}

// beginExchange marks the view as outdated and schedules an exchange of the complete list with another member.
func (l *List) beginExchange(now time.Duration) {
	l.settled = false
	l.settleDue = now + settleAfter
	l.exchangeDue = now
	l.exchange, l.cursor = 0, ""
}

// raiseIncarnation increases the incarnation of this process above the given one; every message carries it.
func (l *List) raiseIncarnation(above uint64) {
	l.Self.Incarnation = max(l.Self.Incarnation, above) + 1
	l.reportChange(l.Self)
}

// enqueue restarts the sending of the update for r.
func (l *List) enqueue(r *record) {
	r.sendCount = 0
	if !r.queued {
		r.queued = true
		l.queue = append(l.queue, r)
	}
}

// sendLimit returns how often one update is sent; with it, an update reaches all members with high probability.
func (l *List) sendLimit() int { return 3 * bits.Len(uint(len(l.records)+1)) }

// takeUpdates returns updates for a message with room bytes left: first, unless it is nil, and then those that were
// sent least often.
func (l *List) takeUpdates(room int, first *record) []Member {
	var chosen []Member
	take := func(r *record) bool {
		size := r.encodedSize()
		if size > room || len(chosen) == maxUpdates {
			return false
		}
		room -= size
		chosen = append(chosen, r.Member)
		return true
	}
	if first != nil {
		take(first)
	}
	slices.SortStableFunc(l.queue, func(a, b *record) int { return a.sendCount - b.sendCount })
	limit := l.sendLimit()
	for _, r := range l.queue {
		if r != first && !take(r) {
			break
		}
		r.sendCount++
	}
	l.queue = slices.DeleteFunc(l.queue, func(r *record) bool {
		r.queued = r.sendCount < limit
		return !r.queued
	})
	return chosen
}

// reportChange rebuilds the owners and calls Changed with m.
func (l *List) reportChange(m Member) {
	var owners []Member
	for _, o := range l.Members() {
		replaced := l.replaced && o.Name == l.Self.Name
		if o.Region == l.Self.Region && o.State <= StateSuspect && !replaced {
			owners = append(owners, o)
		}
	}
	if !slices.EqualFunc(owners, l.owners, sameOwner) {
		l.generation++
	}
	l.owners = owners
	if l.Changed != nil {
		l.Changed(m)
	}
}

// sameOwner reports whether a and b agree in all fields on which ownership and forwarding depend.
func sameOwner(a, b Member) bool {
	a.Incarnation, a.State = b.Incarnation, b.State
	return a == b
}
