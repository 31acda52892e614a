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
	// drainBound and configurationBound are those of the settings that the site writes; margin is for the machine's own
	// delays.
	drainBound         = 3 * time.Second
	configurationBound = 3 * time.Second
	margin             = 500 * time.Millisecond
	maxViolations      = 20
)

// checks holds what must be true and what was seen.
type checks struct {
	holder func(k *caller.Flow) *backend.Server

	mu         sync.Mutex
	quiet      bool
	idempotent map[string]bool // by request
	runs       map[string]int
	total      int
	outcomes   map[caller.Outcome]int
	late       map[caller.Outcome]int
	violations []string

	disturbed map[netip.Addr]time.Time     // end of the last disturbance of an entry VM
	servers   map[string]time.Time         // end of the last disturbance of a server
	store     time.Time                    // end of the last disturbance of the store
	leaving   map[string]time.Time         // when a server was published as leaving
	removed   map[netip.AddrPort]time.Time // when a route was removed
	allowed   map[netip.AddrPort]string    // service of every route that ever was
}

func newChecks() *checks {
	return &checks{
		idempotent: map[string]bool{}, runs: map[string]int{}, outcomes: map[caller.Outcome]int{},
		late: map[caller.Outcome]int{}, disturbed: map[netip.Addr]time.Time{}, servers: map[string]time.Time{},
		leaving: map[string]time.Time{}, removed: map[netip.AddrPort]time.Time{}, allowed: map[netip.AddrPort]string{},
	}
}

func (c *checks) violate(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// calm reports whether the entry VM and the store have been undisturbed for the settle time; c.mu is held.
func (c *checks) calm(entry netip.Addr) bool {
	return time.Since(c.disturbed[entry]) > settle && time.Since(c.store) > settle
}

func (c *checks) sent(request string, r *registry.Route) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idempotent[request] = r.Idempotent
}

func (c *checks) opened(o caller.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count("open-" + o)
}

func (c *checks) count(o caller.Outcome) {
	c.outcomes[o]++
	if c.quiet {
		c.late[o]++
	}
}

// ended takes the end of a request; from is the entry VM that reset its flow.
func (c *checks) ended(f *caller.Flow, request string, o caller.Outcome, from netip.Addr) {
	server := c.holder(f)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(o)
	switch {
	case o == caller.OutcomeMixed:
		c.violate("request %s got an answer that is not its own", request)
	case o == caller.OutcomeResetByEntry && server != nil && c.calm(from) && time.Since(c.servers[server.Name]) > settle:
		c.violate("entry VM %s reset the open flow %v of the live server %s", from, f.Key, server.Name)
	}
}

// arrived takes a SYN that an entry VM sent to a server.
func (c *checks) arrived(s *backend.Server, from netip.Addr, service netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.allowed[service] != s.Service {
		c.violate("server %s of %s got a flow of %v", s.Name, s.Service, service)
	}
	if !c.calm(from) {
		return
	}
	if at, ok := c.leaving[s.Name]; ok && time.Since(at) > drainBound+margin {
		c.violate("server %s got a flow from %s %v after it was published as leaving", s.Name, from, time.Since(at))
	}
	if at, ok := c.removed[service]; ok && time.Since(at) > configurationBound+margin {
		c.violate("server %s got a flow from %s %v after its route was removed", s.Name, from, time.Since(at))
	}
}

func (c *checks) ran(s *backend.Server, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total++
	if c.runs[request]++; c.runs[request] > 1 && !c.idempotent[request] {
		c.violate("request %s ran %d times, now at %s", request, c.runs[request], s.Name)
	}
	if _, ok := c.idempotent[request]; !ok {
		c.violate("request %q ran at %s, and no caller sent it", request, s.Name)
	}
}

// disturb notes a disturbance of an entry VM that lasts until the given time.
func (c *checks) disturb(entry netip.Addr, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.disturbed[entry]) {
		c.disturbed[entry] = until
	}
}

func (c *checks) disturbServer(name string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.servers[name]) {
		c.servers[name] = until
	}
}

func (c *checks) disturbStore(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.store) {
		c.store = until
	}
}

func (c *checks) publishLeaving(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving[name] = time.Now()
}

func (c *checks) publishRoute(r *registry.Route, removed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allowed[r.Address] = r.Targets[0].Service
	if removed {
		c.removed[r.Address] = time.Now()
	}
}

func (c *checks) report(seed uint64, faults map[string]int) *report {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := 0
	for _, n := range c.late {
		all += n
	}
	if answered := c.late[caller.OutcomeAnswered]; all == 0 || float64(answered) < quietShare*float64(all) {
		c.violate("%d of %d requests were answered in the quiet time", answered, all)
	}
	return &report{
		Seed: seed, Outcomes: c.outcomes, Quiet: c.late, Runs: c.total, Faults: faults, Violations: c.violations,
	}
}
