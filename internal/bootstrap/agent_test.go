package bootstrap

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/standin/schedule"
)

// fleet is a number of entry VMs that start within 0.3 s, in virtual time. Reads of the store share its link.
type fleet struct {
	t      *testing.T
	now    time.Duration
	queue  schedule.Queue
	random *rand.Rand
	vms    []*vm
	byAddr map[netip.AddrPort]*vm

	down        map[netip.AddrPort]bool // VMs that do not run
	storeFails  map[netip.AddrPort]bool // VMs that the store refuses
	storeReads  int
	messages    int
	maxReading  int
	reading     int
	maxMessages int // greatest number of messages that one VM sent
}

type vm struct {
	Agent
	startAt, syncedAt time.Duration
	sent              int
	synced            bool
	transfers         int
}

func (f *fleet) after(d time.Duration, do func()) { f.queue.At(f.now+d, do) }

func address(zone, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone + 1), 0, byte(i + 1)}), 7720)
}

// sizes of VMs in thousandths of a core.
var sizes = []uint32{45, 100, 200, 800}

// newFleet returns VMs in the given number of zones whose contacts are the first VMs of the first three zones.
func newFleet(t *testing.T, zones, vmsPerZone int) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(1, 2)), byAddr: map[netip.AddrPort]*vm{},
		down: map[netip.AddrPort]bool{}, storeFails: map[netip.AddrPort]bool{},
	}
	contacts := []netip.AddrPort{address(0, 0), address(min(1, zones-1), 1), address(min(2, zones-1), 2)}
	for z := range zones {
		for i := range vmsPerZone {
			v := &vm{startAt: time.Duration(f.random.IntN(300)) * time.Millisecond}
			v.Agent = Agent{
				Address: address(z, i), AvailabilityZone: fmt.Sprint("zone-", z), Size: sizes[f.random.IntN(len(sizes))],
				Seed: f.random.Uint64(), Contacts: contacts, Members: func(string) []Source { return nil },
				Send:   func(to netip.AddrPort, m *Message) { f.send(v, to, m) },
				Decide: func(a Action) { f.decide(v, a) },
			}
			f.vms, f.byAddr[v.Address] = append(f.vms, v), v
		}
	}
	return f
}

func (f *fleet) running(v *vm) bool { return !f.down[v.Address] && f.now >= v.startAt }

func (f *fleet) send(from *vm, to netip.AddrPort, m *Message) {
	f.messages++
	from.sent++
	f.maxMessages = max(f.maxMessages, from.sent)
	b, err := Encode(m)
	if err != nil {
		f.t.Fatal(err)
	}
	f.after(time.Millisecond, func() {
		v := f.byAddr[to]
		if v == nil || !f.running(v) {
			return
		}
		got, err := Decode(b)
		if err != nil {
			f.t.Fatal(err)
		}
		v.Handle(f.now, got)
	})
}

const (
	readTime      = 150 * time.Millisecond // of the whole store by one VM alone
	transferCost  = 3 * time.Millisecond   // of a whole core, for each transfer of a source
	readersAtOnce = 30                     // whole reads that the link of the store carries in readTime
)

func (f *fleet) decide(v *vm, a Action) {
	if a.Read {
		f.storeReads++
		f.reading++
		f.maxReading = max(f.maxReading, f.reading)
		f.after(readTime*time.Duration(max(1, f.reading/readersAtOnce)), func() {
			f.reading--
			if !f.storeFails[v.Address] {
				f.sync(v)
			}
		})
		return
	}
	for _, s := range a.Sources {
		source := f.byAddr[s]
		if !f.running(source) || !source.synced {
			continue
		}
		source.transfers++
		f.after(time.Duration(float64(transferCost)*1000/float64(source.Size))*time.Duration(source.transfers), func() {
			source.transfers--
			f.sync(v)
		})
		return
	}
	f.after(10*time.Millisecond, v.FetchFailed)
}

func (f *fleet) sync(v *vm) {
	if !v.synced {
		v.synced, v.syncedAt = true, f.now
		v.Synced(f.now)
	}
}

// run starts the VMs and returns the longest time that one of them took from its start until it had the state.
func (f *fleet) run(limit time.Duration) time.Duration {
	for _, v := range f.vms {
		if f.down[v.Address] {
			continue
		}
		f.after(v.startAt, func() {
			v.Start(f.now)
			var tick func()
			tick = func() {
				v.Tick(f.now)
				f.after(100*time.Millisecond, tick)
			}
			f.after(100*time.Millisecond, tick)
		})
	}
	for do, due := f.queue.Next(limit); do != nil; do, due = f.queue.Next(limit) {
		f.now = due
		do()
	}
	longest := time.Duration(0)
	for _, v := range f.vms {
		if f.down[v.Address] || f.storeFails[v.Address] && !v.synced {
			continue
		}
		if !v.synced {
			f.t.Errorf("%v has no state after %v", v.Address, limit)
		}
		longest = max(longest, v.syncedAt-v.startAt)
	}
	return longest
}

