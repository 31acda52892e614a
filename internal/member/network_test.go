package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/timer"
)

const tick = 50 * time.Millisecond

// network connects several lists in one process; time is moved by hand.
type network struct {
	fail     func(format string, args ...any)
	clock    timer.Service
	rand     *rand.Rand
	nodes    []*node
	byAddr   map[netip.AddrPort]*node
	transit  transit
	sent     int
	loss     float64
	double   float64
	delay    time.Duration // Greatest delay of a message.
	cut      map[string]bool
	bytes    int
	greatest map[string]uint64 // Highest incarnation seen of a name.
}

type node struct {
	List
	dead   bool
	paused bool
	held   []*envelope // Arrived during a pause.
}

type envelope struct {
	due   time.Duration
	order int
	from  string
	zone  string
	to    netip.AddrPort
	data  []byte
}

type transit []*envelope

func (t transit) Len() int      { return len(t) }
func (t transit) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t transit) Less(i, j int) bool {
	return t[i].due < t[j].due || t[i].due == t[j].due && t[i].order < t[j].order
}
func (t *transit) Push(e any) { *t = append(*t, e.(*envelope)) }
func (t *transit) Pop() any {
	last := len(*t) - 1
	e := (*t)[last]
	*t = (*t)[:last]
	return e
}

var zones = []string{"wa-perth", "wa-south", "wa-north"}

func newNetwork(fail func(format string, args ...any), size int, seed uint64) *network {
	n := &network{
		fail: fail, rand: rand.New(rand.NewPCG(seed, 1)), byAddr: map[netip.AddrPort]*node{}, cut: map[string]bool{},
		greatest: map[string]uint64{}, delay: 3 * time.Millisecond,
	}
	n.clock.PauseBound = time.Hour
	n.clock.Subscribe(10*time.Millisecond, n.deliver)
	n.clock.Subscribe(tick, func(now time.Duration) {
		for _, x := range n.nodes {
			if !x.dead && !x.paused {
				x.Tick(now)
			}
		}
	})
	for i := range size {
		n.start(fmt.Sprintf("vm-%03d", i), i, i)
	}
	return n
}

// start runs a new process with the given name at the address with number i, in place of what ran there.
func (n *network) start(name string, i, contact int) *node {
	now := n.clock.Now()
	x := &node{}
	x.Self = Member{
		Name: name, Zone: zones[i%len(zones)], Region: "wa", Size: 2, Control: address(i, 7000), Data: address(i, 7001),
		Incarnation: 1_790_000_000_000 + uint64(now/time.Millisecond),
	}
	x.Seed = n.rand.Uint64()
	x.Counters = counter.New()
	x.Digests = func() []Digest {
		return []Digest{
			{Kind: "inventory", Version: 7, Hash: make([]byte, 16)}, {Kind: "rules", Version: 9, Hash: make([]byte, 16)},
		}
	}
	x.Send = func(to Member, m Message) { n.send(x, to, m) }
	if old := n.byAddr[x.Self.Control]; old != nil {
		old.dead = true
	}
	n.nodes = append(n.nodes, x)
	n.byAddr[x.Self.Control] = x
	x.Start(now, []netip.AddrPort{address(contact, 7000), address(0, 7000), address(1, 7000)})
	return x
}

func address(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 256), byte(i)}), port)
}

func (n *network) send(x *node, to Member, m Message) {
	if x.dead {
		return
	}
	data, err := Encode(m)
	if err != nil || len(data) > MaxMessage {
		n.fail("%d bytes, %v: %+v", len(data), err, m)
	}
	if m.From.Incarnation < n.greatest[m.From.Name] && !n.duplicated(m.From.Name) {
		n.fail("%s: incarnation fell from %d to %d", m.From.Name, n.greatest[m.From.Name], m.From.Incarnation)
	}
	n.greatest[m.From.Name] = max(n.greatest[m.From.Name], m.From.Incarnation)
	n.bytes += len(data)
	for copies := 1; copies <= 2; copies++ {
		if n.rand.Float64() >= n.loss {
			n.sent++
			heap.Push(&n.transit, &envelope{
				due: n.clock.Now() + time.Duration(n.rand.Int64N(int64(n.delay))), order: n.sent, from: x.Self.Name, zone: x.Self.Zone,
				to: to.Control, data: data,
			})
		}
		if n.rand.Float64() >= n.double {
			return
		}
	}
}

