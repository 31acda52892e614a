package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/platform/standin/backend"
	"github.com/masticspar/masticspar/platform/standin/caller"
)

const (
	// drainBound and configurationBound are the defaults of the settings, which the daemons use. evacuationBound is that
	// of the platform. margin is added to all of them for scheduling delays of the machine.
	drainBound         = 3 * time.Second
	configurationBound = 3 * time.Second
	evacuationBound    = 5 * time.Second
	margin             = 500 * time.Millisecond
	maxViolations      = 20 // in the report
)

// checker compares what callers and backend servers observe with the guarantees of the load balancer, and records
// violations. Wrong responses, repeated executions and flows at a server of another service are always violations. The
// other checks are skipped until settleTime after the last disturbance of the entry VM, the server or the store
// involved.
type checker struct {
	holder func(k *caller.Flow) *backend.Server // returns the live server of a flow, or nil
	// servable reports whether a service has servers that take new flows in spite of evacuations.
	servable func(service string) bool

	mu            sync.Mutex
	quiet         bool            // set in the last settleTime of the run, to fill quietOutcomes
	idempotent    map[string]bool // by request
	runs          map[string]int  // executions by request
	total         int             // executions of all requests
	outcomes      map[caller.Outcome]int
	quietOutcomes map[caller.Outcome]int
	violations    []string

	entryDisturbedUntil  map[netip.Addr]time.Time     // end of the last disturbance of an entry VM
	serverDisturbedUntil map[string]time.Time         // end of the last disturbance of a server
	storeDisturbedUntil  time.Time                    // end of the last disturbance of the store
	leavingSince         map[string]time.Time         // when a server was published as leaving
	routeAddedAt         map[netip.AddrPort]time.Time // when a route was added
	routeRemovedAt       map[netip.AddrPort]time.Time // when a route was removed
	routeServices        map[netip.AddrPort]string    // service of each route that was ever published
	evacuatedSince       map[string]time.Time         // when a zone that is evacuated was published as such
	quietFlows           map[string]int               // flows that reached the servers of a zone in the last settleTime
}

func newChecker() *checker {
	return &checker{
		idempotent: map[string]bool{}, runs: map[string]int{}, outcomes: map[caller.Outcome]int{},
		quietOutcomes: map[caller.Outcome]int{}, entryDisturbedUntil: map[netip.Addr]time.Time{},
		serverDisturbedUntil: map[string]time.Time{}, leavingSince: map[string]time.Time{},
		routeAddedAt: map[netip.AddrPort]time.Time{}, routeRemovedAt: map[netip.AddrPort]time.Time{},
		routeServices: map[netip.AddrPort]string{}, evacuatedSince: map[string]time.Time{}, quietFlows: map[string]int{},
	}
}

// addViolation records a violation. c.mu must be locked.
func (c *checker) addViolation(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// undisturbed reports whether the last disturbance of the entry VM and of the store ended more than settleTime ago.
// c.mu must be locked.
func (c *checker) undisturbed(entry netip.Addr) bool {
	return time.Since(c.entryDisturbedUntil[entry]) > settleTime && time.Since(c.storeDisturbedUntil) > settleTime
}

// requestSent records a request before a caller sends it.
func (c *checker) requestSent(request string, r *registry.Route) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idempotent[request] = r.Idempotent
}

