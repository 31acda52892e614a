package member

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/masticspar/masticspar/internal/counter"
	standin "github.com/masticspar/masticspar/internal/standin/network"
)

const tick = 50 * time.Millisecond

// network connects several lists in one process; time advances only by calls of Advance.
type network struct {
	*standin.Network[netip.AddrPort, []byte]
	fail         func(format string, args ...any)
	nodes        []*node
	bytes        int               // Bytes of all messages sent.
	incarnations map[string]uint64 // Highest incarnation sent by name.
}

type node struct {
	*standin.Node[netip.AddrPort, []byte]
	List
}

var zones = []string{"wa-perth", "wa-south", "wa-north"}

func newNetwork(fail func(format string, args ...any), size int, seed uint64) *network {
	n := &network{
		Network: standin.New[netip.AddrPort, []byte](seed), fail: fail, incarnations: map[string]uint64{},
	}
	n.Jitter, n.Step = 3*time.Millisecond, 10*time.Millisecond
	n.PausedQueueLimit = 64 // A socket buffer is finite.
	n.Every(tick, tick, func() {
		for _, x := range n.nodes {
			if !x.Stopped && !x.Paused {
				x.Tick(n.Now())
			}
		}
	})
	for i := range size {
		n.start(fmt.Sprintf("vm-%03d", i), i, i)
	}
	return n
}

// start runs a new process with the given name at the address with number i; it replaces a process at this address.
func (n *network) start(name string, i, contact int) *node {
	now := n.Now()
	x := &node{}
	x.Self = Member{
		Name: name, Zone: zones[i%len(zones)], Region: "wa", Size: 2, Control: address(i, 7000), Data: address(i, 7001),
		Incarnation: 1_790_000_000_000 + uint64(now/time.Millisecond),
	}
	x.Seed = n.Random.Uint64()
	x.Counters = counter.New()
	x.Digests = func() []Digest {
		return []Digest{
			{Kind: "inventory", Version: 7, Hash: make([]byte, 16)}, {Kind: "rules", Version: 9, Hash: make([]byte, 16)},
		}
	}
	x.Send = func(to Member, m Message) { n.send(x, to, m) }
	x.Node = &standin.Node[netip.AddrPort, []byte]{Name: name, Address: x.Self.Control, Zone: x.Self.Zone}
	x.Receive = func(from *standin.Node[netip.AddrPort, []byte], data []byte) { n.handle(x, from.Name, data) }
	n.nodes = append(n.nodes, x)
	n.Add(x.Node)
	x.Start(now, []netip.AddrPort{address(contact, 7000), address(0, 7000), address(1, 7000)})
	return x
}

func address(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 256), byte(i)}), port)
}

func (n *network) send(x *node, to Member, m Message) {
	if x.Stopped {
		return
	}
	data, err := Encode(m)
	if err != nil || len(data) > MaxMessage {
		n.fail("encoded message has %d bytes, error %v: %+v", len(data), err, m)
	}
	if m.From.Incarnation < n.incarnations[m.From.Name] && !n.hasDuplicate(m.From.Name) {
		n.fail("%s: incarnation decreased from %d to %d", m.From.Name, n.incarnations[m.From.Name], m.From.Incarnation)
	}
	n.incarnations[m.From.Name] = max(n.incarnations[m.From.Name], m.From.Incarnation)
	n.bytes += len(data)
	n.Send(x.Node, to.Control, data)
}

func (n *network) hasDuplicate(name string) bool {
	count := 0
	for _, x := range n.nodes {
		if !x.Stopped && x.Self.Name == name {
			count++
		}
	}
	return count > 1
}

func (n *network) handle(x *node, from string, data []byte) {
	m, err := Decode(data)
	if err != nil {
		n.fail("decoding message: %v", err)
	}
	x.Handle(n.Now(), from, m)
}

func (n *network) resume(x *node) {
	// A process detects the pause before it reads the first message.
	n.Resume(x.Node, func() { x.Resume(n.Now()) })
}

// publishAddresses sets the platform's list of VMs at all nodes.
func (n *network) publishAddresses() {
	var addresses []netip.AddrPort
	for _, x := range n.nodes {
		if !x.Stopped {
			addresses = append(addresses, x.Self.Control)
		}
	}
	for _, x := range n.nodes {
		x.SetPlatformAddresses(addresses)
	}
}

// shareViews makes all nodes members of each other, settled and without pending updates.
func (n *network) shareViews() {
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

// live returns the running nodes, without those whose name belongs to another process.
func (n *network) live() []*node {
	var running []*node
	for _, x := range n.nodes {
		if !x.Stopped && !x.Paused && !x.replaced {
			running = append(running, x)
		}
	}
	return running
}

// disagreement describes the first member whose state is wrong at some node; it returns "" if there is none.
func (n *network) disagreement() string {
	running := n.live()
	for _, x := range running {
		for _, y := range running {
			m, known := x.Get(y.Self.Name)
			reachable := !n.Separated(x.Self.Zone, y.Self.Zone)
			switch {
			case reachable && (!known || m.State != y.Self.State || m.Incarnation != y.Self.Incarnation):
				return fmt.Sprintf("at %s, %s is %s in incarnation %d, want %s %d", x.Self.Name, y.Self.Name, m.State,
					m.Incarnation, y.Self.State, y.Self.Incarnation)
			case !reachable && known && m.State != StateDead:
				return fmt.Sprintf("at %s, unreachable %s is %s, want dead", x.Self.Name, y.Self.Name, m.State)
			}
		}
		for _, m := range x.Members() {
			if m.State != StateDead && !runs(running, m.Name) {
				return fmt.Sprintf("at %s, stopped %s is %s, want dead", x.Self.Name, m.Name, m.State)
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

// converge fails the test unless all views become correct within the bound, and returns how long it took.
func (n *network) converge(bound time.Duration) time.Duration {
	start := n.Now()
	for n.Now()-start < bound {
		n.Advance(tick)
		if n.disagreement() == "" {
			return n.Now() - start
		}
	}
	n.fail("views differ after %v: %s", bound, n.disagreement())
	return bound
}

// seenDead advances by d and reports whether x was dead at any live node during this time.
func (n *network) seenDead(x *node, d time.Duration) bool {
	found := false
	for end := n.Now() + d; n.Now() < end; n.Advance(tick) {
		for _, y := range n.live() {
			m, known := y.Get(x.Self.Name)
			found = found || known && m.State == StateDead
		}
	}
	return found
}
