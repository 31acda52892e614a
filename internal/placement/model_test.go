package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/registry"
)

func lifetimes(zones ...string) []*registry.Lifetime {
	var list []*registry.Lifetime
	for i, z := range zones {
		list = append(list, &registry.Lifetime{
			Host: registry.Host{Name: fmt.Sprint("i-", i), AvailabilityZone: z, Slots: 2}, Token: uint32(i + 1),
		})
	}
	return list
}

const localZone = "wa-perth"

// simulatedServer is a backend server that processes one request per slot, in virtual time.
type simulatedServer struct {
	speed float64
	free  []time.Duration // when each slot becomes free
}

// serve returns when a request that arrives now and takes the given time at speed 1 is finished.
func (s *simulatedServer) serve(now, work time.Duration) time.Duration {
	first := 0
	for i, f := range s.free {
		if f < s.free[first] {
			first = i
		}
	}
	s.free[first] = max(now, s.free[first]) + time.Duration(float64(work)/s.speed)
	return s.free[first]
}

// simulate sends requests with Poisson arrivals to servers of the given speeds through several entry VMs that exchange
// no messages. It returns the share of requests that took longer than the deadline.
func simulate(hashOnly bool, speeds []float64, perSecond float64, entries int, seed uint64) float64 {
	const (
		work     = 32 * time.Millisecond
		duration = 30 * time.Second
		deadline = 150 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(seed, 1))
	var zones []string
	for range speeds {
		zones = append(zones, localZone)
	}
	hosts := lifetimes(zones...)
	models := make([]Model, entries)
	servers := make([]simulatedServer, len(speeds))
	for i := range servers {
		servers[i] = simulatedServer{speed: speeds[i], free: make([]time.Duration, 2)}
	}
	for i := range models {
		models[i] = Model{AvailabilityZone: localZone, HashOnly: hashOnly}
	}
	type response struct {
		at, elapsed time.Duration
		model       *Model
		token       uint32
	}
	var responses []response
	late, all := 0, 0
	for now := time.Duration(0); now < duration; {
		now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		kept := responses[:0]
		for _, a := range responses {
			if a.at <= now {
				a.model.Observe(a.at, flowevent.Event{Kind: flowevent.Answered, Host: a.token, Elapsed: a.elapsed})
			} else {
				kept = append(kept, a)
			}
		}
		responses = kept
		m := &models[random.IntN(entries)]
		h := m.Pick(now, hosts, Flow{Hash: random.Uint64(), TargetLatency: deadline}).Host
		m.Observe(now, flowevent.Event{Kind: flowevent.Opened, Host: h.Token})
		m.Observe(now, flowevent.Event{Kind: flowevent.Accepted, Host: h.Token})
		m.Observe(now, flowevent.Event{Kind: flowevent.Requested, Host: h.Token})
		done := servers[h.Token-1].serve(now, time.Duration(random.ExpFloat64()*float64(work)/2)+work/2)
		responses = append(responses, response{at: done, elapsed: done - now, model: m, token: h.Token})
		if all++; done-now > deadline {
			late++
		}
	}
	return float64(late) / float64(all)
}

// Guards against slow servers receiving as many requests as fast ones. The load is a burst of 220 requests per second
// in one availability zone, through three entry VMs to servers with speeds from 0.6 to 1.6.
func TestSlowServersGetFewerRequests(t *testing.T) {
	speeds := []float64{0.6, 1, 1.6, 0.6, 1}
	for seed := range uint64(5) {
		byHash, byCost := simulate(true, speeds, 220, 3, seed), simulate(false, speeds, 220, 3, seed)
		if byCost > byHash/3 {
			t.Errorf("seed %d: share of late requests %.4f, want at most a third of %.4f with HashOnly", seed, byCost, byHash)
		}
	}
}

// Guards against using servers in another availability zone while the local zone is idle, and against keeping flows in
// a local zone that is overloaded.
func TestFlowsLeaveLocalZoneOnlyWhenBusy(t *testing.T) {
	m := Model{AvailabilityZone: localZone}
	hosts := lifetimes(localZone, localZone, "wa-south")
	crossZone := func(now time.Duration) int {
		n := 0
		for i := range uint64(100) {
			h := m.Pick(now, hosts, Flow{Hash: i * 7919, TargetLatency: 150 * time.Millisecond}).Host
			if h.AvailabilityZone != localZone {
				n++
			}
		}
		return n
	}
	if n := crossZone(time.Second); n > 0 {
		t.Errorf("%d of 100 flows left the idle local zone, want 0", n)
	}
	for range 12 {
		m.Observe(time.Second, flowevent.Event{Kind: flowevent.Requested, Host: 1})
		m.Observe(time.Second, flowevent.Event{Kind: flowevent.Requested, Host: 2})
	}
	if n := crossZone(2 * time.Second); n < 100 {
		t.Errorf("%d of 100 flows left the busy local zone, want 100", n)
	}
}

