package placement

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/registry"
)

// paceCase is a simulation of entry VMs and servers of which some start after 5 s.
type paceCase struct {
	name             string
	entries, servers int
	perSecond        float64
	fresh            int
	factor           float64       // of the work while a fresh server is slow
	slowFor          time.Duration // from the start of the fresh servers
	coldFor          time.Duration // from the start of the fresh servers, as their entries declare it
	flap             time.Duration // period after which fresh servers fail and come back while they are slow; 0 for none
	duration         time.Duration // after the start of the fresh servers
	scale            float64       // error of the observed response times of servers that are not fresh
	withPace         bool
}

// paceResult is what callers and fresh servers got.
type paceResult struct {
	late    int           // requests that took longer than the target latency, from the start of the fresh servers
	toShare time.Duration // from the end of the trouble until the fresh servers got 80% of a fair share in a second
}

type paceEvent struct {
	at time.Duration
	do func()
}

// simulatePace plays a case in virtual time.
func simulatePace(c paceCase, seed uint64) (r paceResult) {
	const (
		start     = 5 * time.Second
		work      = 16e6 // nanoseconds
		target    = 150 * time.Millisecond
		rejection = 400 * time.Millisecond // how long a full server takes to refuse a request
		maxQueue  = 8
	)
	random := rand.New(rand.NewPCG(seed, 5))
	hosts := lifetimes(slices.Repeat([]string{localZone}, c.servers)...)
	models := make([]Model, c.entries)
	for i := range models {
		models[i].AvailabilityZone = localZone
	}
	servers := make([]simulatedServer, c.servers)
	for i := range servers {
		servers[i] = simulatedServer{speed: 1, free: make([]time.Duration, 2)}
	}
	var now time.Duration
	var queue []paceEvent // in the order of time
	after := func(d time.Duration, f func()) {
		compare := func(e paceEvent, at time.Duration) int { return cmp.Compare(e.at, at) }
		i, _ := slices.BinarySearchFunc(queue, now+d, compare)
		queue = slices.Insert(queue, i, paceEvent{now + d, f})
	}
	isFresh := func(i int) bool { return i >= c.servers-c.fresh }
	factor := func(i int) float64 {
		if isFresh(i) && now < start+c.slowFor {
			return c.factor
		}
		return 1
	}
	isDown := func(i int) bool {
		return c.flap > 0 && isFresh(i) && now < start+c.slowFor && (now-start)/c.flap%2 == 1
	}
	seconds := int((start+c.duration)/time.Second) + 1
	perSecond := make([]int, seconds) // requests to fresh servers
	listed := func() []*registry.Lifetime {
		if now < start {
			return hosts[:c.servers-c.fresh]
		}
		return hosts
	}
	var request func(m *Model, began time.Duration, tried []uint32)
	request = func(m *Model, began time.Duration, tried []uint32) {
		f := Flow{Hash: random.Uint64(), TargetLatency: target, Tried: tried}
		i := int(m.Pick(now, listed(), f).Host.Token - 1)
		token := uint32(i + 1)
		if isFresh(i) {
			perSecond[now/time.Second]++
		}
		observe := func(kind flowevent.Kind, elapsed time.Duration) {
			m.Observe(now, flowevent.Event{Kind: kind, Host: token, Elapsed: elapsed})
		}
		observe(flowevent.Opened, 0)
		if isDown(i) {
			after(200*time.Millisecond, func() {
				observe(flowevent.Unanswered, 200*time.Millisecond)
				observe(flowevent.Closed, 0)
				if len(tried) < 3 {
					request(m, began, append(tried, token))
				}
			})
			return
		}
		done := now + rejection
		if wait := slices.Max(servers[i].free) - now; 2*float64(wait) < (maxQueue+2)*work*factor(i) {
			amount := time.Duration((0.5 + random.ExpFloat64()/2) * work * factor(i))
			done = servers[i].serve(now, amount)
		}
		sent := now
		if done-began > target && began >= start {
			r.late++
		}
		after(time.Millisecond, func() {
			observe(flowevent.Accepted, time.Millisecond)
			observe(flowevent.Requested, 0)
		})
		after(max(done-sent, time.Millisecond), func() {
			elapsed := now - sent
			if c.scale > 0 && !isFresh(i) {
				elapsed = time.Duration(float64(elapsed) * c.scale)
			}
			observe(flowevent.Answered, elapsed)
			observe(flowevent.Closed, 0)
		})
	}
	var arrive func()
	arrive = func() {
		request(&models[random.IntN(c.entries)], now, nil)
		after(time.Duration(random.ExpFloat64()/c.perSecond*float64(time.Second)), arrive)
	}
	after(0, arrive)
	after(start, func() {
		for i := range hosts {
			if !isFresh(i) || !c.withPace {
				continue
			}
			hosts[i].ColdUntil = now + c.coldFor
			for k := range models {
				models[k].BeginPace(now, hosts[i], PaceNew)
			}
		}
	})
	for queue[0].at < start+c.duration {
		e := queue[0]
		queue, now = queue[1:], e.at
		e.do()
	}
	r.toShare = c.duration
	fair := c.perSecond / float64(c.servers) * float64(c.fresh)
	for s, n := range perSecond[:seconds-1] {
		at := time.Duration(s+1)*time.Second - start
		if r.toShare == c.duration && at > c.slowFor && float64(n) >= 0.8*fair {
			r.toShare = at - c.slowFor
		}
	}
	return r
}

