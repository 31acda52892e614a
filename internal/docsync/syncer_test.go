package docsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/matryer/is"
)

// updateBound is the bound of requirement R8: an accepted configuration is active in all processes within 6 s.
const updateBound = 6 * time.Second

func forSeeds(t *testing.T, test func(t *testing.T, seed uint64)) {
	for seed := uint64(1); seed <= 10; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { test(t, seed) })
	}
}

// Guards against a process that does not get an update when the platform serves it to only half of the processes, or to
// only one.
func TestUpdateReachesAllFromHalf(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		w := newNetwork(t, seed, 12)
		w.publish(1, "h1", w.nodes[:6]...)
		w.converge(updateBound, 1, w.nodes)
		w.publish(2, "h2", w.nodes[3]) // The platform is unavailable to all others.
		w.Loss = 0.2
		w.converge(updateBound, 2, w.nodes)
	})
}

// Guards against announcements that are not sent: within 200 ms, pings alone update only a few processes.
func TestAnnouncementsAreFasterThanPings(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		w := newNetwork(t, seed, 40)
		w.publish(1, "h1", w.nodes[0])
		w.Advance(200 * time.Millisecond)
		reached := 0
		for _, n := range w.nodes {
			if n.catalog.Versions().Rules.Number == 1 {
				reached++
			}
		}
		if reached < 30 {
			t.Fatalf("%d of 40 processes have the version after 200 ms, want at least 30", reached)
		}
		t.Logf("%d of 40 after 200 ms, all after %v", reached, w.converge(updateBound, 1, w.nodes))
	})
}

// Guards against a new or resumed process that activates an old copy served by the platform.
func TestDiscardsOldPlatformCopy(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		is := is.New(t)
		w := newNetwork(t, seed, 8)
		w.publish(5, "h1", w.nodes...)
		w.converge(updateBound, 5, w.nodes)
		w.platform = func(*node) []byte { return rulesOf(3, "h9") }
		joined := w.join()
		for !joined.syncer.Ready() {
			w.publish(3, "h9", joined)
			w.Advance(10 * time.Millisecond)
			if v := joined.catalog.Versions().Rules.Number; v != 0 && v != 5 {
				t.Fatal("want active version 0 or 5, got ", v)
			}
		}
		is.Equal(joined.catalog.Versions().Rules.Number, uint64(5))
		is.True(w.Now() < 60*time.Second)
		w.converge(updateBound, 5, w.nodes)
	})
}

// Guards against a process that alternates between two contents of one version, against a conflict that is not reported
// and against one that the next version does not resolve.
func TestConflictEndsWithNextVersion(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		w := newNetwork(t, seed, 12)
		w.publish(1, "h1", w.nodes...)
		// A platform without compare-and-set serves different content to each half; check fails if a process changes its
		// content.
		w.publish(2, "h2", w.nodes[:6]...)
		w.publish(2, "h3", w.nodes[6:]...)
		w.converge(updateBound, 2, w.nodes)
		w.Advance(updateBound)
		for _, n := range w.nodes {
			if n.catalog.LastRefusal().Kind != fleet.Rules ||
				n.catalog.Counters.Values()["document-refused-conflict-rules"] == 0 {
				t.Fatal(n.Name, n.catalog.LastRefusal())
			}
		}
		// With compare-and-set the second publication is repeated as version 3.
		w.publish(3, "h3", w.nodes[11])
		w.converge(updateBound, 3, w.nodes)
	})
}

// Guards against a zone that does not catch up after a partition.
func TestZoneCatchesUpAfterPartition(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		is := is.New(t)
		w := newNetwork(t, seed, 12)
		w.publish(1, "h1", w.nodes...)
		w.Isolated["zone-1"] = true
		w.publish(2, "h2", w.nodes[0])
		var connected, apart []*node
		for _, n := range w.nodes {
			if n.Zone == "zone-1" {
				apart = append(apart, n)
			} else {
				connected = append(connected, n)
			}
		}
		w.converge(updateBound, 2, connected)
		w.Advance(time.Minute)
		for _, n := range apart {
			is.Equal(n.catalog.Versions().Rules.Number, uint64(1))
		}
		w.Isolated["zone-1"] = false
		w.converge(updateBound, 2, w.nodes)
	})
}