// Guards against callers losing one attempt to each server of an unreachable availability zone, instead of one for the
// whole zone.
func TestUnreachableZoneIsAvoided(t *testing.T) {
	m := Model{AvailabilityZone: localZone}
	hosts := lifetimes(localZone, "wa-south", "wa-south", "wa-south", "wa-south")
	now := time.Second
	for range 20 { // The local zone is so busy that flows leave it.
		m.Observe(now, flowevent.Event{Kind: flowevent.Requested, Host: 1})
	}
	flows := map[uint32]int{}
	for i := range uint64(200) {
		now += 20 * time.Millisecond
		m.Observe(now, flowevent.Event{Kind: flowevent.Answered, Host: 1, Elapsed: 200 * time.Millisecond})
		m.Observe(now, flowevent.Event{Kind: flowevent.Requested, Host: 1})
		h := m.Pick(now, hosts, Flow{Hash: i * 7919, TargetLatency: 150 * time.Millisecond}).Host
		flows[h.Token]++
		if h.Token != 1 {
			m.Observe(now, flowevent.Event{Kind: flowevent.Opened, Host: h.Token})
			m.Observe(now+200*time.Millisecond,
				flowevent.Event{Kind: flowevent.Unanswered, Host: h.Token, Elapsed: 200 * time.Millisecond})
		}
	}
	lost := 0
	for token, n := range flows {
		if token != 1 {
			lost += n
		}
	}
	if lost > 12 { // Two flows until detection, then one trial flow in each of four seconds.
		t.Errorf("%d of 200 flows went to the unreachable zone, want at most 12; by token: %v", lost, flows)
	}
}

// Guards against a suspected server never receiving flows again, and against it receiving several trial flows at once.
func TestUnresponsiveServerGetsTrialFlow(t *testing.T) {
	m := Model{AvailabilityZone: localZone}
	hosts := lifetimes(localZone, localZone)
	now := time.Second
	m.Observe(now, flowevent.Event{Kind: flowevent.Opened, Host: 1})
	m.Observe(now, flowevent.Event{Kind: flowevent.Unanswered, Host: 1, Elapsed: 0})
	for range 20 {
		m.Observe(now, flowevent.Event{Kind: flowevent.Requested, Host: 2})
	}
	if h := m.Pick(now, hosts, Flow{}).Host; h.Token != 2 {
		t.Fatal("a server received a flow right after it failed to respond")
	}
	if h := m.Pick(now+2*time.Second, hosts, Flow{}).Host; h.Token != 1 {
		t.Fatal("the suspected server received no trial flow after 2 s")
	}
	if h := m.Pick(now+2*time.Second, hosts, Flow{}).Host; h.Token != 2 {
		t.Fatal("the suspected server received a second trial flow immediately")
	}
}

// connectDelay opens a flow through the entry VM of m and returns how long the caller waits for a server that responds.
// The caller retransmits its SYN after 200 and 600 ms while only unresponsive servers have received it; a return value
// of 1 s means that no server responded.
func connectDelay(
	m *Model, now time.Duration, hosts []*registry.Lifetime, unresponsive map[uint32]bool, hash uint64,
) time.Duration {
	var tried []uint32
	for _, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		h := m.Pick(now+after, hosts, Flow{Hash: hash, TargetLatency: 400 * time.Millisecond, Tried: tried}).Host
		m.Observe(now+after, flowevent.Event{Kind: flowevent.Opened, Host: h.Token})
		if !unresponsive[h.Token] {
			m.Observe(now+after+time.Millisecond,
				flowevent.Event{Kind: flowevent.Accepted, Host: h.Token, Elapsed: time.Millisecond})
			return after
		}
		tried = append(tried, h.Token)
		m.Observe(now+after+200*time.Millisecond, flowevent.Event{
			Kind: flowevent.Unanswered, Host: h.Token, Elapsed: 200 * time.Millisecond,
		})
	}
	return time.Second
}

// Guards against many callers being delayed by unresponsive servers, at an entry VM with many servers and few new
// flows. Six of 24 servers are unresponsive for 10 s, and each trial flow delays a caller by 200 ms.
func TestTrialFlowsAreLimited(t *testing.T) {
	const perSecond, unresponsiveFor = 8, 10
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 2))
		hosts := lifetimes(slices.Repeat([]string{localZone}, 24)...)
		m := Model{AvailabilityZone: localZone}
		unresponsive := map[uint32]bool{1: true, 2: true, 3: true, 4: true, 5: true, 6: true}
		// The others are busy, so that the unresponsive ones have the lowest cost.
		for _, h := range hosts[len(unresponsive):] {
			m.Observe(time.Second, flowevent.Event{Kind: flowevent.Requested, Host: h.Token})
		}
		late, twice := 0, 0
		for i := range perSecond * unresponsiveFor {
			switch d := connectDelay(
				&m, time.Second+time.Duration(i)*time.Second/perSecond, hosts, unresponsive, random.Uint64()); {
			case d > 200*time.Millisecond:
				twice++
			case d > 0:
				late++
			}
		}
		// Each server delays one flow until it is suspected, and then trial flows after 1, 3 and 7 s.
		if bound := 4 * len(unresponsive); late+twice > bound {
			t.Errorf("seed %d: %d flows waited for unresponsive servers, want at most %d", seed, late+twice, bound)
		}
		// A retransmitted SYN can only reach an unresponsive server that is not suspected yet.
		if twice > len(unresponsive)/2 {
			t.Errorf("seed %d: %d flows waited for two unresponsive servers, want at most 3", seed, twice)
		}
	}
}

// Guards against a server receiving no flows because of earlier failures, after it was listed again.
func TestRelistedServerGetsFlows(t *testing.T) {
	m := Model{AvailabilityZone: localZone}
	hosts := lifetimes(localZone, localZone)
	now := time.Second
	m.Observe(now, flowevent.Event{Kind: flowevent.Unanswered, Host: 1, Elapsed: 0})
	for range 20 {
		m.Observe(now, flowevent.Event{Kind: flowevent.Requested, Host: 2})
	}
	if h := m.Pick(now, hosts, Flow{}).Host; h.Token != 2 {
		t.Fatal("a server received a flow right after it failed to respond")
	}
	m.ClearSuspicion(now, 1)
	if h := m.Pick(now, hosts, Flow{}).Host; h.Token != 1 {
		t.Fatal("the server received no flow after it was listed again")
	}
}
