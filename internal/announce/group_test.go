package announce

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/history"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/registry"
)

// bound is the time within which changes must take effect.
const bound = 3 * time.Second

// zone is an availability zone with a Group for each entry VM; messages arrive immediately.
type zone struct {
	now    time.Duration
	groups map[string]*vm
	sent   int // datagrams
}

type vm struct {
	Group
	revision, version uint64
	confirmedAt       time.Duration
	actions           []Action
	applied           []string
	unreachable       bool
}

func newZone(n int) *zone {
	z := &zone{now: time.Second, groups: map[string]*vm{}}
	var all []member.Member
	for i := range n {
		name := fmt.Sprint("entry-", i)
		all = append(all, member.Member{Name: name, Zone: "wa-perth", Size: 1000})
		z.groups[name] = &vm{Group: Group{Self: name, AvailabilityZone: "wa-perth", Bound: bound, Send: z.send}}
	}
	all = append(all, member.Member{Name: "entry-far", Zone: "wa-south", Size: 100_000})
	for _, g := range z.groups {
		g.SetMembers(all)
	}
	return z
}

func (z *zone) send(to []member.Member, m *Message) {
	z.sent += len(to)
	for _, one := range to {
		z.deliver(z.groups[one.Name], m)
	}
}

func (z *zone) deliver(g *vm, m *Message) {
	b, err := Encode(m)
	if err != nil {
		panic(err)
	}
	if m, err = Decode(b); err != nil {
		panic(err)
	}
	if g.unreachable {
		return
	}
	a := g.Handle(z.now, m, history.Position{Era: g.era, Revision: g.revision}, g.version)
	g.actions = append(g.actions, a)
	for _, c := range a.Apply {
		g.applied = append(g.applied, c.Name)
	}
	g.revision = max(g.revision, a.Position.Revision)
	g.confirmedAt = max(g.confirmedAt, g.ConfirmedAt(history.Position{Era: g.era, Revision: g.revision}, g.version))
}

func (z *zone) advance(d time.Duration) {
	for end := z.now + d; z.now < end; z.now += 100 * time.Millisecond {
		for _, g := range z.groups {
			g.Tick(z.now)
		}
	}
}

func (z *zone) readers() (list []*vm) {
	for _, g := range z.groups {
		if g.isReader() {
			list = append(list, g)
		}
	}
	return list
}

func (z *zone) nonReader() *vm {
	for _, g := range z.groups {
		if !g.isReader() {
			return g
		}
	}
	return nil
}

// publish publishes changes that the store confirmed 10 ms after the start of the zone.
func (g *vm) publish(revision uint64, names ...string) {
	g.publishAt(time.Second+10*time.Millisecond, revision, names...)
}

func (g *vm) publishAt(confirmedAt time.Duration, revision uint64, names ...string) {
	var changes []registry.Change
	for i, n := range names {
		changes = append(changes, registry.Change{
			Name: n, Revision: revision - uint64(len(names)-1-i), Host: &registry.Host{
				Name: n, Service: "standdesk-with-a-long-name", Address: netip.MustParseAddrPort("10.0.0.1:8080"),
				AvailabilityZone: "wa-perth-with-a-long-name", Started: 1_700_000_000_000, Number: 1 << 60,
			},
		})
	}
	since := g.revision
	g.revision = revision
	g.confirmedAt = max(g.confirmedAt, confirmedAt)
	g.Publish(since, history.Position{Era: g.era, Revision: revision}, confirmedAt, g.version, changes)
}

// shouldRead reports whether an entry VM makes calls to the store.
func (g *vm) shouldRead(now time.Duration) bool {
	return g.ShouldRead(now) || now-g.confirmedAt >= g.PollAge()
}

// Guards against a zone in which all entry VMs read the store, or none.
func TestOnlyReadersReadStore(t *testing.T) {
	is := is.New(t)
	z := newZone(10)
	is.Equal(len(z.readers()), readersPerZone)
	for _, g := range z.groups {
		g.Start(z.now, false)
	}
	for _, g := range z.groups {
		g.confirmedAt = z.now // Each has just read the state.
	}
	first := bound * 5 / 10
	is.True(!z.nonReader().shouldRead(z.now + first - 1))
	is.True(z.nonReader().shouldRead(z.now + bound*65/100)) // No announcement was received yet.
	for range 4 {
		for _, g := range z.readers() {
			g.publishAt(z.now, 5)
		}
		z.advance(bound * 4 / 10)
		is.True(!z.nonReader().shouldRead(z.now))
		is.True(z.readers()[0].shouldRead(z.now))
	}
}

