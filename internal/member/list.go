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
	pingPeriod      = 500 * time.Millisecond
	indirectAfter   = 200 * time.Millisecond
	suspectAfter    = time.Second
	deadAfter       = 2500 * time.Millisecond
	retryPeriod     = 5 * time.Second
	hintPeriod      = time.Second
	forgetAfter     = time.Hour
	settleAfter     = 3 * time.Second
	exchangePeriod  = 500 * time.Millisecond
	duplicateAfter  = 5 * time.Second // Late messages of a replaced process are no sign of a second live one.
	duplicatePeriod = time.Minute     // Each message of a second process would log a line otherwise.

	fanout      = 3  // Indirect pings, and receivers of an urgent notice.
	maxRetriers = 2  // Members that retry the same dead member; one of them may itself have just failed.
	maxRelays   = 64 // Open ping requests of others.
	maxHints    = 1024

	maxCrossZoneBytes = 200 // Bytes of updates in a message to another availability zone when OtherZones is set.
)

// List is one process's view of the fleet; its exported fields are set before Start.
type List struct {
	// Self is this process; Incarnation is its start time in milliseconds.
	Self Member
	// Seed makes the choices of the list reproducible.
	Seed uint64
	// CrossZoneRounds is the number of rounds of pings of which one includes members of other availability zones; zero or one
	// includes them in each. Their failures then reach this process through updates, later than those of its own zone.
	CrossZoneRounds int
	// Send sends m to a member; a member without a name is an address that may belong to anybody.
	Send func(to Member, m Message)
	// Changed is called after a member was added, changed or forgotten (then as dead).
	Changed func(m Member)
	// Digests returns the documents to name in messages; nil names none.
	Digests func() []Digest
	// HandleDigests receives the documents that another member named; nil ignores them.
	HandleDigests func(from Member, digests []Digest)
	// Counters counts refusals and changes; nil discards them.
	Counters *counter.Set
	// Logger receives errors that an operator must see; nil discards them.
	Logger *zap.Logger

	rand     *rand.Rand
	records  map[string]*record
	names    []string                  // Keys of records in order, so that equal seeds give equal runs.
	byAddr   map[netip.AddrPort]string // Control address to the name that used it last.
	contacts []netip.AddrPort
	hints    []netip.AddrPort
	nextHint int
	hintDue  time.Duration

	order        []string // Members still to ping in this round.
	round        int
	pingDue      time.Duration
	retryDue     time.Duration
	probes       []*probe
	relays       []relay
	lastSequence uint64

	queue       []*record // Updates that are still to be spread.
	replaced    bool      // Another process with this name and a higher incarnation exists.
	duplicateAt time.Duration
	settled     bool
	settleDue   time.Duration
	exchangeDue time.Duration
	exchange    uint64 // Sequence of the page that is being waited for.
	cursor      string // Last name of the exchange so far.

	owners     []Member
	generation uint64
}

// record is what the list keeps about one member.
type record struct {
	Member
	stateSince    time.Duration // When the state was entered.
	firstSeen     time.Duration // When this process of the member was first heard of.
	lastMessageAt time.Duration // Last message from the member.
	suspected     bool          // Waits to be declared dead; a leaving member keeps its state meanwhile.
	retryDue      time.Duration
	sendCount     int
	queued        bool
}

// Start begins to join the fleet through the control addresses of the contacts.
func (l *List) Start(now time.Duration, contacts []netip.AddrPort) {
	l.rand = rand.New(rand.NewPCG(l.Seed, l.Seed^0x9e3779b97f4a7c15))
	l.records = map[string]*record{}
	l.byAddr = map[netip.AddrPort]string{l.Self.Control: l.Self.Name}
	l.lastSequence = l.rand.Uint64() >> 1 // A restarted process must not accept answers to its predecessor.
	l.contacts = slices.DeleteFunc(slices.Clone(contacts), func(a netip.AddrPort) bool { return a == l.Self.Control })
	// Members that start together must not ping in the same instant.
	l.pingDue = now + time.Duration(l.rand.Int64N(int64(pingPeriod)))
	l.reportChange(l.Self)
	l.beginExchange(now)
}

