package spread

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/fleet"
)

// A network of Spreaders in memory, with a clock moved by its event queue and choices from one seed.
type network struct {
	t        *testing.T
	now      time.Duration
	random   *rand.Rand
	queue    events
	sequence int
	nodes    []*node
	loss     float64
	cut      map[int]bool // zones without a path to the other zones and the platform
	platform func(n *node) []byte
}

type node struct {
	name    string
	zone    int
	spread  *Spreader
	picture *fleet.Picture
	seen    fleet.Versions
	paused  bool
	silent  bool
}

type event struct {
	at       time.Duration
	sequence int
	call     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newNetwork(t *testing.T, seed uint64, nodes int) *network {
	w := &network{t: t, random: rand.New(rand.NewPCG(seed, 1)), cut: map[int]bool{}, loss: 0.01}
	for range nodes {
		w.join()
	}
	w.advance(4 * time.Second)
	return w
}

func (w *network) join() *node {
	n := &node{name: fmt.Sprintf("vm-%d", len(w.nodes)), zone: len(w.nodes) % 3, picture: &fleet.Picture{Counters: counter.New()}}
	n.spread = &Spreader{
		Picture: n.picture, Counters: n.picture.Counters,
		Send:  func(to string, m Message) { w.send(n, to, m) },
		Peers: func() []string { return w.peers(n) },
	}
	for i := range min(3, len(w.nodes)) {
		n.spread.Contacts = append(n.spread.Contacts, w.nodes[i].name)
	}
	w.nodes = append(w.nodes, n)
	n.spread.Start(w.now, w.random.Uint64())
	w.every(100*time.Millisecond, n, func() { n.spread.Tick(w.now) })
	w.every(500*time.Millisecond, n, func() {
		if peers := w.peers(n); len(peers) > 0 {
			w.ping(n, peers[w.random.IntN(len(peers))])
		}
	})
	w.every(time.Second, n, func() {
		if w.platform != nil && !w.cut[n.zone] {
			if b := w.platform(n); b != nil {
				_, _ = n.spread.Platform(w.now, fleet.Prepare(fleet.Rules, "platform", b))
			}
		}
	})
	return n
}

// Members in a zone without a path are dead after a while and retried every 5 s by the membership; here they stay in
// the list, and the messages to them are lost.
func (w *network) peers(n *node) []string {
	var names []string
	for _, p := range w.nodes {
		if p != n {
			names = append(names, p.name)
		}
	}
	return names
}

func (w *network) at(d time.Duration, call func()) {
	w.sequence++
	heap.Push(&w.queue, event{w.now + d, w.sequence, call})
}

func (w *network) every(period time.Duration, n *node, call func()) {
	var again func()
	again = func() {
		if !n.paused {
			call()
			w.check(n)
		}
		w.at(period, again)
	}
	w.at(time.Duration(w.random.Int64N(int64(period))), again)
}

// A ping and its acknowledgement carry the versions.
func (w *network) ping(from *node, to string) {
	d := from.spread.Digest()
	w.exchange(from, to, Message{Digest: &d}, func(target *node) {
		d := target.spread.Digest()
		w.send(target, from.name, Message{Digest: &d})
	})
}

func (w *network) send(from *node, to string, m Message) { w.exchange(from, to, m, func(*node) {}) }

func (w *network) exchange(from *node, to string, m Message, then func(target *node)) {
	b, err := cbor.Marshal(m)
	if err != nil {
		w.t.Fatal(err)
	}
	var target *node
	for _, n := range w.nodes {
		if n.name == to {
			target = n
		}
	}
	separated := from.zone != target.zone && (w.cut[from.zone] || w.cut[target.zone])
	if separated || w.random.Float64() < w.loss || from.silent && m.Document != nil {
		return
	}
	var deliver func()
	deliver = func() {
		if target.paused { // A paused process finds its packets when it resumes.
			w.at(100*time.Millisecond, deliver)
			return
		}
		var received Message
		if err := cbor.Unmarshal(b, &received); err != nil {
			w.t.Fatal(err)
		}
		received.Prepare(from.name)
		target.spread.Handle(w.now, from.name, received)
		w.check(target)
		then(target)
	}
	w.at(time.Millisecond+time.Duration(w.random.Int64N(int64(4*time.Millisecond))), deliver)
}

func (w *network) check(n *node) {
	now := n.picture.Versions()
	for _, kind := range fleet.Kinds {
		before, after := n.seen.Of(kind), now.Of(kind)
		if after.Number < before.Number || after.Number == before.Number && after.Hash != before.Hash {
			w.t.Fatalf("%v: %s of %s went from %v to %v", w.now, kind, n.name, before, after)
		}
	}
	n.seen = now
}

func (w *network) advance(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.call()
	}
	w.now = end
}

// Advances until all the nodes have the rules of the version and returns how long it took.
func (w *network) settle(bound time.Duration, version uint64, nodes []*node) time.Duration {
	w.t.Helper()
	start := w.now
	for {
		missing := ""
		for _, n := range nodes {
			if n.picture.Versions().Rules.Number != version || !n.spread.Ready() {
				missing = fmt.Sprintf("%s has %d, ready %v", n.name, n.picture.Versions().Rules.Number, n.spread.Ready())
			}
		}
		if missing == "" {
			return w.now - start
		}
		if w.now-start >= bound {
			w.t.Fatalf("version %d is not in force everywhere after %v: %s", version, bound, missing)
		}
		w.advance(50 * time.Millisecond)
	}
}

func (w *network) publish(version int, text string, nodes ...*node) {
	for _, n := range nodes {
		_, _ = n.spread.Platform(w.now, fleet.Prepare(fleet.Rules, "platform", rulesOf(version, text)))
		w.check(n)
	}
}

func rulesOf(version int, host string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"leaving":["%s"]}`, version, host)
}
