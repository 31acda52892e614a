package placement

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/internal/standin/schedule"
)

// replay sends requests of three zones through 124 entry VMs to 150 servers, in virtual time. The overload lasts from
// overloadStart to overloadEnd. Feeds (priority 2) use long flows, urgent requests one flow each.
type replay struct {
	old       bool                     // whether the choice is the one without an overload
	shared    string                   // "", "exact", "half", "ten" (times as long) or "mixed" (ten times or a tenth)
	slow      func(server int) float64 // factor of the work in the overload
	feeds     float64                  // factor of the number of feeds in the overload
	urgent    float64                  // factor of the number of urgent requests
	gathered  int                      // percentage of the callers that use the first zone in the overload
	queue     schedule.Queue
	now       time.Duration
	random    *rand.Rand
	models    []*Model
	hosts     []*registry.Lifetime
	nodes     [150]node
	counts    [4]int // requests and those in time, of urgent routes and feeds
	refusals  int
	overloads int // entry VMs at which an overload has not ended
}

const (
	replayWork, replayTarget   = 16 * time.Millisecond, 400 * time.Millisecond
	overloadStart, overloadEnd = 8 * time.Second, 12 * time.Second
	reportDelay                = 150 * time.Millisecond
	entryVMs                   = 124
)

// node is a server with two slots and a queue for 8 requests.
type node struct {
	work    time.Duration
	busy    int
	waiting []func()
	reports [3][]report // by zone of the entry VM
	known   [3]Shared
	sent    [entryVMs]int // requests outstanding, by entry VM
}

type report struct {
	at, elapsed time.Duration
	from        int
}

// request is a request with its attempts.
type request struct {
	zone, priority, attempts int
	at                       time.Duration
}

func (r *replay) overloaded() bool { return r.now >= overloadStart && r.now < overloadEnd }

func (r *replay) exponential(mean time.Duration) time.Duration {
	return time.Duration(r.random.ExpFloat64() * float64(mean))
}

func (r *replay) after(d time.Duration, do func()) { r.queue.At(r.now+d, do) }

// serve passes a request to a server and calls done with the time that the response took.
func (r *replay) serve(i int, done func(refused bool)) {
	n := &r.nodes[i]
	start := func() {
		work := n.work/2 + r.exponential(n.work/2)
		if r.overloaded() {
			work = time.Duration(float64(work) * r.slow(i))
		}
		r.after(work, func() {
			n.busy--
			if len(n.waiting) > 0 {
				next := n.waiting[0]
				n.waiting = n.waiting[1:]
				n.busy++
				next()
			}
			done(false)
		})
	}
	switch {
	case n.busy < 2:
		n.busy++
		start()
	case len(n.waiting) < 8:
		n.waiting = append(n.waiting, start)
	default:
		r.after(time.Duration(270+r.random.IntN(300))*time.Millisecond, func() { done(true) })
	}
}

// open opens a flow and returns its entry VM and server.
func (r *replay) open(zone, priority int, tried []uint32) (vm, server int) {
	vm = r.random.IntN(entryVMs/3)*3 + zone
	f := Flow{Hash: r.random.Uint64(), TargetLatency: replayTarget, Urgent: priority == 1, Tried: tried}
	m := r.models[vm]
	token := m.Pick(r.now, r.hosts, f).Host.Token
	if r.old {
		m.services[""].evaluatedAt = time.Hour // No overload is detected before then.
	}
	m.Observe(r.now, flowevent.Event{Kind: flowevent.Opened, Host: token})
	m.Observe(r.now, flowevent.Event{Kind: flowevent.Accepted, Host: token})
	return vm, int(token - 1)
}

func (r *replay) close(vm, server int) {
	r.models[vm].Observe(r.now, flowevent.Event{Kind: flowevent.Closed, Host: uint32(server + 1)})
}

