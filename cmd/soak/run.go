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

// options are the command-line options of a run.
type options struct {
	Binary, Logs              string // path of the daemon, and directory of its logs or empty
	Seed                      uint64
	Duration                  time.Duration
	Daemons, Servers, Callers int
	Faults                    []string // injected in this order instead of random faults from the seed
}

// report is the result of a run.
type report struct {
	Seed       uint64
	Outcomes   map[caller.Outcome]int
	Quiet      map[caller.Outcome]int // outcomes in the last settleTime of the run
	Runs       int                    // executions of requests
	Faults     map[string]int         // number of injected faults by name
	Violations []string
}

// String returns the report as one line, followed by one line for each violation.
func (r *report) String() string {
	verdict := "passed"
	if len(r.Violations) > 0 {
		verdict = "FAILED"
	}
	s := fmt.Sprintf("seed %d %s: outcomes %v, quiet %v, runs %d, faults %s", r.Seed, verdict, r.Outcomes, r.Quiet, r.Runs,
		formatCounts(r.Faults))
	if len(r.Violations) > 0 {
		s += "\n  " + strings.Join(r.Violations, "\n  ")
	}
	return s
}

func formatCounts(m map[string]int) string {
	var list []string
	for name, n := range m {
		list = append(list, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

const (
	// warmUp is the time from the readiness of the daemons to the first requests and faults.
	warmUp = 2 * time.Second
	// settleTime is the time after a disturbance from which on the guarantees hold again. quietTime is the time without
	// faults at the end of a run.
	settleTime = 4 * time.Second
	quietTime  = settleTime + 6*time.Second
	// minAnsweredShare is the share of the requests in the last settleTime that must be answered.
	minAnsweredShare = 0.99
	// usersPerCaller is the number of concurrent users of each caller.
	usersPerCaller = 3
	// requestTimeout limits a request, and maxThinkTime the delay of a user before each request.
	requestTimeout = time.Second
	maxThinkTime   = 60 * time.Millisecond
)

// run starts a site, sends requests while faults are injected, and returns the report.
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
		for j := range usersPerCaller {
			group.Go(func() { s.runUser(c, rand.New(rand.NewPCG(o.Seed, uint64(i*usersPerCaller+j))), done) })
		}
	}
	// The users have the streams from 0 on; the faults have a separate one.
	random := rand.New(rand.NewPCG(o.Seed, 1<<32))
	if len(o.Faults) > 0 {
		s.injectSeries(random, o.Faults)
	} else {
		s.injectRandom(random, time.Now().Add(o.Duration))
	}
	s.clearFaults()
	time.Sleep(quietTime - settleTime)
	s.checker.mu.Lock()
	s.checker.quiet = true
	s.checker.mu.Unlock()
	time.Sleep(settleTime)
	close(done)
	group.Wait()
	s.checker.checkReturned(s.returnedZones())
	return s.checker.report(o.Seed, s.faults), nil
}

// runUser sends requests to random routes until done is closed: an average of 20 on a flow if the route is
// idempotent and all are answered, otherwise one on each flow.
func (s *site) runUser(c *caller.Caller, random *rand.Rand, done <-chan struct{}) {
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
		case <-time.After(time.Duration(random.Int64N(int64(maxThinkTime)))):
		}
		if flow == nil {
			route = s.randomRoute(random)
			var outcome caller.Outcome
			var from netip.Addr
			if flow, outcome, from = c.Open(route.Address); flow == nil {
				s.checker.openFailed(outcome, route.Address, from)
				continue
			}
		}
		request := fmt.Sprintf("%s-%d-%d", c.Address.Addr(), random.Uint64(), n)
		s.checker.requestSent(request, &route)
		outcome, from := flow.Do(request, requestTimeout)
		s.checker.requestEnded(flow, request, outcome, from)
		if outcome != caller.OutcomeAnswered || !route.Idempotent || random.IntN(20) == 0 {
			flow.Close()
			flow = nil
		}
	}
}
