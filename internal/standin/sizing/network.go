package sizing

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/entry"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/timer"
)

const (
	workers                 = 4                                       // goroutines that run the engines
	defaultStep             = 10 * time.Millisecond                   // step of a network, except in long runs
	localDelay, regionDelay = time.Millisecond, 40 * time.Millisecond // one way within a region and between two
	uplinkRate              = 12.5e6                                  // bytes/s of a small VM that sends large messages
	decodeTime              = 100 * time.Millisecond                  // for a document of 1 MB; an upper bound
	maxPlatformDelay        = 200 * time.Millisecond                  // maximum time until a pending watch gets a reply
	bulkSize                = 4096                                    // bytes; larger messages take time to send
)

// network is a fleet of engines in one process, connected in memory.
type network struct {
	scale
	clock       timer.Service
	random      *rand.Rand
	vms         []*vm // in the order of their start
	byAddress   map[netip.AddrPort]*vm
	byName      map[string]*vm
	step        time.Duration
	partitioned bool // whether the regions have no path between them
	steps       int
	traffic     *traffic
}

// vm is one engine with its inbox and its resource usage.
type vm struct {
	entry.Engine
	index      int
	region     int
	started    time.Duration
	now        time.Duration // time of the current step, for the callbacks of the engine
	dead       bool
	inbox      []envelope
	outbox     []envelope
	uplinkFree time.Duration // time at which the uplink is free
	counters   *counter.Set
	sockets    dataSockets

	messages, received, sent [entry.KindHint + 1]int
	cpuTime, longestLocked   time.Duration
}

// envelope is a message between engines, or a document from the platform if candidate is set.
type envelope struct {
	due       time.Duration
	from      *vm
	to        member.Member
	kind      entry.Kind
	body      []byte
	candidate *fleet.Candidate
}

func newNetwork(s scale, seed uint64, step time.Duration, t *traffic) *network {
	n := &network{
		scale: s, step: step, traffic: t, random: rand.New(rand.NewPCG(seed, 7)), byAddress: map[netip.AddrPort]*vm{}, byName: map[string]*vm{},
	}
	n.clock.PauseThreshold = time.Hour
	for i := range s.size {
		n.startVM(i)
	}
	n.clock.Subscribe(step, n.advance)
	return n
}

// startVM starts the process of a VM and replaces the previous process, if there was one.
func (n *network) startVM(i int) {
	zone := i % n.zones()
	now := n.clock.Now()
	v := &vm{index: i, region: zone % n.regions, started: now, counters: counter.New()}
	at := netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	v.Self = member.Member{
		Name: fmt.Sprintf("entry-%04d", i), Zone: zoneName(zone), Region: fmt.Sprintf("region-%d", v.region+1),
		Size: []uint32{200, 300, 400}[i/11%3], Incarnation: uint64(1_764_000_000_000 + now.Milliseconds()),
		Control: netip.AddrPortFrom(at, 7000), Data: netip.AddrPortFrom(at, 7001),
	}
	v.Epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	v.Seed, v.MTU, v.FlowCapacity, v.Counters = n.random.Uint64(), 1440, 1000, v.counters
	if n.traffic != nil {
		v.FlowCapacity = 20_000
	}
	for j := range min(n.size, 3) {
		v.Contacts = append(v.Contacts, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(j)}), 7000))
	}
	v.Send = func(to member.Member, kind entry.Kind, body []byte) {
		v.outbox = append(v.outbox, envelope{from: v, to: to, kind: kind, body: body})
	}
	v.sockets.connect(v)
	v.Start(now)
	if before := n.byName[v.Self.Name]; before != nil {
		before.dead = true
		n.vms[i] = v
	} else {
		n.vms = append(n.vms, v)
	}
	n.byAddress[v.Self.Control], n.byName[v.Self.Name] = v, v
}

// advance runs one step. All engines run in parallel; then their messages are delivered in the order of the engines, so
// that a run depends only on its seed.
func (n *network) advance(now time.Duration) {
	n.steps++
	if n.traffic != nil {
		n.traffic.open(n, now)
	}
	n.forEach(func(v *vm) { n.run(v, now) })
	for _, v := range n.vms {
		for _, e := range v.outbox {
			n.deliver(now, e)
		}
		clear(v.outbox)
		v.outbox = v.outbox[:0]
		v.sockets.deliverForwarded(n)
	}
}

// run handles the messages and datagrams that are due for one engine, and its tick.
func (n *network) run(v *vm, now time.Duration) {
	if v.dead {
		return
	}
	kept := v.inbox[:0]
	for _, e := range v.inbox {
		if e.due > now {
			kept = append(kept, e)
			continue
		}
		v.handle(now, e)
	}
	clear(v.inbox[len(kept):])
	v.inbox = kept
	v.sockets.handle(v, now)
	if (n.steps+v.index)%int(entry.TickPeriod/n.step) == 0 {
		v.measure(func() { v.Tick(now) })
	}
}

// measure calls f and adds its processor time. The lock of the engine is held during f, and longestLocked is the
// maximum of these times.
func (v *vm) measure(f func()) {
	before := threadTime()
	f()
	d := threadTime() - before
	v.cpuTime += d
	v.longestLocked = max(v.longestLocked, d)
}