func (n *network) duplicated(name string) bool {
	count := 0
	for _, x := range n.nodes {
		if !x.dead && x.Self.Name == name {
			count++
		}
	}
	return count > 1
}

func (n *network) deliver(now time.Duration) {
	for len(n.transit) > 0 && n.transit[0].due <= now {
		e := heap.Pop(&n.transit).(*envelope)
		x := n.byAddr[e.to]
		if x == nil || x.dead || n.separated(e.zone, x.Self.Zone) {
			continue
		}
		if x.paused {
			if len(x.held) < 64 { // A socket buffer is finite.
				x.held = append(x.held, e)
			}
			continue
		}
		n.handle(now, x, e)
	}
}

func (n *network) handle(now time.Duration, x *node, e *envelope) {
	m, err := Decode(e.data)
	if err != nil {
		n.fail("%v", err)
	}
	x.Handle(now, e.from, m)
}

func (n *network) separated(a, b string) bool { return a != b && (n.cut[a] || n.cut[b]) }

func (n *network) resume(x *node) {
	now := n.clock.Now()
	x.paused = false
	x.Resume(now) // The pause is noticed before the first message is read.
	for _, e := range x.held {
		n.handle(now, x, e)
	}
	x.held = nil
}

// list hands the platform's list of VMs to everybody.
func (n *network) list() {
	var addresses []netip.AddrPort
	for _, x := range n.nodes {
		if !x.dead {
			addresses = append(addresses, x.Self.Control)
		}
	}
	for _, x := range n.nodes {
		x.Try(addresses)
	}
}

// know gives every list the view of a fleet that has long been quiet.
func (n *network) know() {
	for _, x := range n.nodes {
		for _, y := range n.nodes {
			x.apply(0, y.Self, false, false)
		}
		for _, r := range x.queue {
			r.queued = false
		}
		x.queue, x.settled = nil, true
	}
}

// live returns the nodes that run, without those whose name another process has taken.
func (n *network) live() []*node {
	var running []*node
	for _, x := range n.nodes {
		if !x.dead && !x.paused && !x.replaced {
			running = append(running, x)
		}
	}
	return running
}

// disagreement returns a description of the first wrong belief about who is alive, or "".
func (n *network) disagreement() string {
	running := n.live()
	for _, x := range running {
		for _, y := range running {
			m, known := x.Get(y.Self.Name)
			reachable := !n.separated(x.Self.Zone, y.Self.Zone)
			switch {
			case reachable && (!known || m.State != y.Self.State || m.Incarnation != y.Self.Incarnation):
				return fmt.Sprintf("%s believes %s to be %s %d, which is %s %d", x.Self.Name, y.Self.Name, m.State,
					m.Incarnation, y.Self.State, y.Self.Incarnation)
			case !reachable && known && m.State != Dead:
				return fmt.Sprintf("%s believes unreachable %s to be %s", x.Self.Name, y.Self.Name, m.State)
			}
		}
		for _, m := range x.Members() {
			if m.State != Dead && !runs(running, m.Name) {
				return fmt.Sprintf("%s believes stopped %s to be %s", x.Self.Name, m.Name, m.State)
			}
		}
	}
	return ""
}

func runs(running []*node, name string) bool {
	for _, x := range running {
		if x.Self.Name == name {
			return true
		}
	}
	return false
}

// converge fails the test unless all views become right within the bound, and returns how long it took.
func (n *network) converge(bound time.Duration) time.Duration {
	start := n.clock.Now()
	for n.clock.Now()-start < bound {
		n.clock.Advance(tick)
		if n.disagreement() == "" {
			return n.clock.Now() - start
		}
	}
	n.fail("after %v: %s", bound, n.disagreement())
	return bound
}

// everDead advances by d and reports whether anybody believed x dead meanwhile.
func (n *network) everDead(x *node, d time.Duration) bool {
	found := false
	for end := n.clock.Now() + d; n.clock.Now() < end; n.clock.Advance(tick) {
		for _, y := range n.live() {
			m, known := y.Get(x.Self.Name)
			found = found || known && m.State == Dead
		}
	}
	return found
}
