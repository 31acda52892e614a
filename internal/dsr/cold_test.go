package dsr

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/registry"
)

// coldRate is the limit of the tests in SYNs per second.
const coldRate = 10

// configureCold sets a limit for the servers of the service.
func (e *testEngine) configureCold(rate float64) {
	c := e.Registry.Configuration()
	c.Version++
	c.ColdLimits = []registry.ColdLimit{{Service: "standdesk", Rate: rate, WarmUp: 8 * time.Second}}
	e.Registry.Apply(e.now, registry.Change{Configuration: &c}, false)
}

func (e *testEngine) listColdHost(i int, zone string, cold time.Duration) {
	e.listHost(i, zone, false)
	for _, l := range e.Registry.Hosts("standdesk") {
		if l.Number == uint64(i) {
			l.ColdUntil = e.now + cold
		}
	}
}

// fleet is a number of entry VMs with the same servers. SYNs are sent through all of them in virtual time.
type fleet struct {
	vms    []*testEngine
	random *rand.Rand
	sent   map[string][]time.Duration // times of the SYNs by server
	resets map[string]int             // by reason
}

func newFleet(t *testing.T, vms int, seed uint64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 4)), sent: map[string][]time.Duration{}, resets: map[string]int{},
	}
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprint("entry-", i))
	}
	for _, name := range names {
		e := newTestEngine(t, 0)
		e.configureCold(coldRate)
		e.Cold.Self = name
		e.Cold.SetMembers(e.now, names)
		f.vms = append(f.vms, e)
	}
	return f
}

// burst sends SYNs for a duration at a rate. A third of them are retransmissions of flows without an answer, early ones
// that were queued included.
func (f *fleet) burst(d time.Duration, perSecond int) {
	var recent []*caller
	at := f.vms[0].now
	for range int(d.Seconds() * float64(perSecond)) {
		at += time.Second / time.Duration(perSecond)
		if n := min(len(recent), 300); n > 0 && f.random.IntN(3) == 0 {
			f.syn(recent[len(recent)-1-f.random.IntN(n)], at)
		} else if c := f.vms[f.random.IntN(len(f.vms))].caller(byte(f.random.IntN(200))); f.syn(c, at) {
			recent = append(recent, c)
		}
	}
	for _, e := range f.vms {
		e.advance(at - e.now)
	}
}

// syn sends a SYN and reports whether it was forwarded.
func (f *fleet) syn(c *caller, at time.Duration) bool {
	if c.now < at {
		c.advance(at - c.now)
	}
	v := c.syn()
	switch v.Action {
	case Forward:
		f.sent[v.Host.Name] = append(f.sent[v.Host.Name], at)
	case Reset:
		f.resets[v.Reason]++
	}
	return v.Action == Forward
}

// peak returns the greatest number of SYNs to a server in a sliding second.
func (f *fleet) peak(name string) (most int) {
	list := f.sent[name]
	slices.Sort(list)
	for start, i := 0, 0; i < len(list); i++ {
		for list[i]-list[start] >= time.Second {
			start++
		}
		most = max(most, i-start+1)
	}
	return most
}

// Guards against more SYNs than a cold server bears when a zone is taken back from its evacuation into a burst, with
// restarted servers, and also against none.
func TestReturnedZoneGetsBoundedSYNs(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		f := newFleet(t, 30, seed)
		for _, e := range f.vms {
			for i := range 6 {
				e.listHost(i, []string{"wa-perth", "wa-south"}[i/3], false)
			}
			e.Registry.Apply(e.now, registry.Change{Zone: "wa-south", Evacuated: true, Revision: uint64(e.now)}, false)
		}
		f.burst(5*time.Second, 1500)
		is.Equal(len(f.sent), 3)
		for _, e := range f.vms {
			e.Registry.Apply(e.now, registry.Change{Zone: "wa-south", Revision: uint64(e.now)}, false)
		}
		f.burst(6*time.Second, 1500)
		for i := 3; i < 6; i++ {
			name := fmt.Sprint("i-", i)
			t.Logf("seed %d: server %s received %d SYNs, at most %d in a second", seed, name, len(f.sent[name]), f.peak(name))
			is.True(f.peak(name) <= coldRate*1.5+5)
			is.True(len(f.sent[name]) >= coldRate*6/2)
		}
		is.Equal(len(f.resets), 0)
	}
}

// Guards against an overloaded cold server while there is no other one. New flows are reset with a reason of their own;
// a retransmitted SYN is not, because the server that received it before may still open the flow.
func TestSYNIsResetIfAllServersAreCold(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 20, 1)
	for _, e := range f.vms {
		e.advance(4 * time.Second)
		e.listColdHost(0, "wa-perth", time.Minute)
	}
	f.burst(5*time.Second, 1000)
	is.True(f.peak("i-0") <= coldRate*1.5+5)
	is.True(len(f.sent["i-0"]) >= coldRate*5/2)
	is.True(f.resets[ReasonColdLimit] > 0)
	is.Equal(len(f.resets), 1)

	e := newTestEngine(t, 0)
	e.configureCold(1)
	e.Cold.Self = "entry-0"
	e.Cold.SetMembers(e.now, nil)
	e.advance(4 * time.Second)
	e.listColdHost(0, "wa-perth", time.Minute)
	c := e.caller(1)
	is.Equal(c.syn().Action, Forward)
	is.Equal(c.syn(), Verdict{Reason: ReasonColdLimit})
	e.advance(200 * time.Millisecond)
	is.Equal(c.syn(), Verdict{Reason: ReasonColdLimit})
	is.Equal(e.caller(2).syn(), Verdict{Action: Reset, Reason: ReasonColdLimit})
	e.advance(time.Minute)
	is.Equal(e.caller(3).syn().Action, Forward)
	is.Equal(e.caller(4).syn().Action, Forward)
}

// Guards against decisions that differ without a limit in the configuration: an engine whose limiter allows nothing
// must decide like one whose limiter allows all.
func TestWithoutLimitColdServersAreUsed(t *testing.T) {
	is := is.New(t)
	a, b := newTestEngine(t, 3), newTestEngine(t, 3)
	b.Cold.SetMembers(b.now, nil)
	counts := map[string]int{}
	for i := range 2000 {
		if i%200 == 0 {
			a.listColdHost(i/200%3, "wa-perth", time.Second)
			b.listColdHost(i/200%3, "wa-perth", time.Second)
		}
		x, y := a.caller(byte(i%50)), b.caller(byte(i%50))
		for range 1 + i%3 {
			v, w := x.syn(), y.syn()
			is.Equal(v.Action, Forward)
			is.Equal(w.Action, Forward)
			is.Equal(v.Host.Name, w.Host.Name)
			counts[v.Host.Name]++
			a.advance(time.Duration(i%7) * 20 * time.Millisecond)
			b.advance(time.Duration(i%7) * 20 * time.Millisecond)
		}
	}
	is.Equal(len(counts), 3)
}
