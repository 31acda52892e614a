package announce

import (
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/history"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/internal/rendezvous"
	"github.com/masticspar/masticspar/internal/strictcbor"
)

const (
	// readersPerZone is the number of entry VMs of an availability zone that read the store; with two, one may fail.
	readersPerZone = 2
	// period is the time between two announcements without changes.
	period = 500 * time.Millisecond
	// joinTime is how long an entry VM takes to learn of most members of its zone after its start.
	joinTime = time.Second
	// gapTimeout is how long a receiver waits for missing changes, which the next announcement repeats.
	gapTimeout = 700 * time.Millisecond
	// repeatPeriod is the time for which changes are repeated.
	repeatPeriod = 1200 * time.Millisecond
	// datagramsPerTick bounds the datagrams of one Tick, so that a burst of changes does not fill the link of a small VM.
	datagramsPerTick = 120
	// maxBatches bounds the batches that are kept; receivers that miss an older one read the store.
	maxBatches = 128
	// maxChanges is the greatest number of changes in a message.
	maxChanges = 8
	// maxMessageBytes is the greatest size of an encoded message in bytes.
	maxMessageBytes = 1400
	// maxAge is the greatest age of a message in milliseconds, an hour.
	maxAge = 3_600_000
)

// Message announces a revision of the store and the changes that lead to it.
type Message struct {
	// From is the name of the sender.
	From string `cbor:"1,keyasint"`
	// Era is the era of the store in which Since and Revision were given out.
	Era uint64 `cbor:"6,keyasint,omitempty"`
	// Since is the revision after which Changes are complete.
	Since uint64 `cbor:"2,keyasint"`
	// Revision is the revision after Changes.
	Revision uint64 `cbor:"3,keyasint"`
	// Version is the version of the sender's active configuration.
	Version uint64 `cbor:"4,keyasint"`
	// Confirms reports whether the store confirmed to the sender, Age ago, that nothing later than Revision existed. Neither
	// is known of a revision between those of a list of changes that was split.
	Confirms bool `cbor:"7,keyasint,omitempty"`
	// Age is the time in milliseconds since that confirmation, on the clock of the sender.
	Age uint64 `cbor:"8,keyasint,omitempty"`
	// Changes are the changes of servers and evacuations in the order of their revisions.
	Changes []registry.Change `cbor:"5,keyasint,omitempty"`
}

// The CBOR library does not accept a limit below 16 array elements.
var decoder = strictcbor.NewDecoder(2*maxChanges, 5)

// Encode returns the CBOR form of m.
func Encode(m *Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Trace(err)
}

// Decode returns the message in b, or an error if b is malformed or exceeds a limit.
func Decode(b []byte) (*Message, error) {
	if len(b) > maxMessageBytes {
		return nil, errors.Errorf("announcement has %d bytes, more than the limit of %d bytes", len(b), maxMessageBytes)
	}
	m := &Message{}
	if err := decoder.Unmarshal(b, m); err != nil {
		return nil, errors.Trace(err)
	}
	if m.From == "" || m.Since > m.Revision {
		return nil, errors.New("announcement has no sender or its first revision is greater than its last")
	}
	if m.Age > maxAge {
		return nil, errors.Errorf("announcement has an age of %d ms, more than the limit of %d ms", m.Age, maxAge)
	}
	for _, c := range m.Changes {
		if (c.Name == "") == (c.Zone == "") || c.Configuration != nil {
			return nil, errors.New("announcement has a change that is neither one of a server nor of an evacuation")
		}
	}
	return m, nil
}

// Action is what the receiver of an announcement has to do.
type Action struct {
	// Apply are the changes to apply, in order.
	Apply []registry.Change
	// Position is the receiver's position after Apply; the zero value leaves it unchanged.
	Position history.Position
	// NeedsState reports whether the whole state has to be fetched from the sender, because the store was restored.
	NeedsState bool
	// NeedsRead reports whether the changes since the receiver's revision have to be read from the store.
	NeedsRead bool
	// NeedsConfiguration reports whether only the configuration has to be read from the store.
	NeedsConfiguration bool
}

