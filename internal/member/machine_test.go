package member

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that a run in CI can be repeated; -rapid.seed=N selects another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// machine applies random events to a network of members; after the last event all views must become correct.
type machine struct {
	*network
	lastAddress      int                // Number of the last new address.
	leftIncarnation  map[string]uint64  // Incarnation in which a list saw a member leave, by list and member.
	generations      map[*node]uint64   // Last generation of the owners.
	owners           map[*node][]Member // Owners at that generation.
	incarnationsSeen map[string]uint64  // Highest incarnation that some list held, by list and member.
}

// pick returns a random running node that satisfies ok.
func (m *machine) pick(t *rapid.T, ok func(x *node) bool) *node {
	var eligible []*node
	for _, x := range m.nodes {
		if !x.Stopped && ok(x) {
			eligible = append(eligible, x)
		}
	}
	if len(eligible) == 0 {
		t.Skip("no node for this event")
	}
	return eligible[rapid.IntRange(0, len(eligible)-1).Draw(t, "node")]
}

func running(x *node) bool { return !x.Paused && !x.replaced }

// run advances by d and checks the invariants every 200 ms.
func (m *machine) run(t *rapid.T, d time.Duration) {
	for end := m.Now() + d; m.Now() < end; {
		m.Advance(200 * time.Millisecond)
		m.check(t)
	}
}

// check fails if a member owns flows after its leave, the owners change without their generation, or an incarnation
// decreases.
func (m *machine) check(t *rapid.T) {
	for _, x := range m.live() {
		owners, generation := x.Owners()
		for _, o := range owners {
			if left, ok := m.leftIncarnation[fmt.Sprintf("%p/%s", x, o.Name)]; ok && o.Incarnation <= left {
				t.Fatalf("%s: %s owns flows after its leave", x.Self.Name, o.Name)
			}
		}
		same := len(owners) == len(m.owners[x])
		for i := 0; same && i < len(owners); i++ {
			same = sameOwner(owners[i], m.owners[x][i])
		}
		if _, seen := m.generations[x]; seen && !same && generation == m.generations[x] {
			t.Fatalf("%s: owners changed within generation %d", x.Self.Name, generation)
		}
		m.generations[x], m.owners[x] = generation, owners
		for _, o := range x.Members() {
			key := fmt.Sprintf("%p/%s", x, o.Name)
			if o.Incarnation < m.incarnationsSeen[key] {
				t.Fatalf("%s: incarnation of %s decreased from %d to %d", x.Self.Name, o.Name, m.incarnationsSeen[key],
					o.Incarnation)
			}
			m.incarnationsSeen[key] = o.Incarnation
			if o.State == StateLeaving {
				m.leftIncarnation[key] = o.Incarnation
			}
		}
	}
}

// Guards against sequences of events after which a member remains dead or separated from the others.
func TestViewsConvergeAfterAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t.Fatalf, 8, rapid.Uint64().Draw(t, "seed"))
		m := &machine{
			network: n, lastAddress: 20, leftIncarnation: map[string]uint64{}, generations: map[*node]uint64{},
			owners: map[*node][]Member{}, incarnationsSeen: map[string]uint64{},
		}
		m.run(t, joinBound)
		t.Repeat(map[string]func(*rapid.T){
			"kill": func(t *rapid.T) {
				if len(m.live()) < 4 {
					t.Skip("too few left")
				}
				m.pick(t, running).Stopped = true
			},
			"leave": func(t *rapid.T) { m.pick(t, running).Leave(m.Now()) },
			"pause": func(t *rapid.T) {
				if len(m.live()) < 4 {
					t.Skip("too few left")
				}
				m.pick(t, running).Paused = true
			},
			"resume": func(t *rapid.T) { m.resume(m.pick(t, func(x *node) bool { return x.Paused })) },
			"cut":    func(t *rapid.T) { m.Isolated[rapid.SampledFrom(zones).Draw(t, "zone")] = true },
			"heal":   func(*rapid.T) { clear(m.Isolated) },
			"loss": func(t *rapid.T) {
				m.Loss = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "loss")
				m.Duplication = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "double")
				m.Jitter = rapid.SampledFrom([]time.Duration{3 * time.Millisecond, 150 * time.Millisecond}).Draw(t, "delay")
			},
			"new": func(t *rapid.T) {
				m.lastAddress++
				m.start(fmt.Sprintf("vm-%03d", m.lastAddress), m.lastAddress, rapid.IntRange(0, 7).Draw(t, "contact"))
			},
			"replace": func(t *rapid.T) {
				x := m.pick(t, func(*node) bool { return true })
				i := int(x.Self.Control.Addr().As4()[3])
				if rapid.Bool().Draw(t, "same-name") {
					m.start(x.Self.Name, i, 0)
					return
				}
				m.lastAddress++
				m.start(fmt.Sprintf("vm-%03d", m.lastAddress), i, 0)
			},
			"wait": func(t *rapid.T) {
				m.run(t, rapid.SampledFrom([]time.Duration{200 * time.Millisecond, 2 * time.Second, 20 * time.Second}).
					Draw(t, "time"))
			},
		})
		for _, x := range m.nodes {
			if x.Paused && !x.Stopped {
				m.resume(x)
			}
		}
		m.publishAddresses() // Processes whose contacts have all stopped could not find each other otherwise.
		clear(m.Isolated)
		m.Loss, m.Duplication, m.Jitter = 0, 0, 3*time.Millisecond
		m.converge(healBound + deathBound)
		m.check(t)
	})
}