// Guards against load on a server that is declared cold, and against a fast one that its declaration keeps idle.
func TestDeclarationCountsUntilResponse(t *testing.T) {
	is := is.New(t)
	hosts := lifetimes(localZone, localZone)
	hosts[1].ColdUntil = time.Hour
	m := Model{AvailabilityZone: localZone}
	picks := func() (n int) {
		for i := range uint64(100) {
			if m.Pick(0, hosts, Flow{Hash: i}).Host == hosts[1] {
				n++
			}
		}
		return n
	}
	is.Equal(picks(), 0)
	m.Observe(0, flowevent.Event{Kind: flowevent.Answered, Host: 2, Elapsed: 20 * time.Millisecond})
	is.True(picks() > 25)
	m.BeginPace(0, hosts[1], PaceReturned) // It may have been restarted.
	is.Equal(picks(), 0)
}

// Guards against a pace that makes callers wait longer than none, that keeps servers from their share long after they
// are fast, or that applies the reductions of many entry VMs twice. Fresh servers that are slow for a moment must cost
// fewer late requests with many entry VMs.
func TestPaceOfFreshServers(t *testing.T) {
	for _, z := range []paceCase{
		{entries: 1, servers: 24, perSecond: 312},
		{entries: 58, servers: 120, perSecond: 1560},
		{entries: 500, servers: 150, perSecond: 1400},
	} {
		for _, c := range []paceCase{
			{name: "fast at once", factor: 1, duration: 8 * time.Second},
			{name: "slow for 2 s", factor: 10, slowFor: 2 * time.Second, duration: 12 * time.Second},
			{name: "slow for 8 s", factor: 10, slowFor: 8 * time.Second, duration: 18 * time.Second},
			{
				name: "slow and declared cold for 4 s", factor: 10, slowFor: 4 * time.Second, coldFor: 4 * time.Second,
				duration: 12 * time.Second,
			},
			{name: "flapping", factor: 1, slowFor: 7 * time.Second, flap: 1400 * time.Millisecond, duration: 15 * time.Second},
			{name: "half new", factor: 1.6, slowFor: 2 * time.Second, duration: 8 * time.Second, fresh: z.servers / 2},
			{name: "others seem slow", factor: 1, duration: 8 * time.Second, scale: 10},
		} {
			c.entries, c.servers, c.perSecond = z.entries, z.servers, z.perSecond
			c.fresh = max(c.fresh, c.servers/12)
			t.Run(fmt.Sprintf("%d/%s", c.entries, c.name), func(t *testing.T) {
				var without, with paceResult
				for seed := range uint64(2) {
					without.add(simulatePace(c, seed))
					paced := c
					paced.withPace = true
					with.add(simulatePace(paced, seed))
				}
				t.Logf("late requests and time to the share: %+v with a pace, %+v without", with, without)
				if with.late > without.late*11/10+10 {
					t.Errorf("%d late requests, want at most %d + 10%% + 10 as without a pace", with.late, without.late)
				}
				if c.entries > 1 && c.slowFor == 2*time.Second && c.factor == 10 && with.late > without.late*3/4 {
					t.Errorf("%d late requests, want at most three quarters of %d without a pace", with.late, without.late)
				}
				if c.entries > 1 && c.coldFor > 0 && with.late > without.late/10 {
					t.Errorf("%d late requests, want at most a tenth of %d without a pace", with.late, without.late)
				}
				if with.toShare > without.toShare+4*time.Second {
					t.Errorf("fair share after %v, want at most 4s more than %v without a pace", with.toShare, without.toShare)
				}
			})
		}
	}
}

// add adds the result of another seed. It keeps the longest time.
func (r *paceResult) add(o paceResult) {
	r.late, r.toShare = r.late+o.late, max(r.toShare, o.toShare)
}
