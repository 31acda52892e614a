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

// simulatedServer is a backend server with slots in virtual time.
type simulatedServer struct {
	speed float64
	free  []time.Duration // when each slot ends its work
}

// serve returns when work that arrives now is done.
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

// simulate sends Poisson arrivals to servers of the given speeds through several entry VMs that do not talk to each other,
// and returns the share of requests that took longer than the goal.
func simulate(hash bool, speeds []float64, perSecond float64, entries int, seed uint64) float64 {
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
	stations := make([]simulatedServer, len(speeds))
	for i := range stations {
		stations[i] = simulatedServer{speed: speeds[i], free: make([]time.Duration, 2)}
	}
	for i := range models {
		models[i] = Model{AvailabilityZone: localZone, HashOnly: hash}
	}
	type answer struct {
		at, elapsed time.Duration
		model       *Model
		token       uint32
	}
	var answers []answer
	late, all := 0, 0
	for now := time.Duration(0); now < duration; {
		now += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		kept := answers[:0]
		for _, a := range answers {
			if a.at <= now {
				a.model.Observe(a.at, flowevent.Event{Kind: flowevent.Answered, Host: a.token, Elapsed: a.elapsed})
			} else {
				kept = append(kept, a)
			}
		}
		answers = kept
		m := &models[random.IntN(entries)]
		h, _ := m.Pick(now, hosts, Flow{Hash: random.Uint64(), TargetLatency: deadline})
		m.Observe(now, flowevent.Event{Kind: flowevent.Opened, Host: h.Token})
		m.Observe(now, flowevent.Event{Kind: flowevent.Accepted, Host: h.Token})
		m.Observe(now, flowevent.Event{Kind: flowevent.Requested, Host: h.Token})
		done := stations[h.Token-1].serve(now, time.Duration(random.ExpFloat64()*float64(work)/2)+work/2)
		answers = append(answers, answer{at: done, elapsed: done - now, model: m, token: h.Token})
		if all++; done-now > deadline {
			late++
		}
	}
	return float64(late) / float64(all)
}

// Guards against servers of different speeds that all get the same work. The load is that of a burst in one availability
// zone with its servers at speeds 0.6 to 1.6, seen by three entry VMs.
func TestSlowServersGetFewerRequests(t *testing.T) {
	speeds := []float64{0.6, 1, 1.6, 0.6, 1}
	for seed := range uint64(5) {
		hash, own := simulate(true, speeds, 220, 3, seed), simulate(false, speeds, 220, 3, seed)
		if own > hash/3 {
			t.Errorf("seed %d: %.4f of the requests late, %.4f by hash", seed, own, hash)
		}
	}
}

// Guards against servers in another availability zone that are used while the own zone has room, and against a full zone
// that keeps its flows.
func TestFlowsLeaveLocalZoneOnlyWhenBusy(t *testing.T) {
	m := Model{AvailabilityZone: localZone}
	hosts := lifetimes(localZone, localZone, "wa-south")
	away := func(now time.Duration) int {
		n := 0
		for i := range uint64(100) {
			h, _ := m.Pick(now, hosts, Flow{Hash: i * 7919, TargetLatency: 150 * time.Millisecond})
			if h.AvailabilityZone != localZone {
				n++
			}
		}
		return n
	}
	if n := away(time.Second); n > 0 {
		t.Errorf("%d of 100 flows left an idle zone", n)
	}
	for range 12 {
		m.Observe(time.Second, flowevent.Event{Kind: flowevent.Requested, Host: 1})
		m.Observe(time.Second, flowevent.Event{Kind: flowevent.Requested, Host: 2})
	}
	if n := away(2 * time.Second); n < 100 {
		t.Errorf("%d of 100 flows left a busy zone", n)
	}
}

// Guards against each server of an unreachable availability zone that costs a caller a try of its own.
func TestUnreachableZoneIsAvoided(t *testing.T) {
	m := Model{AvailabilityZone: localZone}
	hosts := lifetimes(localZone, "wa-south", "wa-south", "wa-south", "wa-south")
	now := time.Second
	for range 20 { // The own zone is so busy that flows leave it.
		m.Observe(now, flowevent.Event{Kind: flowevent.Requested, Host: 1})
	}
	tries := map[uint32]int{}
	for i := range uint64(200) {
		now += 20 * time.Millisecond
		m.Observe(now, flowevent.Event{Kind: flowevent.Answered, Host: 1, Elapsed: 200 * time.Millisecond})
		m.Observe(now, flowevent.Event{Kind: flowevent.Requested, Host: 1})
		h, _ := m.Pick(now, hosts, Flow{Hash: i * 7919, TargetLatency: 150 * time.Millisecond})
		tries[h.Token]++
		if h.Token != 1 {
			m.Observe(now, flowevent.Event{Kind: flowevent.Opened, Host: h.Token})
			m.Observe(now+200*time.Millisecond, flowevent.Event{Kind: flowevent.Unanswered, Host: h.Token, Elapsed: 200 * time.Millisecond})
		}
	}
	lost := 0
	for token, n := range tries {
		if token != 1 {
			lost += n
		}
	}
	if lost > 12 { // Two to notice, and one each second of four.
		t.Errorf("%d of 200 flows went to a zone that does not answer: %v", lost, tries)
	}
}

