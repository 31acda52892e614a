package network

import (
	"math/rand/v2"
	"time"
)

// Network carries messages of type M between nodes at addresses of type A. The exported fields may be changed between
// calls of Advance.
type Network[A comparable, M any] struct {
	Clock
	// Random is the source of all random choices; tests may draw from it too.
	Random *rand.Rand
	// Loss is the probability that a copy of a message is lost.
	Loss float64
	// Duplication is the probability that a message is sent twice.
	Duplication float64
	// Delay is the minimum delay of a message, and Jitter bounds the random delay added to it.
	Delay, Jitter time.Duration
	// Step is the period in which nodes read arrived messages; zero delivers them at the time of arrival.
	Step time.Duration
	// PausedQueueLimit limits the messages that are queued for a paused node, like a socket buffer; zero is no limit.
	PausedQueueLimit int
	// Isolated is the set of zones without a path to other zones.
	Isolated map[string]bool

	nodes map[A]*Node[A, M]
}

// Node is an endpoint of a Network. It is embedded in the node type of a test.
type Node[A comparable, M any] struct {
	// Name identifies the node to the receivers of its messages.
	Name    string
	Address A
	Zone    string
	// Receive is called with each message that reaches the node.
	Receive func(from *Node[A, M], m M)
	// Stopped reports whether the node is stopped. A stopped node neither sends nor receives.
	Stopped bool
	// Paused reports whether the node is paused. Messages that arrive in the pause are queued until Resume.
	Paused bool

	queued []func()
}

// New returns an empty network whose random choices are drawn from seed.
func New[A comparable, M any](seed uint64) *Network[A, M] {
	return &Network[A, M]{
		Random: rand.New(rand.NewPCG(seed, 1)), Isolated: map[string]bool{}, nodes: map[A]*Node[A, M]{},
	}
}

// Add attaches a node to its address and stops the previous node at that address.
func (n *Network[A, M]) Add(x *Node[A, M]) {
	if old := n.nodes[x.Address]; old != nil {
		old.Stopped = true
	}
	n.nodes[x.Address] = x
}

// Send sends m to an address. The node that is attached there when m arrives, if any, receives it.
func (n *Network[A, M]) Send(from *Node[A, M], to A, m M) {
	if from.Stopped {
		return
	}
	for copies := 1; copies <= 2; copies++ {
		if n.Random.Float64() >= n.Loss {
			delay := n.Delay
			if n.Jitter > 0 {
				delay += time.Duration(n.Random.Int64N(int64(n.Jitter)))
			}
			n.schedule(n.now+delay, n.Step, func() { n.deliver(from, to, m) })
		}
		if n.Random.Float64() >= n.Duplication {
			return
		}
	}
}

func (n *Network[A, M]) deliver(from *Node[A, M], to A, m M) {
	x := n.nodes[to]
	switch {
	case x == nil || x.Stopped || n.Separated(from.Zone, x.Zone):
	case !x.Paused:
		x.Receive(from, m)
	case n.PausedQueueLimit == 0 || len(x.queued) < n.PausedQueueLimit:
		x.queued = append(x.queued, func() { x.Receive(from, m) })
	}
}

// Separated reports whether two zones have no path between them.
func (n *Network[A, M]) Separated(a, b string) bool {
	return a != b && (n.Isolated[a] || n.Isolated[b])
}

// Resume ends the pause of a node. It calls onResume first and then delivers the queued messages.
func (n *Network[A, M]) Resume(x *Node[A, M], onResume func()) {
	x.Paused = false
	onResume()
	queued := x.queued
	x.queued = nil
	for _, receive := range queued {
		receive()
	}
}