// Guards against all VMs of a fleet that starts at once watching the store, because each of them knows no other member
// of its zone yet, and against a VM without contacts that waits for announcements.
func TestStartingVMWaitsForMembers(t *testing.T) {
	is := is.New(t)
	g := Group{Self: "entry-0", AvailabilityZone: "wa-perth"}
	g.SetMembers([]member.Member{{Name: "entry-0", Zone: "wa-perth", Size: 1000}})
	g.Start(time.Second, false)
	is.True(!g.ShouldRead(time.Second + joinTime - 1))
	is.True(g.ShouldRead(time.Second + joinTime))
	g.Start(time.Second, true)
	is.True(g.ShouldRead(time.Second))
}

// Guards against a zone that gets no changes after its readers failed or the store became unavailable to them.
func TestOthersReadAfterReadersFailed(t *testing.T) {
	is := is.New(t)
	z := newZone(5)
	for _, g := range z.readers() {
		g.publish(5)
	}
	z.advance(time.Second)
	for _, g := range z.readers() {
		g.StoreLost()
		g.batches = nil
	}
	z.advance(bound - time.Second - 700*time.Millisecond) // A call that fails and its repetition follow within the bound.
	is.True(z.nonReader().shouldRead(z.now))
}

// Guards against a burst of changes, such as the registration of hundreds of servers after an outage, that fills the
// link of a reader at once, so that the other VMs of the zone miss changes and all of them read the store.
func TestBurstOfChangesIsPaced(t *testing.T) {
	is := is.New(t)
	z := newZone(60)
	for _, g := range z.readers() {
		g.publish(5)
	}
	z.advance(200 * time.Millisecond)
	names := make([]string, 180)
	for i := range names {
		names[i] = fmt.Sprint("i-", i)
	}
	reader := z.readers()[0]
	reader.publish(reader.revision+uint64(len(names)), names...)
	most := 0
	for range 30 {
		before := z.sent
		reader.Tick(z.now)
		most = max(most, z.sent-before)
		z.now += 100 * time.Millisecond
	}
	is.True(most <= datagramsPerTick)
	for _, g := range z.groups {
		if g.isReader() {
			continue
		}
		is.Equal(g.revision, reader.revision)
		is.Equal(g.applied, names)
		for _, a := range g.actions {
			is.True(!a.NeedsRead)
		}
	}
}

// Guards against changes that are lost with a datagram: they have to be repeated in order, in datagrams within the size
// limit.
func TestRepeatsLostChanges(t *testing.T) {
	is := is.New(t)
	z := newZone(5)
	g, nonReader := z.readers()[0], z.nonReader()
	nonReader.unreachable = true
	var names []string
	for i := range 3*maxChanges + 1 {
		names = append(names, fmt.Sprintf("i-%020d", i))
	}
	g.publish(50, names...)
	z.advance(200 * time.Millisecond)
	is.Equal(len(nonReader.applied), 0)
	nonReader.unreachable = false
	z.advance(period)
	is.Equal(nonReader.applied, names)
	is.Equal(nonReader.revision, uint64(50))
}

// Guards against a server with a long name, zone or service whose announcement the other entry VMs of the zone refuse, so
// that all of them miss the changes of its neighbors and read the store.
func TestLongChangesFitIntoMessages(t *testing.T) {
	is := is.New(t)
	z := newZone(3)
	reader := z.readers()[0]
	at, since := history.Position{}, uint64(0)
	var applied []string
	reader.Send = func(_ []member.Member, m *Message) {
		b, err := Encode(m)
		is.NoErr(err)
		m, err = Decode(b)
		is.NoErr(err) // A message that is sent can be decoded.
		a := z.nonReader().Handle(z.now, m, at, 0)
		for _, c := range a.Apply {
			applied = append(applied, c.Name)
		}
		if a.Position.Revision > 0 {
			at = a.Position
		}
	}
	publish := func(lengths ...int) {
		var changes []registry.Change
		for _, n := range lengths {
			since++
			long := strings.Repeat("z", n)
			name := fmt.Sprintf("i-%d", since)
			changes = append(changes, registry.Change{Name: name, Revision: since, Host: &registry.Host{
				Name: name, Service: long, Address: netip.MustParseAddrPort("10.0.0.1:8080"), AvailabilityZone: long,
			}})
		}
		reader.Publish(since-uint64(len(lengths)), history.Position{Revision: since}, z.now, 0, changes)
	}
	publish(10, 128, 128, 128, 128, 128, 128, 128, 128, 128, 10)
	reader.Tick(z.now)
	is.Equal(len(applied), 11)
	is.Equal(at.Revision, since)

	publish(10, 2000, 10) // One change does not fit into any message.
	reader.Tick(z.now + period)
	is.Equal(applied[11:], []string{"i-12"})
	a := z.nonReader().Handle(z.now+period+gapTimeout, &Message{From: reader.Self, Since: since, Revision: since}, at, 0)
	is.True(a.NeedsRead) // The changes after the gap are read from the store.
}