// Replays the start of a whole fleet of 295 VMs in 5 availability zones: at most three VMs of each zone may read the
// store, one for each contact, and all must have the state 0.9 s after their start.
func TestWholeFleetStartsWithFewStoreReads(t *testing.T) {
	f := newFleet(t, 5, 59)
	longest := f.run(3 * time.Second)
	if f.storeReads > 3*5 || longest > 900*time.Millisecond {
		t.Fatalf("%d VMs read the store and the slowest took %v, want at most 15 and 900ms", f.storeReads, longest)
	}
	if f.maxMessages > 5*295 {
		t.Fatalf("one contact sent %d messages, want at most 1475", f.maxMessages)
	}
}

// Replays the start of a whole fleet whose contacts start last, 0.3 s after the first VMs: others must not wait for the
// contacts to begin reading, and most of them must not read the store.
func TestFleetStartsWithLateContacts(t *testing.T) {
	f := newFleet(t, 5, 59)
	const contactsStart = 300 * time.Millisecond
	for _, c := range f.vms[0].Contacts {
		f.byAddr[c].startAt = contactsStart
	}
	longest := f.run(3 * time.Second)
	if f.storeReads > 295/3 || longest > 600*time.Millisecond {
		t.Fatalf("%d VMs read the store and the slowest took %v, want at most 98 and 600ms", f.storeReads, longest)
	}
	early := 0
	for _, v := range f.vms {
		if v.syncedAt < contactsStart {
			early++
		}
	}
	if early == 0 {
		t.Fatalf("no VM has the state before the contacts start at %v", contactsStart)
	}
}

// Guards against a fleet that does not start without its contacts: all VMs read the store after a bounded wait.
func TestFleetStartsWithoutContacts(t *testing.T) {
	f := newFleet(t, 3, 20)
	for _, c := range f.vms[0].Contacts {
		f.down[c] = true
	}
	if longest := f.run(3 * time.Second); longest > replyTimeout+100*time.Millisecond+2*readTime {
		t.Fatalf("the slowest VM took %v", longest)
	}
}

// Guards against a zone that waits for a VM which the store refuses.
func TestOtherVMReadsWhenStoreRefusesReader(t *testing.T) {
	f := newFleet(t, 2, 20)
	for _, v := range f.vms[20:] {
		if v.startAt < 150*time.Millisecond {
			f.storeFails[v.Address] = true
		}
	}
	if longest := f.run(4 * time.Second); longest > stateTimeout+100*time.Millisecond+2*readTime {
		t.Fatalf("the slowest VM took %v", longest)
	}
}

// Guards against a single VM that restarts and reads the store while others of its zone have the state, and against a
// contact that refers it to small VMs.
func TestRestartedVMGetsStateFromLargestMember(t *testing.T) {
	is := is.New(t)
	contact, self := address(0, 0), address(1, 0)
	var sent []*Message
	a := Agent{
		Address: contact, AvailabilityZone: "zone-0", Contacts: []netip.AddrPort{contact},
		Members: func(zone string) []Source {
			is.Equal(zone, "zone-1")
			return []Source{{address(1, 1), 45}, {address(1, 2), 800}, {address(1, 3), 100}}
		},
		Send: func(to netip.AddrPort, m *Message) {
			is.Equal(to, self)
			sent = append(sent, m)
		},
	}
	a.Handle(memberDelay, &Message{From: self, AvailabilityZone: "zone-1", Size: 45})
	is.Equal(len(sent), 1)
	is.Equal(sent[0].Sources[0], address(1, 2))
	is.Equal(len(sent[0].Sources), 2)
	is.True(!sent[0].Read)
}

// Guards against a contact that has just started itself and refers others to members that have no state either.
func TestMembersAreNoSourcesShortlyAfterStart(t *testing.T) {
	is := is.New(t)
	var sent []*Message
	a := Agent{
		Address: address(0, 0), AvailabilityZone: "zone-0", Contacts: []netip.AddrPort{address(0, 0)},
		Members: func(string) []Source { return []Source{{address(1, 1), 800}} },
		Send:    func(_ netip.AddrPort, m *Message) { sent = append(sent, m) },
	}
	query := Message{From: address(1, 0), AvailabilityZone: "zone-1", Size: 45}
	a.Handle(memberDelay-1, &query)
	is.Equal(len(sent[0].Sources), 0)
	is.True(sent[0].Read)
}

