package announce

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/internal/rendezvous"
	"github.com/masticspar/masticspar/internal/strictcbor"
)

const (
	// readersPerZone is the number of entry VMs of an availability zone that read the store; one of them may just have failed.
	readersPerZone = 2
	// period is the time between two announcements without news.
	period = 500 * time.Millisecond
	// announcementTimeout without any announcement makes an entry VM read for itself; three announcements may be lost.
	announcementTimeout = 1700 * time.Millisecond
	// gapTimeout is how long a receiver waits for changes that it lacks; the next announcement repeats them.
	gapTimeout = 700 * time.Millisecond
	// repeatPeriod is the time for which changes are repeated.
	repeatPeriod = 1200 * time.Millisecond
	// maxChanges bounds the changes of a message, which then has maxMessage bytes at most.
	maxChanges = 8
	// maxMessageSize is the greatest size of a message in bytes.
	maxMessageSize = 1400
)

// Message announces the state of the store.
type Message struct {
	// From is the name of the sender.
	From string `cbor:"1,keyasint"`
	// Since is the revision from which on Changes are complete.
	Since uint64 `cbor:"2,keyasint"`
	// Revision is the revision after Changes.
	Revision uint64 `cbor:"3,keyasint"`
	// Version is the version of the configuration that the sender has in force.
	Version uint64 `cbor:"4,keyasint"`
	// Changes are the changes of servers in order.
	Changes []registry.Change `cbor:"5,keyasint,omitempty"`
}

// The decoder takes arrays of 16 elements or more only.
var decoder = strictcbor.NewDecoder(2*maxChanges, 5)

// Encode returns the CBOR form of m.
func Encode(m *Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Trace(err)
}

// Decode returns the message in b, or an error if it breaks the format or a limit.
func Decode(b []byte) (*Message, error) {
	if len(b) > maxMessageSize {
		return nil, errors.Errorf("announcement of %d bytes exceeds %d", len(b), maxMessageSize)
	}
	m := &Message{}
	if err := decoder.Unmarshal(b, m); err != nil {
		return nil, errors.Trace(err)
	}
	if m.From == "" || m.Since > m.Revision {
		return nil, errors.New("announcement without a sender or with revisions in the wrong order")
	}
	for _, c := range m.Changes {
		if c.Name == "" || c.Configuration != nil {
			return nil, errors.New("announcement of something else than a server")
		}
	}
	return m, nil
}

// Action is what an announcement asks the receiver to do.
type Action struct {
	// Apply are changes to put in force, up to Revision.
	Apply []registry.Change
	// Revision is the revision after them; 0 leaves the own one.
	Revision uint64
	// NeedsRead says that the store must be read, because changes are missing.
	NeedsRead bool
	// NeedsConfiguration says that only the configuration must be read.
	NeedsConfiguration bool
}

// Group is one entry VM's part in its availability zone; its exported fields are set before use.
type Group struct {
	// Self is the name of this entry VM and AvailabilityZone its zone.
	Self, AvailabilityZone string
	// Send sends a message to other entry VMs.
	Send func(to []member.Member, m *Message)

	zone       []member.Member // other live entry VMs of the zone
	reader     bool
	receivedAt time.Duration // last announcement of another
	gapSince   time.Duration // since when changes are missing; 0 when none are
	batches    []batch       // what was announced within memory
	latest     batch         // newest revision without changes
	version    uint64
	announceAt time.Duration
}

type batch struct {
	at              time.Duration
	since, revision uint64
	changes         []registry.Change
}

// SetMembers takes the live entry VMs of the fleet.
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
	g.reader = false
	for _, i := range ranker.First(readersPerZone) {
		g.reader = g.reader || names[i] == g.Self
	}
}

// ShouldRead reports whether this entry VM has to read the store.
func (g *Group) ShouldRead(now time.Duration) bool {
	return g.reader || g.receivedAt == 0 || now-g.receivedAt >= announcementTimeout
}

// Publish takes what the store told this entry VM: the changes after since up to revision.
func (g *Group) Publish(now time.Duration, since, revision, version uint64, changes []registry.Change) {
	g.version = version
	g.latest = batch{at: now, since: revision, revision: revision}
	var servers []registry.Change
	for _, c := range changes {
		if c.Name != "" {
			servers = append(servers, c)
		}
	}
	for len(servers) > maxChanges { // The changes are in the order of their revisions.
		to := servers[maxChanges-1].Revision
		g.batches = append(g.batches, batch{now, since, to, servers[:maxChanges]})
		servers, since = servers[maxChanges:], to
	}
	if len(servers) > 0 || since < revision {
		g.batches = append(g.batches, batch{now, since, revision, servers})
	}
	if g.reader && len(g.batches) > 0 {
		g.announceAt = now // The next Tick announces it.
	}
}

// StoreLost takes note that the store does not answer this entry VM, which must not vouch for its revision.
func (g *Group) StoreLost() { g.latest = batch{} }

// Tick announces when it is time.
func (g *Group) Tick(now time.Duration) {
	for len(g.batches) > 0 && now-g.batches[0].at > repeatPeriod {
		g.batches = g.batches[1:]
	}
	if !g.reader || now < g.announceAt || g.latest.revision == 0 {
		return
	}
	g.announceAt = now + period
	if len(g.batches) == 0 {
		g.announce(g.latest)
		return
	}
	for _, b := range g.batches {
		g.announce(b)
	}
}

func (g *Group) announce(b batch) {
	g.Send(g.zone, &Message{From: g.Self, Since: b.since, Revision: b.revision, Version: g.version, Changes: b.changes})
}

// Handle takes an announcement of another entry VM; revision and version are what this one has.
func (g *Group) Handle(now time.Duration, m *Message, revision, version uint64) Action {
	if m.From == g.Self {
		return Action{}
	}
	g.receivedAt = now
	a := Action{NeedsConfiguration: m.Version > version}
	switch {
	case m.Revision <= revision:
		if m.Revision == revision {
			g.gapSince = 0
		}
	case m.Since <= revision:
		a.Apply, a.Revision = m.Changes, m.Revision
		g.gapSince = 0
	case g.gapSince == 0:
		g.gapSince = now
	case now-g.gapSince >= gapTimeout:
		a.NeedsRead = true
		g.gapSince = 0
	}
	return a
}