// openFailed records and checks the outcome of a flow that could not be opened; from is the entry VM that reset it.
func (c *checker) openFailed(o caller.Outcome, service netip.AddrPort, from netip.Addr) {
	c.mu.Lock()
	name := c.routeServices[service]
	c.mu.Unlock()
	servable := c.servable(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count("open-" + o)
	_, removed := c.routeRemovedAt[service]
	if removed || o != caller.OutcomeResetByEntry || !c.undisturbed(from) || !servable {
		return
	}
	if age := time.Since(c.routeAddedAt[service]); age > configurationBound+margin {
		c.addViolation("entry VM %s refused a flow of %v, %v after its route was added", from, service, age)
	}
}

// count counts an outcome. c.mu must be locked.
func (c *checker) count(o caller.Outcome) {
	c.outcomes[o]++
	if c.quiet {
		c.quietOutcomes[o]++
	}
}

// requestEnded records and checks the outcome of a request; from is the entry VM that reset its flow.
func (c *checker) requestEnded(f *caller.Flow, request string, o caller.Outcome, from netip.Addr) {
	server := c.holder(f)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(o)
	switch {
	case o == caller.OutcomeMixed:
		c.addViolation("request %s got an answer that is not its own", request)
	case o == caller.OutcomeResetByEntry && server != nil && c.undisturbed(from) &&
		time.Since(c.serverDisturbedUntil[server.Name]) > settleTime:
		c.addViolation("entry VM %s reset the open flow %v of the live server %s", from, f.Key, server.Name)
	}
}

// flowArrived checks a SYN that an entry VM sent to a server.
func (c *checker) flowArrived(s *backend.Server, from netip.Addr, service netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.routeServices[service] != s.Service {
		c.addViolation("server %s of %s got a flow of %v", s.Name, s.Service, service)
	}
	if c.quiet {
		c.quietFlows[s.AvailabilityZone]++
	}
	if !c.undisturbed(from) {
		return
	}
	if at, ok := c.leavingSince[s.Name]; ok && time.Since(at) > drainBound+margin {
		c.addViolation("server %s got a flow from %s %v after it was published as leaving",
			s.Name, from, time.Since(at))
	}
	if at, ok := c.evacuatedSince[s.AvailabilityZone]; ok && time.Since(at) > evacuationBound+margin {
		c.addViolation("server %s got a flow from %s %v after its zone %s was evacuated",
			s.Name, from, time.Since(at), s.AvailabilityZone)
	}
	if at, ok := c.routeRemovedAt[service]; ok && time.Since(at) > configurationBound+margin {
		c.addViolation("server %s got a flow from %s %v after its route was removed", s.Name, from, time.Since(at))
	}
}

// requestExecuted records and checks the execution of a request on a server.
func (c *checker) requestExecuted(s *backend.Server, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	if c.runs[request]++; c.runs[request] > 1 && !c.idempotent[request] {
		c.addViolation("request %s ran %d times, now at %s", request, c.runs[request], s.Name)
	}
	if _, ok := c.idempotent[request]; !ok {
		c.addViolation("request %q ran at %s, and no caller sent it", request, s.Name)
	}
}

// disturbEntry records a disturbance of an entry VM that lasts until the given time.
func (c *checker) disturbEntry(entry netip.Addr, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.entryDisturbedUntil[entry]) {
		c.entryDisturbedUntil[entry] = until
	}
}

func (c *checker) disturbServer(name string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.serverDisturbedUntil[name]) {
		c.serverDisturbedUntil[name] = until
	}
}

func (c *checker) disturbStore(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.storeDisturbedUntil) {
		c.storeDisturbedUntil = until
	}
}

func (c *checker) publishLeaving(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leavingSince[name] = time.Now()
}

func (c *checker) publishEvacuation(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuatedSince[zone] = time.Now()
}

func (c *checker) endEvacuation(zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuatedSince, zone)
}

// checkReturned checks that zones that were taken back get flows again.
func (c *checker) checkReturned(zones []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, zone := range zones {
		if c.quietFlows[zone] == 0 {
			c.addViolation("the servers of %s got no flow in the quiet time, after the zone was taken back", zone)
		}
	}
}

func (c *checker) publishRoute(r *registry.Route, removed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routeServices[r.Address] = r.Targets[0].Service
	if removed {
		c.routeRemovedAt[r.Address] = time.Now()
	} else {
		c.routeAddedAt[r.Address] = time.Now()
	}
}

// report checks the share of answered requests in the last settleTime and returns the report of the run.
func (c *checker) report(seed uint64, faults map[string]int) *report {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := 0
	for _, n := range c.quietOutcomes {
		all += n
	}
	if answered := c.quietOutcomes[caller.OutcomeAnswered]; all == 0 || float64(answered) < minAnsweredShare*float64(all) {
		c.addViolation("%d of %d requests were answered in the quiet time", answered, all)
	}
	return &report{
		Seed: seed, Outcomes: c.outcomes, Quiet: c.quietOutcomes, Runs: c.total, Faults: faults, Violations: c.violations,
	}
}