// SetPlatformAddresses replaces the addresses that the platform lists; they are only tried, never believed.
func (l *List) SetPlatformAddresses(addresses []netip.AddrPort) {
	// The place in the list is kept: a list that is read often and begins with dead VMs would hide the others.
	l.hints = slices.Clone(addresses[:min(len(addresses), maxHints)])
}

// Settled reports whether the view is fresh enough to decide by.
func (l *List) Settled(now time.Duration) bool {
	if !l.settled && now >= l.settleDue {
		l.settled = true
		l.Counters.Add("member-settled-without-reply", 1)
	}
	return l.settled
}

// Leave announces that this process gives up its flows; it cannot be taken back.
func (l *List) Leave(_ time.Duration) {
	if l.Self.State == StateLeaving {
		return
	}
	l.Self.State = StateLeaving
	l.reportChange(l.Self)
	l.sendNotices()
}

// Resume is to be called after the process did not run for a while.
func (l *List) Resume(now time.Duration) {
	// What was measured before and during the pause says nothing about the others.
	l.probes, l.relays = nil, nil
	for _, r := range l.records {
		if r.suspected {
			r.stateSince = now
		}
	}
	for _, r := range l.queue { // Old news.
		r.queued = false
	}
	l.queue = nil
	l.raiseIncarnation(l.Self.Incarnation)
	l.pingDue = now
	l.beginExchange(now)
	l.sendNotices()
}

// Owners returns the members of this region that may own flows, ordered by name, and a number that changes
// only when this set changes. The slice must not be modified.
func (l *List) Owners() ([]Member, uint64) { return l.owners, l.generation }

// Active returns the members of all regions, this process included, that are alive or suspect, ordered by name.
func (l *List) Active() []Member {
	return slices.DeleteFunc(l.Members(), func(m Member) bool { return m.State > StateSuspect })
}

// Members returns all known members, this process included, ordered by name.
func (l *List) Members() []Member {
	all := make([]Member, 0, len(l.records)+1)
	for _, name := range l.names {
		all = append(all, l.records[name].Member)
	}
	i, _ := slices.BinarySearch(l.names, l.Self.Name)
	return slices.Insert(all, i, l.Self)
}

// Get returns the member with the given name.
func (l *List) Get(name string) (Member, bool) {
	if name == l.Self.Name {
		return l.Self, true
	}
	if r := l.records[name]; r != nil {
		return r.Member, true
	}
	return Member{}, false
}

func (l *List) beginExchange(now time.Duration) {
	l.settled = false
	l.settleDue = now + settleAfter
	l.exchangeDue = now
	l.exchange, l.cursor = 0, ""
}

// raiseIncarnation gives this process an incarnation above the given one; every message names it.
func (l *List) raiseIncarnation(above uint64) {
	l.Self.Incarnation = max(l.Self.Incarnation, above) + 1
	l.reportChange(l.Self)
}

// enqueue spreads the state of r from the beginning.
func (l *List) enqueue(r *record) {
	r.sendCount = 0
	if !r.queued {
		r.queued = true
		l.queue = append(l.queue, r)
	}
}

// sendLimit is how often one update is sent: enough for it to reach everybody with high probability.
func (l *List) sendLimit() int { return 3 * bits.Len(uint(len(l.records)+1)) }

// takeUpdates takes takeUpdates for a message that has room bytes left, those first that were sent least often.
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

// reportChange rebuilds the owners and reports m.
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

// sameOwner compares what ownership and forwarding depend on.
func sameOwner(a, b Member) bool {
	a.Incarnation, a.State = b.Incarnation, b.State
	return a == b
}