func (v *vm) handle(now time.Duration, e envelope) {
	if e.candidate != nil {
		v.measure(func() { v.HandleDocument(now, e.candidate) })
		return
	}
	start := threadTime()
	m, err := entry.Decode(e.from.Self.Name, e.kind, e.body)
	if err != nil {
		panic(err) // cannot happen: engines can decode the messages of engines
	}
	v.cpuTime += threadTime() - start // A message is decoded before the lock of the engine is taken.
	v.received[e.kind] += len(e.body)
	v.measure(func() { v.HandleMessage(now, m) })
}

func (n *network) deliver(now time.Duration, e envelope) {
	v := e.from
	v.messages[e.kind]++
	v.sent[e.kind] += len(e.body)
	to := n.byAddress[e.to.Control]
	if to == nil {
		to = n.byName[e.to.Name]
	}
	if to == nil || to.dead || v.dead || n.partitioned && to.region != v.region {
		return
	}
	e.due = now + localDelay
	if to.region != v.region {
		e.due = now + regionDelay
	}
	if len(e.body) > bulkSize {
		v.uplinkFree = max(v.uplinkFree, now) + time.Duration(float64(len(e.body))/uplinkRate*float64(time.Second))
		e.due += v.uplinkFree - now + decodeTime
	}
	to.inbox = append(to.inbox, e)
}

// publish makes the platform reply to the watches of the VMs for which reach returns true.
func (n *network) publish(kind fleet.Kind, version uint64, reach func(*vm) bool) {
	c := fleet.Prepare(kind, "platform", encodeDocument(kind, n.scale, version))
	for _, v := range n.vms {
		if reach(v) && !v.dead {
			due := n.clock.Now() + decodeTime + time.Duration(n.random.Int64N(int64(maxPlatformDelay)))
			v.inbox = append(v.inbox, envelope{due: due, candidate: c})
		}
	}
}

// newReadyNetwork starts a fleet in which each member has all others in its view, has no updates left to disseminate,
// and has both documents active.
//
// Joining the members one by one would take most of the time of a run, and disseminating the updates of 500 joins takes
// minutes. So each engine receives updates about all others and then the notice of a pause, after which it disseminates
// no old updates. A pause increments the incarnation of the engine, so the updates have the next incarnation.
func newReadyNetwork(s scale, seed uint64, step time.Duration, t *traffic) *network {
	n := newNetwork(s, seed, step, t)
	all := make([]member.Member, s.size)
	for i, v := range n.vms {
		all[i] = v.Self
		all[i].Incarnation++
	}
	n.forEach(func(v *vm) {
		for first := 0; first < s.size; first += 6 {
			m := member.Message{Kind: member.Notice, From: all[(v.index+1)%s.size]}
			m.Updates = slices.Concat(all[first:min(first+6, s.size)])
			m.Updates = slices.DeleteFunc(m.Updates, func(u member.Member) bool { return u.Name == v.Self.Name })
			b, err := member.Encode(m)
			if err != nil {
				panic(err) // cannot happen: the members are valid
			}
			v.handle(0, envelope{from: n.vms[(v.index+1)%s.size], kind: entry.KindMembership, body: b})
		}
		v.outbox = nil
		v.HandlePause(0, 0)
	})
	n.clock.Advance(4 * time.Second)
	for _, kind := range fleet.Kinds {
		c := fleet.Prepare(kind, "platform", encodeDocument(kind, s, 1))
		n.forEach(func(v *vm) { v.HandleDocument(n.clock.Now(), c) })
	}
	n.clock.Advance(time.Second)
	if n.count(func(v *vm) bool { return v.Ready() && v.liveMembers() == s.size }) != s.size {
		panic("starting a fleet: a VM is not ready or its view is not complete")
	}
	n.resetUsage()
	return n
}

// forEach calls f with all engines, from several goroutines that are each locked to a thread.
func (n *network) forEach(f func(*vm)) {
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			for i := w; i < len(n.vms); i += workers {
				f(n.vms[i])
			}
		})
	}
	wg.Wait()
}

func allVMs(*vm) bool { return true }

// count returns the number of live engines for which f returns true.
func (n *network) count(f func(*vm) bool) int {
	found := 0
	for _, v := range n.vms {
		if !v.dead && f(v) {
			found++
		}
	}
	return found
}

// runUntil advances the network until f returns true for all live engines, for at most limit. It returns the time that
// passed on the virtual clock.
func (n *network) runUntil(limit time.Duration, f func(*vm) bool) time.Duration {
	start := n.clock.Now()
	for n.clock.Now()-start < limit {
		if n.count(f) == n.count(allVMs) {
			break
		}
		n.clock.Advance(100 * time.Millisecond)
	}
	return n.clock.Now() - start
}

// resetUsage sets the resource usage of all engines to zero.
func (n *network) resetUsage() {
	for _, v := range n.vms {
		v.messages, v.received, v.sent = [entry.KindHint + 1]int{}, [entry.KindHint + 1]int{}, [entry.KindHint + 1]int{}
		v.cpuTime, v.longestLocked = 0, 0
	}
}

func (n *network) controlAddresses() []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(n.vms))
	for _, v := range n.vms {
		list = append(list, v.Self.Control)
	}
	return list
}

// liveMembers returns the number of members in the view of v that are not dead.
func (v *vm) liveMembers() int {
	live := 0
	for _, m := range v.Members() {
		if m.State != member.StateDead {
			live++
		}
	}
	return live
}
