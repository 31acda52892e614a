package bootstrap

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// replyTimeout is the longest time that an entry VM waits for the first reply of a contact before it reads the
	// store. Contacts of a fleet that starts at once may start a few hundred milliseconds later.
	replyTimeout = 400 * time.Millisecond
	// stateTimeout is how long an entry VM waits for the state of another one before it reads the store.
	stateTimeout = 900 * time.Millisecond
	// memberDelay is how long after its own start a contact takes members for sources only if they sent a notice. When
	// the whole fleet starts at once, the others may have no state yet.
	memberDelay = 5 * time.Second
)

// Action is what an entry VM that starts has to do next.
type Action struct {
	// Read reports whether the store has to be read; otherwise the state is fetched from one of Sources.
	Read bool
	// Sources are entry VMs that have the state, the preferred one first.
	Sources []netip.AddrPort
	// Reason is why the store has to be read; it is part of the name of a counter.
	Reason string
}

// Reasons for reading the store.
const (
	ReasonNoContact  = "no-contact"    // the settings name no other entry VM, or none replied in time
	ReasonSelected   = "selected"      // a contact selected this entry VM to read the store for its zone
	ReasonNoSource   = "no-source"     // no other entry VM had the state in time
	ReasonSmall      = "small"         // the store is read in one call, which takes less time than a referral
	ReasonFetchError = "source-failed" // the state could not be fetched
)

// Source is an entry VM that has the state.
type Source struct {
	// Address is where it serves its state.
	Address netip.AddrPort
	// Size is its size in thousandths of a core.
	Size uint32
}

// Agent is the part of one entry VM in the bootstrap of the fleet: it asks for the state when it starts, and as a contact
// it refers others to entry VMs that have it. The exported fields are set before Start. Times are monotonic.
type Agent struct {
	// Address is the address of this entry VM for messages and for the transfer of its state.
	Address netip.AddrPort
	// AvailabilityZone is the availability zone of this entry VM.
	AvailabilityZone string
	// Size is the size of this entry VM in thousandths of a core.
	Size uint32
	// Seed makes the random choices reproducible.
	Seed uint64
	// Contacts are the contacts of the settings; they may include this entry VM.
	Contacts []netip.AddrPort
	// Members returns the other entry VMs of an availability zone that are known to run.
	Members func(zone string) []Source
	// Send is called to send a message to another entry VM.
	Send func(to netip.AddrPort, m *Message)
	// Decide is called with each action. After an action with Sources it is not called again before FetchFailed, and
	// after one with Read not again at all.
	Decide func(a Action)

	startedAt time.Duration
	readAt    time.Duration // when the store is read if no contact has replied
	phase     phase
	replied   bool // whether a contact has replied
	zones     map[string]*zone
}

type phase uint8

const (
	phaseIdle     phase = iota // Start was not called yet
	phaseWaiting               // for a referral
	phaseFetching              // the state from another entry VM
	phaseReading               // the store
	phaseSynced
)

// Start begins the search for the state.
func (a *Agent) Start(now time.Duration) {
	// While the contacts do not reply, a few entry VMs read the store early, and more of them later: they are sources for
	// the others as soon as a contact replies, and without contacts the store is not read by all at the same time.
	random := rand.New(rand.NewPCG(a.Seed, a.Seed))
	a.readAt = now + time.Duration(math.Sqrt(random.Float64())*float64(replyTimeout))
	a.startedAt, a.phase = now, phaseWaiting
	if len(a.Contacts) == 0 {
		a.decide(Action{Read: true, Reason: ReasonNoContact})
		return
	}
	a.query(now)
}

// Tick repeats the query and applies the timeouts. It must be called several times per second.
func (a *Agent) Tick(now time.Duration) {
	a.expire(now)
	switch {
	case a.phase == phaseIdle || a.phase == phaseSynced:
		return
	case a.phase != phaseWaiting: // It has a referral already.
	case !a.replied && now >= a.readAt:
		a.decide(Action{Read: true, Reason: ReasonNoContact})
	case now-a.startedAt >= stateTimeout:
		a.decide(Action{Read: true, Reason: ReasonNoSource})
	}
	a.query(now) // A contact that has started in the meantime must know that this entry VM has no state yet.
}