// Group decides for one entry VM when to read the store and what to announce in its availability zone. The exported
// fields are set before use. Times are monotonic.
type Group struct {
	// Self is the name of this entry VM, and AvailabilityZone is its availability zone.
	Self, AvailabilityZone string
	// Bound is the time within which a change of the store must take effect.
	Bound time.Duration
	// Send is called to send a message to other entry VMs.
	Send func(to []member.Member, m *Message)

	startedAt  time.Duration
	zone       []member.Member // other active entry VMs of the zone
	rank       int             // of this entry VM in the zone; the first ones are the readers
	substitute bool            // whether the next Publish is announced although this entry VM is no reader
	gapSince   time.Duration   // time since which changes are missing; 0 if none are missing
	era        uint64          // of the store at the last Publish
	batches    []batch         // published changes, oldest first
	latest     batch           // newest revision, without changes; zero while the store is unavailable
	version    uint64          // version of the active configuration
	announceAt time.Duration   // when the next announcement is due
	confirmed  confirmation    // the youngest one that was received
}

// confirmation is what the store confirmed at a time: that there was nothing later than a position and a version of the
// configuration.
type confirmation struct {
	position history.Position
	version  uint64
	at       time.Duration
}

type batch struct {
	since, revision uint64
	changes         []registry.Change
	confirms        bool          // whether revision was the newest one at confirmedAt
	confirmedAt     time.Duration // by the store
	sent            bool
	firstSentAt     time.Duration
	dueAt           time.Duration // when the changes are sent again
}

// Start records the time at which this entry VM starts. One that is alone has no other members to wait for.
func (g *Group) Start(now time.Duration, alone bool) {
	g.startedAt = now
	if alone {
		g.startedAt = now - joinTime
	}
}

// SetMembers replaces the members of the fleet and selects the readers of the zone. It ignores other zones and members
// that are leaving or dead.
func (g *Group) SetMembers(all []member.Member) {
	g.zone = g.zone[:0]
	var ranker rendezvous.Ranker
	ranker.Reset(rendezvous.Hash(g.AvailabilityZone))
	var names []string
	for _, m := range all {
		if m.Zone != g.AvailabilityZone || m.State > member.StateSuspect {
			continue
		}
		names = append(names, m.Name)
		ranker.Add(rendezvous.Hash(m.Name), float64(m.Size))
		if m.Name != g.Self {
			g.zone = append(g.zone, m)
		}
	}
	g.rank = slices.IndexFunc(ranker.First(len(names)), func(i int) bool { return names[i] == g.Self })
	if g.rank < 0 {
		g.rank = len(names) // This entry VM is leaving.
	}
}

// isReader reports whether this entry VM reads the store for its zone.
func (g *Group) isReader() bool { return g.rank < readersPerZone }

// ShouldRead reports whether this entry VM has to watch the store. Shortly after its start it does not know the other
// members of the zone yet, so it does not take itself for a reader.
func (g *Group) ShouldRead(now time.Duration) bool {
	return g.isReader() && now-g.startedAt >= joinTime
}

// Publish queues the changes after revision since up to a position of the same era, which this entry VM has read from
// the store, for announcement. Tick announces them while this entry VM is a reader, or once if it substitutes for them.
// confirmedAt is when the store confirmed that the position was its newest, and version is the version of the active
// configuration.
func (g *Group) Publish(
	since uint64, at history.Position, confirmedAt time.Duration, version uint64, changes []registry.Change,
) {
	if at.Era != g.era {
		g.batches, g.era = nil, at.Era
	}
	g.version = version
	revision := at.Revision
	g.latest = batch{since: revision, revision: revision, confirms: true, confirmedAt: confirmedAt}
	g.announceAt = 0
	var announced []registry.Change
	for _, c := range changes {
		if c.Name != "" || c.Zone != "" {
			announced = append(announced, c)
		}
	}
	limit := maxMessageBytes - g.headerBytes()
	for len(announced) > 0 { // Split at a revision; the changes are in the order of their revisions.
		n := fitting(announced, limit)
		to := announced[max(n, 1)-1].Revision
		if n == len(announced) {
			to = revision
		}
		if n > 0 { // A change that fits into no message leaves a gap, so that receivers read it from the store.
			g.batches = append(g.batches, batch{since: since, revision: to, changes: announced[:n]})
		}
		announced, since = announced[max(n, 1):], to
	}
	if since < revision {
		g.batches = append(g.batches, batch{since: since, revision: revision})
	}
	if n := len(g.batches); n > 0 && g.batches[n-1].revision == revision {
		last := &g.batches[n-1]
		last.confirms, last.confirmedAt, last.dueAt = true, confirmedAt, 0
	}
	g.batches = g.batches[max(0, len(g.batches)-maxBatches):]
}

