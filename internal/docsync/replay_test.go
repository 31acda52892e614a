package docsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/standin/trace"
)

const replayProcesses = 3

// replay runs the events of a counterexample of model/config.pml against Syncers. Its platform always compares
// versions, also if it does not in the trace, because the model assumes that of the platform.
type replay struct {
	*is.I
	now      time.Duration
	syncers  [replayProcesses]*Syncer
	versions [replayProcesses]uint64
	peersHad [replayProcesses]uint64 // least active version of all others at the start of the process
	platform []string                // content of each version
	cut      int
	linked   [replayProcesses]bool // messages of a new process are lost until it sends its query in the trace
	content  map[uint64]uint64
	seed     uint64
}

func newReplay(t *testing.T) *replay {
	r := &replay{I: is.New(t), cut: -1, content: map[uint64]uint64{}}
	for p := range r.syncers {
		r.start(p)
	}
	return r
}

func processName(p int) string { return fmt.Sprint("entry-", p) }

func (r *replay) start(p int) {
	r.seed++
	s := &Syncer{Catalog: &fleet.Catalog{}}
	s.Send = func(to string, m Message) {
		for q := range r.syncers {
			if processName(q) == to && r.syncers[q] != nil && r.cut != p && r.cut != q && r.linked[p] && r.linked[q] {
				m.Prepare(processName(p))
				r.syncers[q].Handle(r.now, processName(p), m)
			}
		}
	}
	s.Peers = func() []string {
		var names []string
		for q := range r.syncers {
			if q != p {
				names = append(names, processName(q))
			}
		}
		return names
	}
	r.syncers[p], r.versions[p], r.linked[p] = s, 0, false
	r.peersHad[p] = r.lowestVersion(p)
	s.Start(r.now, r.seed)
	s.Tick(r.now)
}

// lowestVersion returns the least active version of all processes but p, or 0 if one of them cannot be reached.
func (r *replay) lowestVersion(p int) uint64 {
	least := uint64(1 << 62)
	for q, s := range r.syncers {
		if q != p && (s == nil || r.cut >= 0) {
			return 0
		}
		if q != p {
			least = min(least, s.Catalog.Versions().Rules.Number)
		}
	}
	return least
}

func (r *replay) event(e trace.Event) {
	a, b := e.Numbers[0], e.Numbers[1]
	r.now += 10 * time.Millisecond
	switch e.Name {
	case "publish":
		if a == len(r.platform)+1 {
			r.platform = append(r.platform, fmt.Sprint("host-", b))
		}
	case "platform":
		if b <= len(r.platform) && r.cut != a {
			document := fleet.Prepare(fleet.Rules, "platform", rulesOf(b, r.platform[b-1]))
			_, _ = r.syncers[a].HandlePlatformDocument(r.now, document)
		}
	case "spread":
		r.syncers[a].Handle(r.now, processName(b), Message{Digest: &Digest{Versions: r.syncers[b].Catalog.Versions()}})
	case "ask", "ready":
		r.linked[a] = true
		r.now += QueryPeriod
		r.syncers[a].Tick(r.now)
		if !r.syncers[a].Ready() { // No other process is ready.
			r.now += ReadyTimeout
		}
	case "kill":
		r.start(a)
	case "cut":
		r.cut = a
	case "heal":
		r.cut = -1
	default:
		r.Fail() // Unknown event.
	}
	for _, s := range r.syncers {
		s.Tick(r.now)
	}
}

func (r *replay) check() {
	for p, s := range r.syncers {
		v := s.Catalog.Versions().Rules
		r.True(v.Number >= r.versions[p]) // the active version never decreases
		r.versions[p] = v.Number
		if v.Number > 0 {
			known, ok := r.content[v.Number]
			r.True(!ok || known == v.Hash) // one content under one version
			r.content[v.Number] = v.Hash
		}
		if r.cut >= 0 {
			r.peersHad[p] = 0
		}
		if v.Number > 0 && s.Ready() {
			r.True(v.Number >= r.peersHad[p]) // no start with an older version than that of all peers
		}
	}
}

// Guards against code that lacks a rule which the model checker showed to be necessary: each trace violates the
// specification if one rule is missing.
func TestReplayOfModelTraces(t *testing.T) {
	traces, err := trace.ReadAll("testdata/traces")
	is.New(t).NoErr(err)
	is.New(t).Equal(len(traces), 4)
	for _, x := range traces {
		t.Run(x.Name, func(t *testing.T) {
			r := newReplay(t)
			for _, e := range x.Events {
				r.event(e)
				r.check()
			}
			r.requireConvergence()
		})
	}
}

// requireConvergence fails the test unless the newest version becomes active in all processes while the platform is
// unavailable and after the partition has healed.
func (r *replay) requireConvergence() {
	r.event(trace.Event{Name: "heal"})
	r.linked = [replayProcesses]bool{true, true, true}
	newest := uint64(0)
	for _, s := range r.syncers {
		newest = max(newest, s.Catalog.Versions().Rules.Number)
	}
	for p := range r.syncers {
		for q := range r.syncers {
			if p != q {
				r.event(trace.Event{Name: "spread", Numbers: [3]int{p, q}})
			}
		}
	}
	r.now += RequestTimeout
	for _, s := range r.syncers {
		s.Tick(r.now)
		r.Equal(s.Catalog.Versions().Rules.Number, newest)
	}
	r.check()
}
