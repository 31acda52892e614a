package capacity

import (
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
)

// ratio returns the share of work of a host divided by its share of the true capacity.
func (b *bench) ratio(i int) float64 {
	work := 0
	for _, s := range b.servers {
		work += s.served
	}
	return float64(b.servers[i].served) / float64(work) / (b.capacity(i) / b.total())
}

// Guards against a host that loses its work because some of its connections stopped responding with a request
// outstanding, although it responds on all others.
func TestLostRequestsDoNotStarveHost(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1, 5, 20} {
		b := newBench(policyLearned, 1, 14, nil)
		b.run(benchWarmUp)
		for _, m := range b.vms {
			for range n {
				m.Observe(b.Now(), flowevent.Event{Kind: flowevent.Opened, Service: 1, Host: 10})
				m.Observe(b.Now(), flowevent.Event{Kind: flowevent.Requested, Service: 1, Host: 10})
			}
		}
		var ratios []float64
		for range 5 {
			b.run(15)
			ratios = append(ratios, b.ratio(9))
		}
		t.Logf("%d lost requests on each VM: share of work in windows of 15 s %.2f", n, ratios)
		if ratios[4] < 0.85 {
			t.Errorf("%d lost requests on each VM: share of work is still %.2f after a minute, want at least 0.85", n, ratios[4])
		}
	}
}

// Guards against healthy hosts that count as stalled because requests take seconds, and against an unresponsive host
// that is not detected among them.
func TestSlowHostsAreNotBad(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{2, 4} {
		b := newBench(policyLearned, 1, hosts, nil)
		b.serviceTime, b.service.MaxWait = 6*time.Second, time.Hour
		b.run(300)
		bad, total := 0, 0
		b.onSecond = func(int) {
			for _, h := range b.vms[0].hosts {
				total++
				if h.bad {
					bad++
				}
			}
		}
		b.run(3600)
		high, low := b.imbalance()
		t.Logf("%d hosts: imbalance %.3f (least ratio %.3f), bad for %.4f of the time",
			hosts, high, low, float64(bad)/float64(total))
		if bad*200 > total || high > 1.15 {
			t.Errorf("%d hosts: bad for %d of %d s and imbalance %.3f, want at most 0.5%% and 1.15", hosts, bad, total, high)
		}
		b.servers[0].unresponsive = true
		b.run(60)
		b.run(60)
		if flows := b.servers[0].flows; flows > 3 {
			t.Errorf("%d hosts: %d flows to the unresponsive host in the second minute, want at most 3 trial flows",
				hosts, flows)
		}
	}
}

// Guards against members that use the last reports of others after these have expired. Three VMs are cut off from the
// rest for a minute and come back.
func TestPartitionKeepsBalance(t *testing.T) {
	t.Parallel()
	b := newBench(policyLearned, 1, 14, nil)
	b.run(benchWarmUp)
	b.offline = map[int]bool{0: true, 4: true, 7: true}
	b.run(10)
	for _, phase := range []string{"partition", "healed"} {
		b.run(60)
		high, low := b.imbalance()
		t.Logf("%s: imbalance %.3f (least ratio %.3f), first response p99 %v", phase, high, low, b.quantile(0.99))
		if high > 1.15 || b.quantile(0.99) > 500*time.Millisecond {
			t.Errorf("%s: imbalance %.3f and p99 %v, want at most 1.15 and 500ms", phase, high, b.quantile(0.99))
		}
		b.offline = nil
	}
}

// Guards against sums that span a pause of the process, which make a host that responds normally look stalled or slow.
func TestPauseDiscardsSums(t *testing.T) {
	b := newBench(policyLearned, 1, 14, nil)
	b.run(benchWarmUp)
	m := b.vms[0]
	for range 5 {
		m.Observe(b.Now(), flowevent.Event{Kind: flowevent.Requested, Service: 1, Host: 3})
	}
	before := m.hosts[3].capacity
	m.Tick(b.Now() + 200*time.Second)
	for _, h := range m.hosts {
		if h.bad {
			t.Errorf("host %d is bad after a pause, want healthy", h.config.ID)
		}
	}
	if after := m.hosts[3].capacity; after < 0.9*before {
		t.Errorf("capacity fell from %.1f to %.1f in a pause, want at least 90%% of it", before, after)
	}
}

// Guards against a host that refuses some of its flows and still gets its full share of the work, or whose work swings
// between none and all of its share.
func TestPartlyFailingHostGetsLess(t *testing.T) {
	t.Parallel()
	for _, refusedShare := range []float64{0.3, 0.6, 0.9} {
		b := newBench(policyLearned, 1, 14, nil)
		b.run(benchWarmUp)
		b.servers[13].refusedShare = refusedShare
		b.run(10)
		b.run(120)
		flows := 0
		for _, s := range b.servers {
			flows += s.flows
		}
		share := float64(b.servers[13].flows) / float64(flows) / (b.capacity(13) / b.total())
		t.Logf("%.0f%% of the flows refused: %.3f of its share of the flows", 100*refusedShare, share)
		if share > (1-refusedShare)*(1-refusedShare)+0.05 {
			t.Errorf("%.0f%% of the flows refused: %.3f of its share, want at most the square of its success ratio plus 0.05",
				100*refusedShare, share)
		}
	}
}

// Guards against health results that exclude a host without packet evidence, and against health results that have no
// effect together with such evidence.
func TestUnhealthyResultNeedsEvidence(t *testing.T) {
	for _, unhealthy := range []bool{false, true} {
		for _, failures := range []int{0, 4} {
			m := newBench(policyLearned, 1, 2, nil).vms[0]
			m.ObserveHealth(0, 1, !unhealthy)
			for i := range 10 {
				kind := flowevent.Answered
				if i%3 == 0 && i/3 < failures { // Four of ten, never two in a row.
					kind = flowevent.Refused
				}
				m.Observe(0, flowevent.Event{Kind: kind, Service: 1, Host: 1})
			}
			m.Tick(time.Second)
			if want := unhealthy && failures > 0; m.hosts[1].bad != want {
				t.Errorf("unhealthy %v and %d failures of 10: bad is %v, want %v", unhealthy, failures, m.hosts[1].bad, want)
			}
		}
	}
}