// send sends a request on a flow and calls done after the response. A refused request is sent again on a new flow.
func (r *replay) send(q *request, vm, server int, done func()) {
	n, token := &r.nodes[server], uint32(server+1)
	e := flowevent.Event{Kind: flowevent.Requested, Host: token, Urgent: q.priority == 1, TargetLatency: replayTarget}
	r.models[vm].Observe(r.now, e)
	n.sent[vm]++
	sent := r.now
	r.serve(server, func(refused bool) {
		n.sent[vm]--
		e.Kind, e.Elapsed = flowevent.Answered, r.now-sent
		r.models[vm].Observe(r.now, e)
		n.reports[vm%3] = append(n.reports[vm%3], report{r.now, e.Elapsed, vm})
		switch {
		case refused && q.attempts < 2:
			r.refusals++
			q.attempts++
			next, other := r.open(q.zone, q.priority, nil)
			if next == vm { // Package dsr sees that the caller makes another attempt.
				e.Kind, e.Elapsed = flowevent.Retried, 0
				r.models[vm].Observe(r.now, e)
			}
			r.send(q, next, other, func() { r.close(next, other) })
		case q.at >= overloadStart && q.at < overloadEnd:
			r.counts[2*q.priority-2]++
			if !refused && r.now-q.at <= replayTarget {
				r.counts[2*q.priority-1]++
			}
		}
		done()
	})
}

// callers opens flows at the given rate, each with the given number of requests, and with pauses of a second.
func (r *replay) callers(zone, priority int, perSecond float64, requests int, growth float64) {
	mean := time.Duration(float64(time.Second) / perSecond)
	if r.overloaded() {
		mean = time.Duration(float64(mean) / growth)
	}
	r.after(r.exponential(mean), func() {
		home := zone
		if r.overloaded() && r.random.IntN(100) < r.gathered {
			home = 0
		}
		vm, server := r.open(home, priority, nil)
		r.flow(home, priority, vm, server, requests)
		r.callers(zone, priority, perSecond, requests, growth)
	})
}

func (r *replay) flow(zone, priority, vm, server, requests int) {
	r.send(&request{zone: zone, priority: priority, at: r.now}, vm, server, func() {
		if requests == 1 {
			r.close(vm, server)
			return
		}
		r.after(r.exponential(time.Second), func() { r.flow(zone, priority, vm, server, requests-1) })
	})
}

// report updates what the entry VMs of a zone know of a server from each other.
func (r *replay) report(zone int, token uint32) {
	n := &r.nodes[token-1]
	n.reports[zone] = slices.DeleteFunc(n.reports[zone], func(p report) bool { return r.now-p.at > 3*time.Second })
	var s Shared
	sum := 0.0
	for i, p := range n.reports[zone] {
		l := r.models[p.from].loads[token]
		if age := r.now - p.at; age >= reportDelay && l != nil && l.marked && (r.shared != "half" || i%2 == 0) {
			w := math.Exp2(-age.Seconds())
			s.Samples += w
			sum += w * float64(p.elapsed)
		}
	}
	if s.Samples > 0 {
		for from := zone; from < entryVMs; from += 3 {
			if r.shared != "half" || r.random.IntN(2) == 0 {
				s.Outstanding += float64(n.sent[from])
			}
		}
		sum /= s.Samples
	}
	switch {
	case r.shared == "ten", r.shared == "mixed" && token%2 == 0:
		sum *= 10
	case r.shared == "mixed":
		sum /= 10
	}
	s.ResponseTime = time.Duration(sum)
	n.known[zone] = s
}

func (r *replay) run(seed uint64) {
	r.random = rand.New(rand.NewPCG(seed, 5))
	names := []string{localZone, "wa-south", "wa-north"}
	var zones []string
	for i := range r.nodes {
		zones = append(zones, names[i%3])
		r.nodes[i].work = time.Duration((0.6 + r.random.Float64()) * float64(replayWork))
	}
	r.hosts = lifetimes(zones...)
	for vm := range entryVMs {
		m := &Model{AvailabilityZone: names[vm%3]}
		if r.shared != "" {
			m.Shared = func(_ time.Duration, token uint32) (Shared, bool) {
				s := r.nodes[token-1].known[vm%3]
				return s, s.Samples > 0
			}
		}
		r.models = append(r.models, m)
	}
	for zone := range 3 {
		r.callers(zone, 1, 312/3, 1, r.urgent)
		r.callers(zone, 2, 1250/3/12, 12, r.feeds)
	}
	var tick func()
	tick = func() {
		for _, m := range r.models {
			m.Tick(r.now)
		}
		for i := range 3 * len(r.nodes) {
			if r.shared != "" {
				r.report(i%3, uint32(i/3+1))
			}
		}
		r.after(evaluationPeriod, tick)
	}
	tick()
	for {
		do, due := r.queue.Next(overloadEnd + 6*time.Second)
		if do == nil {
			break
		}
		r.now = due
		do()
	}
	for _, m := range r.models {
		if m.Overloaded("") {
			r.overloads++
		}
	}
}

