package entry_test

import (
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/standin/caller"
	"github.com/masticspar/masticspar/internal/standin/site"
)

const (
	controlLimit    = 4096            // bytes per second of one entry VM
	leaveBound      = 3 * time.Second // time after which a leaving host gets no new flow
	activationBound = 6 * time.Second // time within which all entry VMs must have accepted a document
	groupShort      = 0
	groupFeeds      = 1
	groupIdle       = 2
)

// load describes three groups of callers: short requests, feeds that last for length, and flows that are idle for most
// of it.
func load(length time.Duration) []site.CallerGroup {
	services := []string{"standdesk", "photointake"}
	return []site.CallerGroup{
		groupShort: {Services: services, Plan: caller.Plan{Rate: 5, Bytes: 3000}},
		groupFeeds: {Services: services, Plan: caller.Plan{
			Rate: 3, Total: 25, FeedShare: 1, FeedCount: int(length / time.Second), FeedInterval: time.Second,
		}},
		groupIdle: {Services: services, Plan: caller.Plan{
			Rate: 3, Total: 25, Bytes: 2000, Exchanges: 5, ExchangeInterval: length / 4,
		}},
	}
}

// start returns a site that has run for 12 s, so that all feeds and idle flows are open.
func start(seed uint64, length time.Duration) *site.Site {
	return run(site.QuokkaLane(seed), load(length))
}

// run returns a site with the callers that has run for 12 s.
func run(c site.Config, callers []site.CallerGroup) *site.Site {
	c.Tick = 50 * time.Millisecond // The race detector makes each tick expensive.
	c.Callers = callers
	s := site.New(c)
	s.Run(12 * time.Second)
	return s
}

// finish ends the load and checks the conditions that hold at the end of each run. expected reports whether a broken
// flow is counted separately instead of failing the test; nil means that none is.
func finish(t *testing.T, s *site.Site, expected func(site.BrokenFlow) bool) {
	t.Helper()
	for _, c := range s.Callers {
		if c.Plan.Total == 0 {
			c.Plan.Rate = 0
		}
	}
	for range 40 {
		open := 0
		for _, c := range s.Callers {
			open += c.Report().Open
		}
		if open == 0 {
			break
		}
		s.Run(5 * time.Second)
	}
	for i, c := range s.Callers {
		r := c.Report()
		t.Logf("group=%d opened=%d whole=%d refused=%d open=%d broken=%v retransmissions=%d", i, r.Opened, r.Whole, r.Refused,
			r.Open, r.Broken, r.Retransmissions)
		if r.Open > 0 || r.Refused*20 > r.Opened {
			t.Errorf("group %d: %d flows did not end and %d of %d were refused, want 0 and at most 5%%",
				i, r.Open, r.Refused, r.Opened)
		}
	}
	for _, b := range s.BrokenFlows {
		if expected == nil || !expected(b) {
			t.Errorf("broken flow: %+v", b)
		}
	}
	checkSafety(t, s)
	greatest := 0.0
	for _, v := range s.VMs {
		greatest = max(greatest, v.ControlRate())
		if rate := v.ControlRate(); rate > controlLimit {
			t.Errorf("%s sent %.0f bytes/s of messages, want at most %d: %v", v.Name, rate, controlLimit, v.MessageBytes)
		}
	}
	t.Logf("greatest control rate: %.0f bytes/s", greatest)
}

// checkSafety reports the violations of the safety rules.
func checkSafety(t testing.TB, s *site.Site) {
	t.Helper()
	for _, v := range s.Violations {
		t.Errorf("violation: %s", v)
	}
}

// publishLeaving publishes rules in which the hosts leave.
func publishLeaving(s *site.Site, hosts ...string) {
	s.Rules.Leaving = append(s.Rules.Leaving, hosts...)
	s.PublishRules()
}

// checkNoNewFlow checks that the hosts got no new flow later than leaveBound after the publication.
func checkNoNewFlow(t *testing.T, s *site.Site, published time.Duration, hosts ...string) {
	t.Helper()
	for _, name := range hosts {
		if last := s.Host(name).LastAccepted; last > published+leaveBound {
			t.Errorf("%s got a new flow %v after it was published as leaving, want none after 3 s", name, last-published)
		}
	}
}

// checkActive checks that the last published documents are active in each live process.
func checkActive(t *testing.T, s *site.Site) {
	t.Helper()
	for _, v := range s.VMs {
		if v.Dead {
			continue
		}
		if i, r := v.Engine.Version(fleet.Inventory), v.Engine.Version(fleet.Rules); i != s.Inventory.Version ||
			r != s.Rules.Version {
			t.Errorf("%s has active inventory %d and rules %d at %v, want %d and %d", v.Name, i, r, s.Now, s.Inventory.Version,
				s.Rules.Version)
		}
	}
}

// replaceVM drains a process and starts its successor with the same name and address.
func replaceVM(s *site.Site, name string) {
	old := s.VM(name)
	old.Drain()
	for !old.Dead {
		s.Run(100 * time.Millisecond)
	}
	s.Run(time.Second)
	s.StartVM(old.Entry)
}