// headerBytes returns the greatest size of a message of this entry VM without its changes.
func (g *Group) headerBytes() int {
	b, err := Encode(&Message{
		From: g.Self, Era: math.MaxUint64, Since: math.MaxUint64, Revision: math.MaxUint64, Version: math.MaxUint64,
		Confirms: true, Age: maxAge, Changes: make([]registry.Change, 1),
	})
	if err != nil {
		return maxMessageBytes
	}
	return len(b)
}

// fitting returns the number of changes, at most maxChanges, whose encoded size is within the limit in bytes.
func fitting(changes []registry.Change, limit int) int {
	for i := range min(len(changes), maxChanges) {
		b, err := cbor.Marshal(&changes[i])
		if limit -= len(b); err != nil || limit < 0 {
			return i
		}
	}
	return min(len(changes), maxChanges)
}

// StoreLost records that the store is unavailable to this entry VM. Its revision may then be outdated, so it announces
// nothing until the next Publish.
func (g *Group) StoreLost() { g.latest, g.substitute = batch{}, false }

// Tick sends the announcements that are due. It must be called several times per period of 500 ms.
func (g *Group) Tick(now time.Duration) {
	g.batches = slices.DeleteFunc(g.batches, func(b batch) bool { return b.sent && now-b.firstSentAt > repeatPeriod })
	if !g.isReader() && !g.substitute {
		g.batches = nil
		return
	}
	if g.latest.revision == 0 {
		return
	}
	if len(g.batches) > 0 {
		g.sendBatches(now)
		g.announceAt = now + period
		return
	}
	if now >= g.announceAt {
		g.announceAt = now + period
		g.announce(now, g.latest)
	}
	if !g.isReader() {
		g.substitute, g.latest = false, batch{}
	}
}

// sendBatches sends the batches that were not sent yet and then repeats older ones, within datagramsPerTick.
func (g *Group) sendBatches(now time.Duration) {
	budget := datagramsPerTick
	for _, repeat := range []bool{false, true} {
		for i := range g.batches {
			b := &g.batches[i]
			if b.sent != repeat || repeat && now < b.dueAt {
				continue
			}
			if budget < len(g.zone) && budget < datagramsPerTick {
				return
			}
			budget -= len(g.zone)
			if !b.sent {
				b.sent, b.firstSentAt = true, now
			}
			b.dueAt = now + period
			g.announce(now, *b)
		}
	}
}

func (g *Group) announce(now time.Duration, b batch) {
	m := &Message{
		From: g.Self, Era: g.era, Since: b.since, Revision: b.revision, Version: g.version, Changes: b.changes,
	}
	if age := max(0, now-b.confirmedAt).Milliseconds(); b.confirms && age <= maxAge {
		m.Confirms, m.Age = true, uint64(age)
	}
	g.Send(g.zone, m)
}

// Handle processes an announcement of another entry VM; at and version are the position and the version of this entry
// VM. Changes after a gap are not applied. The store has to be read if the gap lasts for gapTimeout.
func (g *Group) Handle(now time.Duration, m *Message, at history.Position, version uint64) Action {
	if m.From == g.Self {
		return Action{}
	}
	confirmedAt := max(0, now-time.Duration(m.Age)*time.Millisecond)
	if m.Confirms && m.Era >= at.Era && confirmedAt > g.confirmed.at {
		g.confirmed = confirmation{history.Position{Era: m.Era, Revision: m.Revision}, m.Version, confirmedAt}
	}
	a := Action{NeedsConfiguration: m.Version > version}
	switch {
	case m.Era < at.Era:
		return a // The sender has not noticed yet that the store was restored.
	case m.Era > at.Era:
		a.NeedsState = true
		g.gapSince = 0
	case m.Revision <= at.Revision:
		if m.Revision == at.Revision {
			g.gapSince = 0
		}
	case m.Since <= at.Revision:
		a.Apply, a.Position = m.Changes, history.Position{Era: m.Era, Revision: m.Revision}
		g.gapSince = 0
	case g.gapSince == 0:
		g.gapSince = now
	case now-g.gapSince >= gapTimeout:
		a.NeedsRead = true
		g.gapSince = 0
	}
	return a
}