// share returns the share of the requests of a priority that were answered in time.
func (r *replay) share(priority int) float64 {
	return float64(r.counts[2*priority-1]) / float64(r.counts[2*priority-2])
}

var replaySeeds = flag.Int("replay-seeds", 1, "number of seeds of each replay")

// replays sums the replays of a case with all seeds.
func replays(overload replay, old bool, shared string) *replay {
	sum := &replay{}
	for seed := range *replaySeeds {
		r := overload
		r.old, r.shared = old, shared
		r.run(uint64(seed + 1))
		sum.refusals += r.refusals
		sum.overloads += r.overloads
		for i := range r.counts {
			sum.counts[i] += r.counts[i]
		}
	}
	return sum
}

// Guards against a placement under overload that serves fewer requests in time than the choice by own observations
// alone, with and without load reports, and against an overload that does not end. A lasting overload of feeds must
// leave urgent requests better off.
func TestPlacementUnderOverload(t *testing.T) {
	for name, test := range map[string]struct {
		replay
		urgentGain float64 // of the share of urgent requests in time, with and without load reports
		feedsLoss  float64
	}{
		"moving callers": {replay{
			feeds: 1, urgent: 1, slow: func(i int) float64 { return 1 + 24*float64(i/3%2) }, gathered: 70,
		}, -0.02, 0.04},
		"feeds": {replay{feeds: 6, urgent: 1, slow: func(int) float64 { return 12 }}, 0.08, 0.06},
		"requests": {replay{feeds: 2, urgent: 2, slow: func(i int) float64 {
			return 12 - 11*float64(max(0, 1-i/3%10))
		}}, -0.02, 0.04},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			old := replays(test.replay, true, "")
			for _, shared := range []string{"", "exact", "half", "ten", "mixed"} {
				r := replays(test.replay, false, shared)
				urgent, feeds := r.share(1), r.share(2)
				t.Logf("%q reports: urgent %.3f (before %.3f) feeds %.3f (%.3f) 503s %d (%d)", shared, urgent, old.share(1),
					feeds, old.share(2), r.refusals / *replaySeeds, old.refusals / *replaySeeds)
				if want := old.share(1) + test.urgentGain; urgent < want {
					t.Errorf("%q reports: share %.3f of urgent requests in time, want at least %.3f", shared, urgent, want)
				}
				if want := old.share(2) - test.feedsLoss; feeds < want {
					t.Errorf("%q reports: share %.3f of feeds in time, want at least %.3f", shared, feeds, want)
				}
				if r.overloads > 0 {
					t.Errorf("%q reports: the overload has not ended at %d entry VMs", shared, r.overloads)
				}
			}
		})
	}
}

// Guards against an overload because of a few slow servers, against missing a real one, and against marks that remain.
func TestOverloadIsDetected(t *testing.T) {
	for _, test := range []struct {
		slow uint32 // number of slow servers of 20
		want bool
	}{{0, false}, {3, false}, {4, false}, {10, true}, {20, true}} {
		marked := map[uint32]bool{}
		var changes []bool
		m := Model{
			AvailabilityZone: localZone,
			MarkLoaded:       func(_ time.Duration, token uint32, loaded bool) { marked[token] = loaded },
			OverloadChanged: func(_ time.Duration, _ string, overloaded bool, _ Evidence) {
				changes = append(changes, overloaded)
			},
		}
		hosts := lifetimes(slices.Repeat([]string{localZone}, 20)...)
		for now := time.Second; now < 13*time.Second; now += 50 * time.Millisecond {
			m.Tick(now)
			m.Pick(now, hosts, Flow{TargetLatency: replayTarget})
			// The flows of slow servers are the busy ones.
			token := uint32(now/(50*time.Millisecond))%20 + 1
			if now%(100*time.Millisecond) == 0 && test.slow > 0 {
				token = token%test.slow + 1
			}
			e := flowevent.Event{Kind: flowevent.Answered, Host: token, TargetLatency: replayTarget}
			e.Elapsed = 20 * time.Millisecond
			if token <= test.slow && now < 5*time.Second {
				e.Elapsed = 300 * time.Millisecond
			}
			m.Observe(now, e)
		}
		if got := len(changes) == 2 && changes[0] && !changes[1]; got != test.want || len(changes)%2 != 0 {
			t.Errorf("%d slow servers: changes %v, want an overload: %t", test.slow, changes, test.want)
		}
		for token, loaded := range marked {
			if loaded {
				t.Errorf("%d slow servers: server %d is still marked", test.slow, token)
			}
		}
	}
}