// Guards against a resumed process that accepts replies queued during its pause or continues with old versions.
func TestRefreshesAfterPause(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		w := newNetwork(t, seed, 8)
		w.publish(1, "h1", w.nodes...)
		n := w.nodes[4]
		n.Paused = true
		w.Advance(time.Second)
		w.publish(2, "h2", w.nodes[0])
		w.Advance(19 * time.Second)
		w.Resume(n.Node, func() { n.syncer.Resume(w.Now()) })
		for !n.syncer.Ready() {
			w.Advance(time.Millisecond)
		}
		if v := n.catalog.Versions().Rules.Number; v != 2 {
			t.Fatal("want version 2 when ready, got ", v)
		}
	})
}

// Guards against a request that waits indefinitely for a peer that does not serve the version that it advertises.
func TestRetriesWithAnotherPeer(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		w := newNetwork(t, seed, 6)
		for _, n := range w.nodes[:3] {
			n.withholdsDocuments = true
		}
		w.publish(1, "h1", w.nodes[:4]...)
		w.converge(updateBound, 1, w.nodes)
	})
}

func newSyncer() (*Syncer, *[]Message) {
	var sent []Message
	s := &Syncer{
		Catalog: &fleet.Catalog{}, Contacts: []string{"c1", "c2"}, Counters: counter.New(),
		Send: func(_ string, m Message) { sent = append(sent, m) },
	}
	s.Start(0, 1)
	return s, &sent
}

// Guards against a start that waits indefinitely, or that ends on a digest of an earlier round or of a peer that is not
// ready.
func TestReadyAfterDigestOrTimeout(t *testing.T) {
	is := is.New(t)
	s, sent := newSyncer()
	is.Equal(len(*sent), 2)
	round := (*sent)[0].Query.Round
	changed, err := s.HandlePlatformDocument(0, fleet.Prepare(fleet.Rules, "platform", rulesOf(3, "h1")))
	is.True(!changed && err == nil)
	s.Handle(0, "p", Message{Digest: &Digest{Ready: true}})
	s.Handle(0, "p", Message{Digest: &Digest{Round: round - 1, Ready: true}})
	s.Handle(0, "p", Message{Digest: &Digest{Round: round}})
	s.Tick(QueryPeriod)
	is.Equal(len(*sent), 4) // The first queries may be lost.
	s.Tick(2999 * time.Millisecond)
	is.True(!s.Ready())
	s.Tick(3 * time.Second)
	is.True(s.Ready())
	is.Equal(s.Catalog.Versions().Rules.Number, uint64(3))
	s.Resume(10 * time.Second)
	is.True(!s.Ready())
	s.Handle(10*time.Second, "p", Message{Digest: &Digest{Round: round + 1, Ready: true}})
	is.True(s.Ready())
}

// Guards against a loop of requests to a peer that advertises a version and serves an invalid document or none, and
// against more outstanding requests than allowed.
func TestRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	s, sent := newSyncer()
	bad := []byte(`{"version":7,"leaving":[""]}`)
	claim := fleet.Versions{Rules: fleet.Version{Number: 7, Hash: fleet.HashOf(bad)}, Inventory: fleet.Version{Number: 9}}
	requests := func() (n int) {
		for _, m := range *sent {
			if m.Request != nil {
				n++
			}
		}
		return n
	}
	for _, peer := range []string{"p1", "p2", "p3"} {
		s.Handle(0, peer, Message{Digest: &Digest{Versions: claim}})
	}
	is.Equal(requests(), 2) // One for each document.
	other, otherSent := newSyncer()
	for _, peer := range []string{"p1", "p2", "p3"} {
		other.Handle(0, peer, Message{Digest: &Digest{Versions: fleet.Versions{Rules: claim.Rules}}})
	}
	is.Equal(len(*otherSent), 3) // Two queries and one request: a second one would fetch the same bytes.
	for range 10 {
		for _, peer := range []string{"p1", "p2", "p3"} {
			s.Handle(0, peer, Message{Document: &Document{Kind: fleet.Rules, Bytes: bad}})
			s.Handle(0, peer, Message{Document: &Document{Kind: fleet.Inventory}})
			s.Handle(0, peer, Message{Document: &Document{Kind: 99, Bytes: bad}})
		}
	}
	is.Equal(requests(), 4) // The invalid rules are requested once, the inventory once from each peer.
	is.NoErr(s.Catalog.Compare(fleet.Rules, "p1", claim.Rules))
	is.Equal(s.Catalog.LastRefusal().Kind, fleet.Rules)
}