// Guards against an entry VM that continues with a registry in which changes are missing.
func TestLastingGapNeedsRead(t *testing.T) {
	is := is.New(t)
	z := newZone(5)
	g, nonReader := z.readers()[0], z.nonReader()
	g.revision = 40 // The other entry VM has revision 0.
	g.publish(41, "i-1")
	z.advance(gapTimeout + 2*period)
	reads := 0
	for _, a := range nonReader.actions {
		if a.NeedsRead {
			reads++
		}
	}
	is.True(reads >= 1)
	is.Equal(len(nonReader.applied), 0) // Changes after a gap are not applied.
}

// Guards against a configuration that only the readers receive.
func TestNewerVersionNeedsConfiguration(t *testing.T) {
	is := is.New(t)
	z := newZone(5)
	g, nonReader := z.readers()[0], z.nonReader()
	g.version, nonReader.version = 7, 6
	g.publish(5)
	z.advance(period)
	is.True(nonReader.actions[0].NeedsConfiguration)
}

// Guards against a panic on a malformed datagram.
func FuzzDecode(f *testing.F) {
	b, err := Encode(&Message{From: "entry-1", Since: 1, Revision: 2, Changes: []registry.Change{{Name: "i-1", Revision: 2}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = Decode(b) })
}

// Guards against an entry VM that ignores all announcements after the store was restored, because their revisions are
// lower than the one it has, but does not read the store either.
func TestAnnouncementOfLaterEraNeedsState(t *testing.T) {
	is := is.New(t)
	z := newZone(3)
	g, at := z.nonReader(), history.Position{Era: 1, Revision: 9}
	g.Start(z.now, false)
	changes := []registry.Change{{Name: "i-1", Era: 2, Revision: 7}}
	m := &Message{From: "reader", Era: 2, Since: 6, Revision: 7, Changes: changes}
	a := g.Handle(z.now, m, at, 1)
	is.Equal(a, Action{NeedsState: true})
	at = history.Position{Era: 2, Revision: 6}
	a = g.Handle(z.now, m, at, 1)
	is.Equal(a, Action{Apply: changes, Position: history.Position{Era: 2, Revision: 7}})
}

// Guards against an entry VM that relies on a reader which has not noticed that the store was restored.
func TestReaderOfEarlierEraDoesNotCount(t *testing.T) {
	is := is.New(t)
	z := newZone(3)
	g, at := z.nonReader(), history.Position{Era: 2, Revision: 6}
	g.Start(z.now, false)
	m := &Message{
		From: "reader", Era: 1, Since: 8, Revision: 9, Version: 2, Confirms: true, Changes: []registry.Change{{Name: "i-1"}},
	}
	is.Equal(g.Handle(z.now, m, at, 1), Action{NeedsConfiguration: true}) // It does not confirm the own state.
	is.Equal(g.ConfirmedAt(at, 2), time.Duration(0))
	is.True(g.PollAge() < bound)
}

// Guards against changes of the lost history that are announced in the next era.
func TestPublishDropsChangesOfEarlierEra(t *testing.T) {
	is := is.New(t)
	z := newZone(3)
	reader := z.readers()[0]
	reader.publish(9, "i-1")
	reader.Publish(5, history.Position{Era: 1, Revision: 5}, z.now, 1, nil)
	z.advance(time.Second)
	is.Equal(len(z.nonReader().applied), 0)
}

// Guards against evacuations that do not reach the entry VMs that do not read the store.
func TestEvacuationIsAnnounced(t *testing.T) {
	is := is.New(t)
	c := registry.Change{Zone: "wa-perth", Evacuated: true, Revision: 7}
	b, err := Encode(&Message{From: "entry-1", Since: 6, Revision: 7, Changes: []registry.Change{c}})
	is.NoErr(err)
	m, err := Decode(b)
	is.NoErr(err)
	var sent []*Message
	g := Group{Self: "entry-1", AvailabilityZone: "wa-perth", Send: func(_ []member.Member, m *Message) { sent = append(sent, m) }}
	g.SetMembers([]member.Member{{Name: "entry-1", Zone: "wa-perth"}, {Name: "entry-2", Zone: "wa-perth"}})
	g.Publish(6, history.Position{Revision: 7}, 0, 1, []registry.Change{c})
	g.Tick(0)
	is.Equal(len(sent), 1)
	is.Equal(sent[0].Changes, m.Changes)
	follower := Group{Self: "entry-2"}
	a := follower.Handle(0, sent[0], history.Position{Revision: 6}, 1)
	is.Equal(a.Apply, []registry.Change{c})
	m.Changes[0].Name = "i-1"
	b, err = Encode(m)
	is.NoErr(err)
	if _, err = Decode(b); err == nil {
		t.Error("a change of both a server and a zone was decoded")
	}
}