// Guards against a server that is never tried again after it was silent.
func TestUnresponsiveServerGetsTrialFlow(t *testing.T) {
	m := Model{AvailabilityZone: localZone}
	hosts := lifetimes(localZone, localZone)
	now := time.Second
	m.Observe(now, flowevent.Event{Kind: flowevent.Opened, Host: 1})
	m.Observe(now, flowevent.Event{Kind: flowevent.Unanswered, Host: 1, Elapsed: 0})
	for range 20 {
		m.Observe(now, flowevent.Event{Kind: flowevent.Requested, Host: 2})
	}
	if h, _ := m.Pick(now, hosts, Flow{}); h.Token != 2 {
		t.Fatal("a server that was silent just now got a flow")
	}
	if h, _ := m.Pick(now+2*time.Second, hosts, Flow{}); h.Token != 1 {
		t.Fatal("the silent server got no trial flow")
	}
	if h, _ := m.Pick(now+2*time.Second, hosts, Flow{}); h.Token != 2 {
		t.Fatal("the silent server got a second trial flow at once")
	}
}

// connectDelay has entry VM m open a flow, whose SYN is sent again after 200 and 600 ms while only the silent servers get it, and
// returns how long the caller waits for a server that answers.
func connectDelay(m *Model, now time.Duration, hosts []*registry.Lifetime, silent map[uint32]bool, hash uint64) time.Duration {
	var tried []uint32
	for _, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		h, _ := m.Pick(now+after, hosts, Flow{Hash: hash, TargetLatency: 400 * time.Millisecond, Tried: tried})
		m.Observe(now+after, flowevent.Event{Kind: flowevent.Opened, Host: h.Token})
		if !silent[h.Token] {
			m.Observe(now+after+time.Millisecond, flowevent.Event{Kind: flowevent.Accepted, Host: h.Token, Elapsed: time.Millisecond})
			return after
		}
		tried = append(tried, h.Token)
		m.Observe(now+after+200*time.Millisecond, flowevent.Event{
			Kind: flowevent.Unanswered, Host: h.Token, Elapsed: 200 * time.Millisecond,
		})
	}
	return time.Second
}

// Guards against callers that pay for servers that have gone dark, at an entry VM of a large fleet with few new flows of its
// own: six of its 24 servers are silent for 10 s, and each trial costs a caller 200 ms.
func TestTrialFlowsAreLimited(t *testing.T) {
	const perSecond, silentFor = 8, 10
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 2))
		hosts := lifetimes(slices.Repeat([]string{localZone}, 24)...)
		m := Model{AvailabilityZone: localZone}
		silent := map[uint32]bool{1: true, 2: true, 3: true, 4: true, 5: true, 6: true}
		for _, h := range hosts[len(silent):] { // The others are at work, so that the silent ones look best.
			m.Observe(time.Second, flowevent.Event{Kind: flowevent.Requested, Host: h.Token})
		}
		late, twice := 0, 0
		for i := range perSecond * silentFor {
			switch d := connectDelay(&m, time.Second+time.Duration(i)*time.Second/perSecond, hosts, silent, random.Uint64()); {
			case d > 200*time.Millisecond:
				twice++
			case d > 0:
				late++
			}
		}
		// A server is noticed once and tried after 1, 3 and 7 s.
		if bound := 4 * len(silent); late+twice > bound {
			t.Errorf("seed %d: %d flows waited for silent servers, want %d at most", seed, late+twice, bound)
		}
		if twice > len(silent)/2 { // The copy of a SYN can only find a silent server that nobody has tried yet.
			t.Errorf("seed %d: %d flows waited for two silent servers", seed, twice)
		}
	}
}

// Guards against a server that rests although it has been listed again after an outage.
func TestRelistedServerGetsFlows(t *testing.T) {
	m := Model{AvailabilityZone: localZone}
	hosts := lifetimes(localZone, localZone)
	now := time.Second
	m.Observe(now, flowevent.Event{Kind: flowevent.Unanswered, Host: 1, Elapsed: 0})
	for range 20 {
		m.Observe(now, flowevent.Event{Kind: flowevent.Requested, Host: 2})
	}
	if h, _ := m.Pick(now, hosts, Flow{}); h.Token != 2 {
		t.Fatal("a server that was silent just now got a flow")
	}
	m.ClearSuspicion(now, 1)
	if h, _ := m.Pick(now, hosts, Flow{}); h.Token != 1 {
		t.Fatal("the server that was listed again got no flow")
	}
}
