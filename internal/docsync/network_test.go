package docsync

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/fleet"
	standin "github.com/masticspar/masticspar/internal/standin/network"
)

// network is an in-memory network of Syncers. A node in an isolated zone cannot reach the platform either.
type network struct {
	*standin.Network[string, envelope]
	t        *testing.T
	nodes    []*node
	platform func(n *node) []byte
}

type node struct {
	*standin.Node[string, envelope]
	syncer             *Syncer
	catalog            *fleet.Catalog
	seen               fleet.Versions
	withholdsDocuments bool
}

// envelope is an encoded message. The reply to a ping is a digest.
type envelope struct {
	data []byte
	ping bool
}

func newNetwork(t *testing.T, seed uint64, nodes int) *network {
	w := &network{t: t, Network: standin.New[string, envelope](seed)}
	w.Loss, w.Delay, w.Jitter = 0.01, time.Millisecond, 4*time.Millisecond
	for range nodes {
		w.join()
	}
	w.Advance(4 * time.Second)
	return w
}

func (w *network) join() *node {
	name := fmt.Sprintf("vm-%d", len(w.nodes))
	n := &node{
		Node:    &standin.Node[string, envelope]{Name: name, Address: name, Zone: fmt.Sprint("zone-", len(w.nodes)%3)},
		catalog: &fleet.Catalog{Counters: counter.New()},
	}
	n.Receive = func(from *standin.Node[string, envelope], e envelope) { w.receive(n, from, e) }
	w.Add(n.Node)
	n.syncer = &Syncer{
		Catalog: n.catalog, Counters: n.catalog.Counters,
		Send:  func(to string, m Message) { w.send(n, to, m) },
		Peers: func() []string { return w.peers(n) },
	}
	for i := range min(3, len(w.nodes)) {
		n.syncer.Contacts = append(n.syncer.Contacts, w.nodes[i].Name)
	}
	w.nodes = append(w.nodes, n)
	n.syncer.Start(w.Now(), w.Random.Uint64())
	w.every(100*time.Millisecond, n, func() { n.syncer.Tick(w.Now()) })
	w.every(500*time.Millisecond, n, func() {
		if peers := w.peers(n); len(peers) > 0 {
			w.ping(n, peers[w.Random.IntN(len(peers))])
		}
	})
	w.every(time.Second, n, func() {
		if w.platform != nil && !w.Isolated[n.Zone] {
			if b := w.platform(n); b != nil {
				_, _ = n.syncer.HandlePlatformDocument(w.Now(), fleet.Prepare(fleet.Rules, "platform", b))
			}
		}
	})
	return n
}

// peers returns all other nodes. In the daemon, members in an unreachable zone become dead and are retried every 5 s by
// the membership; here they stay in the list, and the messages to them are lost.
func (w *network) peers(n *node) []string {
	var names []string
	for _, p := range w.nodes {
		if p != n {
			names = append(names, p.Name)
		}
	}
	return names
}

func (w *network) every(period time.Duration, n *node, call func()) {
	w.Every(time.Duration(w.Random.Int64N(int64(period))), period, func() {
		if !n.Paused {
			call()
			w.check(n)
		}
	})
}

// ping sends a ping; the ping and its acknowledgement carry the versions.
func (w *network) ping(from *node, to string) {
	d := from.syncer.Digest()
	w.transmit(from, to, Message{Digest: &d}, true)
}

func (w *network) send(from *node, to string, m Message) { w.transmit(from, to, m, false) }

func (w *network) transmit(from *node, to string, m Message, ping bool) {
	b, err := cbor.Marshal(m)
	if err != nil {
		w.t.Fatal(err)
	}
	if !slices.ContainsFunc(w.nodes, func(n *node) bool { return n.Name == to }) {
		w.t.Fatalf("%s sent a message to unknown node %q", from.Name, to)
	}
	if !from.withholdsDocuments || m.Document == nil {
		w.Send(from.Node, to, envelope{data: b, ping: ping})
	}
}

func (w *network) receive(n *node, from *standin.Node[string, envelope], e envelope) {
	var received Message
	if err := cbor.Unmarshal(e.data, &received); err != nil {
		w.t.Fatal(err)
	}
	received.Prepare(from.Name)
	n.syncer.Handle(w.Now(), from.Name, received)
	w.check(n)
	if e.ping {
		d := n.syncer.Digest()
		w.send(n, from.Name, Message{Digest: &d})
	}
}

// check fails the test if the active version of n decreased or a version changed its content.
func (w *network) check(n *node) {
	now := n.catalog.Versions()
	for _, kind := range fleet.Kinds {
		before, after := n.seen.Of(kind), now.Of(kind)
		if after.Number < before.Number || after.Number == before.Number && after.Hash != before.Hash {
			w.t.Fatalf("%v: version of %s in %s changed from %v to %v", w.Now(), kind, n.Name, before, after)
		}
	}
	n.seen = now
}

// converge advances until the rules of the given version are active in all nodes and returns the time that this took.
func (w *network) converge(bound time.Duration, version uint64, nodes []*node) time.Duration {
	w.t.Helper()
	start := w.Now()
	for {
		missing := ""
		for _, n := range nodes {
			if n.catalog.Versions().Rules.Number != version || !n.syncer.Ready() {
				missing = fmt.Sprintf("%s has version %d, ready %v", n.Name, n.catalog.Versions().Rules.Number, n.syncer.Ready())
			}
		}
		if missing == "" {
			return w.Now() - start
		}
		if w.Now()-start >= bound {
			w.t.Fatalf("version %d is not active in all nodes after %v: %s", version, bound, missing)
		}
		w.Advance(50 * time.Millisecond)
	}
}

func (w *network) publish(version int, text string, nodes ...*node) {
	for _, n := range nodes {
		_, _ = n.syncer.HandlePlatformDocument(w.Now(), fleet.Prepare(fleet.Rules, "platform", rulesOf(version, text)))
		w.check(n)
	}
}

func rulesOf(version int, host string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"leaving":["%s"]}`, version, host)
}