// Guards against routes without a target latency that count every response as late.
func TestRouteWithoutTargetLatencyIsNeverOverloaded(t *testing.T) {
	m := Model{AvailabilityZone: localZone}
	hosts := lifetimes(slices.Repeat([]string{localZone}, 20)...)
	for now := time.Second; now < 4*time.Second; now += 20 * time.Millisecond {
		token := m.Pick(now, hosts, Flow{Hash: uint64(now)}).Host.Token
		m.Observe(now, flowevent.Event{Kind: flowevent.Requested, Host: token})
		m.Observe(now+time.Millisecond, flowevent.Event{Kind: flowevent.Answered, Host: token, Elapsed: time.Millisecond})
		if m.Overloaded("") {
			t.Fatalf("overloaded after %v", now)
		}
	}
}

// Guards against a zone that returns during an overload and receives all flows at its first server, because nothing is
// known of it yet, and against servers that stay kept although they are no longer listed.
func TestListedServersChangeInOverload(t *testing.T) {
	m := Model{AvailabilityZone: localZone}
	hosts := lifetimes(slices.Repeat([]string{"wa-south", localZone}, 20)...)
	remote := slices.DeleteFunc(slices.Clone(hosts), func(h *registry.Lifetime) bool { return h.Token%2 == 0 })
	now := time.Second
	for ; now < 5*time.Second; now += 20 * time.Millisecond {
		m.Pick(now, remote, Flow{Hash: uint64(now), TargetLatency: replayTarget})
		m.Observe(now, flowevent.Event{
			Kind: flowevent.Answered, Host: uint32(now/(10*time.Millisecond))%40 + 1, Elapsed: replayTarget,
		})
		m.Observe(now, flowevent.Event{Kind: flowevent.Requested, Host: 1, Urgent: now%(100*time.Millisecond) == 0})
	}
	if !m.Overloaded("") {
		t.Fatal("not overloaded")
	}
	m.Tick(now)
	counts := map[uint32]int{}
	for i := range 1000 {
		counts[m.Pick(now, hosts, Flow{Hash: uint64(i), TargetLatency: replayTarget}).Host.Token]++
	}
	for token, n := range counts {
		if n > 200 {
			t.Errorf("server %d of the returned zone receives %d of 1000 flows", token, n)
		}
	}
	now += overloadWindow + evaluationPeriod // No flow is opened meanwhile.
	s := m.services[""]
	s.lateAt = now
	m.Pick(now, hosts, Flow{TargetLatency: replayTarget})
	if !slices.ContainsFunc(s.groups[0].members, func(l *load) bool { return l.kept }) {
		t.Error("no server is kept after a pause without new flows")
	}
}

// BenchmarkPick chooses among servers of three zones, with a load report of each one, in and without an overload. It
// includes the evaluation every 100 ms at 20 flows per second.
func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{120, 600} {
		for _, overloaded := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/%t", servers, overloaded), func(b *testing.B) {
				m := Model{AvailabilityZone: localZone, Shared: func(time.Duration, uint32) (Shared, bool) {
					return Shared{ResponseTime: replayWork, Samples: 1}, overloaded
				}}
				hosts := lifetimes(slices.Repeat([]string{localZone, "wa-south", "wa-north"}, servers/3)...)
				now, f := time.Second, Flow{TargetLatency: replayTarget}
				m.Pick(now, hosts, f)
				b.ReportAllocs()
				for b.Loop() {
					now += 50 * time.Millisecond
					s := m.services[""]
					s.overloaded, s.lateAt = overloaded, now
					f.Hash++
					m.Pick(now, hosts, f)
				}
			})
		}
	}
}
