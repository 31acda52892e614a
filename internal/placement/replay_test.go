package placement

import (
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
	policy   string                     // "old", "hash", "ideal" or "new"
	shared   string                     // "", "exact", "half", "ten" (times as long) or "mixed" (ten times or a tenth)
	slow     func(server int) float64   // factor of the work in the overload
	feeds    float64                    // factor of the number of feeds in the overload
	urgent   float64                    // factor of the number of urgent requests
	home     func(zone, caller int) int // zone of the callers in the overload
	queue    schedule.Queue
	now      time.Duration
	random   *rand.Rand
	models   []*Model
	hosts    []*registry.Lifetime
	nodes    [150]node
	counts   [3][4]int // by zone of the caller: requests and those in time, of urgent routes and feeds
	refusals int
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
	open    int
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
	f := Flow{Hash: r.random.Uint64(), TargetLatency: replayTarget, Priority: priority, Tried: tried}
	m := r.models[vm]
	token := uint32(0)
	if r.policy == "ideal" {
		lowest := math.Inf(1)
		for i := range r.nodes {
			n, slow := &r.nodes[i], 1.0
			if r.overloaded() {
				slow = r.slow(i)
			}
			cost := float64(n.work) * slow * (float64(n.busy+len(n.waiting))/2 + float64(n.open)/20 + r.random.Float64()/4 + 1)
			if cost < lowest {
				token, lowest = uint32(i+1), cost
			}
		}
	} else {
		token = m.Pick(r.now, r.hosts, f).Host.Token
		if r.policy == "old" {
			m.services[""].evaluatedAt = time.Hour // No overload is detected before then.
		}
	}
	m.Observe(r.now, flowevent.Event{Kind: flowevent.Opened, Host: token})
	m.Observe(r.now, flowevent.Event{Kind: flowevent.Accepted, Host: token})
	r.nodes[token-1].open++
	return vm, int(token - 1)
}

func (r *replay) close(vm, server int) {
	r.models[vm].Observe(r.now, flowevent.Event{Kind: flowevent.Closed, Host: uint32(server + 1)})
	r.nodes[server].open--
}

// send sends a request on a flow and calls done after the response. A refused request is sent again on a new flow.
func (r *replay) send(q *request, vm, server int, done func()) {
	n, token := &r.nodes[server], uint32(server+1)
	e := flowevent.Event{Kind: flowevent.Requested, Host: token, Priority: q.priority, TargetLatency: replayTarget}
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
			r.send(q, next, other, func() { r.close(next, other) })
		case q.at >= overloadStart && q.at < overloadEnd:
			c := &r.counts[q.zone]
			c[2*q.priority-2]++
			if !refused && r.now-q.at <= replayTarget {
				c[2*q.priority-1]++
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
		if r.overloaded() && r.home != nil {
			home = r.home(zone, r.random.IntN(100))
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
		m := &Model{AvailabilityZone: names[vm%3], HashOnly: r.policy == "hash"}
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
			return
		}
		r.now = due
		do()
	}
}

// share returns the share of requests of a priority that were answered in time.
func (r *replay) share(priority int, zones ...int) float64 {
	all, timely := 0, 0
	for _, z := range zones {
		all += r.counts[z][2*priority-2]
		timely += r.counts[z][2*priority-1]
	}
	return float64(timely) / float64(all)
}

func one(int) float64 { return 1 }

func cases(name string) replay {
	switch name {
	case "moving callers":
		return replay{feeds: 1, urgent: 1, slow: func(i int) float64 { return 1 + 24*float64(i/3%2) }, home: func(z, c int) int {
			if c < 70 {
				return 0
			}
			return z
		}}
	case "feeds":
		return replay{feeds: 6, urgent: 1, slow: func(int) float64 { return 12 }}
	}
	return replay{feeds: 2, urgent: 2, slow: func(i int) float64 {
		if i/3%10 == 0 {
			return 1
		}
		return 12
	}}
}

var tuned = [][2]string{{"old", ""}, {"ideal", ""}, {"new", ""}, {"new", "exact"}, {"new", "mixed"}}

func TestTable(t *testing.T) {
	for _, c := range []string{"moving callers", "feeds", "requests"} {
		for _, p := range tuned {
			var r replay
			var counts [3][4]int
			refusals := 0
			for seed := range uint64(4) {
				r = cases(c)
				r.policy, r.shared = p[0], p[1]
				r.run(seed + 1)
				for z := range counts {
					for i := range counts[z] {
						counts[z][i] += r.counts[z][i]
					}
				}
				refusals += r.refusals / 4
			}
			r.counts, r.refusals = counts, refusals
			n := 0
			for _, m := range r.models {
				if m.Overloaded("") {
					n++
				}
			}
			t.Logf("%-15s %-5s %-6s urgent %.3f feeds %.3f  by zone %.3f %.3f %.3f  refusals %d  still %d", c, p[0], p[1], r.share(1, 0, 1, 2), r.share(2, 0, 1, 2),
				r.share(2, 0), r.share(2, 1), r.share(2, 2), r.refusals, n)
		}
	}
}