// Guards against a referral to an entry VM that started before the contact and still reads the store.
func TestBusyVMIsNoSource(t *testing.T) {
	is := is.New(t)
	var sent []*Message
	a := Agent{
		Address: address(0, 0), AvailabilityZone: "zone-0",
		Members: func(string) []Source { return []Source{{address(1, 1), 800}} },
		Send:    func(_ netip.AddrPort, m *Message) { sent = append(sent, m) },
	}
	a.Handle(memberDelay, &Message{From: address(1, 1), AvailabilityZone: "zone-1", Size: 800, Busy: true})
	is.Equal(len(sent), 0) // It needs no referral.
	a.Handle(memberDelay, &Message{From: address(1, 0), AvailabilityZone: "zone-1", Size: 45})
	is.Equal(len(sent), 1)
	is.Equal(len(sent[0].Sources), 0)
}

// Guards against reading the store twice or never after the sources of a referral failed.
func TestFailedFetchReadsStore(t *testing.T) {
	is := is.New(t)
	var actions []Action
	a := Agent{
		Address: address(0, 0), AvailabilityZone: "zone-0", Contacts: []netip.AddrPort{address(0, 1)},
		Members: func(string) []Source { return nil }, Send: func(netip.AddrPort, *Message) {},
		Decide: func(a Action) { actions = append(actions, a) },
	}
	a.Start(0)
	reply := &Message{From: address(0, 1), Reply: true, Sources: []netip.AddrPort{address(0, 2)}}
	a.Handle(0, reply)
	a.Handle(0, reply)
	is.Equal(len(actions), 1)
	a.FetchFailed()
	a.FetchFailed()
	a.Tick(time.Minute)
	is.Equal(len(actions), 2)
	is.Equal(actions[1], Action{Read: true, Reason: ReasonFetchError})
}

// Guards against a second action after a referral when the store turns out to be small.
func TestSmallStoreIsReadUnlessReferred(t *testing.T) {
	is := is.New(t)
	for _, referred := range []bool{false, true} {
		var actions []Action
		a := Agent{
			Address: address(0, 0), AvailabilityZone: "zone-0", Contacts: []netip.AddrPort{address(0, 1)},
			Members: func(string) []Source { return nil }, Send: func(netip.AddrPort, *Message) {},
			Decide: func(a Action) { actions = append(actions, a) },
		}
		a.Start(0)
		if referred {
			a.Handle(0, &Message{From: address(0, 1), Reply: true, Sources: []netip.AddrPort{address(0, 2)}})
		}
		a.ReadSmall()
		is.Equal(len(actions), 1)
		is.Equal(actions[0].Read, !referred)
	}
}

// Guards against unbounded records of a contact that receives queries with changing senders and zones.
func TestRecordsAreBounded(t *testing.T) {
	a := Agent{Members: func(string) []Source { return nil }, Send: func(netip.AddrPort, *Message) {}}
	for i := range 3 * maxStarters {
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
		a.Handle(0, &Message{From: from, AvailabilityZone: "zone-0", Synced: true})
		a.Handle(0, &Message{From: from, AvailabilityZone: fmt.Sprint("zone-", i), Synced: true})
	}
	if len(a.zones) > maxZones || len(a.zones["zone-0"].starters) > maxStarters {
		t.Fatalf("%d zones and %d VMs, want at most %d and %d", len(a.zones), len(a.zones["zone-0"].starters), maxZones,
			maxStarters)
	}
	a.Tick(starterRetention)
	if len(a.zones) > 0 {
		t.Fatalf("%d zones after their retention, want 0", len(a.zones))
	}
}

// Guards against accepting incomplete messages.
func TestDecodeRefusesIncompleteMessages(t *testing.T) {
	for name, m := range map[string]Message{
		"no sender":           {AvailabilityZone: "zone-0"},
		"no zone":             {From: address(0, 0)},
		"too many sources":    {From: address(0, 0), Reply: true, Sources: make([]netip.AddrPort, maxSources+1)},
		"source without addr": {From: address(0, 0), Reply: true, Sources: make([]netip.AddrPort, 1)},
	} {
		b, err := Encode(&m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(b); err == nil {
			t.Errorf("%s: Decode accepted the message, want an error", name)
		}
	}
}

// Guards against a panic on a malformed message of another process.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		{From: address(0, 0), AvailabilityZone: "zone-0", Size: 45},
		{From: address(0, 0), Reply: true, Sources: []netip.AddrPort{address(0, 1)}},
	} {
		b, err := Encode(&m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = Decode(b) })
}
