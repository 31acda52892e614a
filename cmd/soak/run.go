package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/platform/standin/caller"
)

// options are the options of a run.
type options struct {
	Binary, Logs              string
	Seed                      uint64
	Duration                  time.Duration
	Daemons, Servers, Callers int
	Faults                    []string // in this order, in place of a plan from the seed
}

// report is what a run found.
type report struct {
	Seed       uint64
	Outcomes   map[caller.Outcome]int
	Quiet      map[caller.Outcome]int // of requests in the quiet time at the end
	Runs       int
	Faults     map[string]int
	Violations []string
}

// String returns the report in one line, with a line for each violation.
func (r *report) String() string {
	verdict := "passed"
	if len(r.Violations) > 0 {
		verdict = "FAILED"
	}
	s := fmt.Sprintf("seed %d %s: outcomes %v, quiet %v, runs %d, faults %s", r.Seed, verdict, r.Outcomes, r.Quiet, r.Runs,
		counts(r.Faults))
	if len(r.Violations) > 0 {
		s += "\n  " + strings.Join(r.Violations, "\n  ")
	}
	return s
}

func counts(m map[string]int) string {
	var list []string
	for name, n := range m {
		list = append(list, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

const (
	// warmUp is the time that the daemons and servers have before faults begin.
	warmUp = 2 * time.Second
	// settle is the settle time, after which bounds hold again, and quiet is the time without faults at the end.
	settle = 4 * time.Second
	quiet  = settle + 6*time.Second
	// quietShare is the part of the requests of the last seconds that must be answered.
	quietShare = 0.99
	// users is the number of users of a caller.
	users = 3
	// timeout is the time limit of a request and think the longest pause between two.
	timeout = time.Second
	think   = 60 * time.Millisecond
)

func run(o options) (*report, error) {
	s, stop, err := newSite(o)
	if err != nil {
		return nil, err
	}
	defer stop()
	if err := s.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(warmUp)
	done := make(chan struct{})
	var group sync.WaitGroup
	for i := range o.Callers {
		c := &caller.Caller{Address: netip.AddrPortFrom(s.ip(callerNet, i), dataPort), Route: s.route}
		stopCaller, err := c.Start()
		if err != nil {
			return nil, err
		}
		defer stopCaller()
		for j := range users {
			group.Go(func() { s.user(c, rand.New(rand.NewPCG(o.Seed, uint64(i*users+j))), done) })
		}
	}
	random := rand.New(rand.NewPCG(o.Seed, 1<<32))
	if len(o.Faults) > 0 {
		s.series(random, o.Faults)
	} else {
		s.disturb(random, time.Now().Add(o.Duration))
	}
	s.heal()
	time.Sleep(quiet - settle)
	s.check.mu.Lock()
	s.check.quiet = true
	s.check.mu.Unlock()
	time.Sleep(settle)
	close(done)
	group.Wait()
	return s.check.report(o.Seed, s.faults), nil
}

// user sends requests until done is closed, each kind of route by turns: many on one flow, or one flow for each.
func (s *site) user(c *caller.Caller, random *rand.Rand, done <-chan struct{}) {
	var flow *caller.Flow
	var route registry.Route
	defer func() {
		if flow != nil {
			flow.Close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(random.Int64N(int64(think)))):
		}
		if flow == nil {
			route = s.pickRoute(random)
			var outcome caller.Outcome
			if flow, outcome = c.Open(route.Address); flow == nil {
				s.check.opened(outcome)
				continue
			}
		}
		request := fmt.Sprintf("%s-%d-%d", c.Address.Addr(), random.Uint64(), n)
		s.check.sent(request, &route)
		outcome, from := flow.Do(request, timeout)
		s.check.ended(flow, request, outcome, from)
		if outcome != caller.OutcomeAnswered || !route.Idempotent || random.IntN(20) == 0 {
			flow.Close()
			flow = nil
		}
	}
}