// Synced records that this entry VM has the state and informs the contacts. Later calls have no effect.
func (a *Agent) Synced(now time.Duration) {
	if a.phase == phaseSynced {
		return
	}
	a.phase = phaseSynced
	a.query(now)
}

// FetchFailed records that no source of the last action supplied the state. The store is then read, because the sources
// may be outdated.
func (a *Agent) FetchFailed() {
	if a.phase == phaseFetching {
		a.decide(Action{Read: true, Reason: ReasonFetchError})
	}
}

// ReadSmall requests a read of the store, because it is small, unless a referral arrived before.
func (a *Agent) ReadSmall() {
	if a.phase == phaseWaiting {
		a.decide(Action{Read: true, Reason: ReasonSmall})
	}
}

// Handle processes a message of another entry VM.
func (a *Agent) Handle(now time.Duration, m *Message) {
	if m.Reply {
		a.handleReply(m)
	} else {
		a.handleQuery(now, m)
	}
}

// query sends a query, or a notice if this entry VM has the state, to all contacts.
func (a *Agent) query(now time.Duration) {
	m := &Message{
		From: a.Address, AvailabilityZone: a.AvailabilityZone, Size: a.Size, Synced: a.phase == phaseSynced,
		Busy: a.phase == phaseFetching || a.phase == phaseReading,
	}
	for _, c := range a.Contacts {
		if c == a.Address {
			a.handleQuery(now, m)
		} else {
			a.Send(c, m)
		}
	}
}

func (a *Agent) handleReply(m *Message) {
	a.replied = true
	if a.phase != phaseWaiting {
		return
	}
	if m.Read {
		a.decide(Action{Read: true, Reason: ReasonSelected})
	} else if len(m.Sources) > 0 {
		a.decide(Action{Sources: m.Sources})
	}
}

func (a *Agent) decide(action Action) {
	a.phase = phaseFetching
	if action.Read {
		a.phase = phaseReading
	}
	a.Decide(action)
}

// reply sends a reply to an entry VM, which may be this one.
func (a *Agent) reply(to netip.AddrPort, m *Message) {
	m.From, m.Reply = a.Address, true
	if to == a.Address {
		a.handleReply(m)
	} else {
		a.Send(to, m)
	}
}

// handleQuery records the sender of a query or notice, and refers the entry VMs of its zone that wait.
func (a *Agent) handleQuery(now time.Duration, m *Message) {
	z := a.zone(m.AvailabilityZone)
	if z == nil {
		return
	}
	s := z.starter(m.From)
	if s == nil {
		return
	}
	s.size, s.synced, s.seenAt = m.Size, m.Synced, now
	s.waiting = !m.Synced && !m.Busy
	a.refer(now, m.AvailabilityZone, z)
	if s.waiting && !z.hasReader(now) && len(a.sources(now, m.AvailabilityZone, z)) == 0 {
		s.waiting, s.readAt = false, now
		a.reply(m.From, &Message{Read: true})
	} else if s.waiting {
		a.reply(m.From, &Message{})
	}
}

// refer refers the entry VMs of a zone that wait, the largest first, to sources with a free transfer.
func (a *Agent) refer(now time.Duration, name string, z *zone) {
	sources := a.sources(now, name, z)
	for _, s := range z.waiting() {
		chosen := z.choose(now, sources)
		if len(chosen) == 0 {
			return
		}
		s.waiting = false
		a.reply(s.address, &Message{Sources: chosen})
	}
}

// sources returns the entry VMs of a zone that have the state: those that sent a notice, this one, and members that
// are not known to be starting.
func (a *Agent) sources(now time.Duration, name string, z *zone) []Source {
	var list []Source
	for _, s := range z.starters {
		if s.synced {
			list = append(list, Source{Address: s.address, Size: s.size})
		}
	}
	var members []Source
	if now-a.startedAt >= memberDelay {
		members = a.Members(name)
	}
	if name == a.AvailabilityZone && a.phase == phaseSynced {
		members = append(members, Source{Address: a.Address, Size: a.Size})
	}
	for _, m := range members {
		if z.find(m.Address) == nil {
			list = append(list, m)
		}
	}
	return list
}
