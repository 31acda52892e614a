package overload

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/counter"
)

const work = 193 * time.Millisecond // of a request while all servers are 12 times as slow

// play runs an overload of 10 s on the site and on an equal one whose gates are open.
func play(t *testing.T, prepare func() *site) (gated, open *site) {
	t.Helper()
	for _, s := range []**site{&open, &gated} {
		*s = prepare()
		(*s).open = s == &open
		(*s).overload(10 * time.Second)
		(*s).run(15 * time.Second)
		t.Logf("open %v: worth %.3f, urgent %.3f, feeds %.3f in time, %d of 503, %d reset", (*s).open, (*s).worth(),
			(*s).inTime(urgent), (*s).inTime(feeds), (*s).busy, (*s).reset)
	}
	return gated, open
}

// Guards against gates that earn less than no gate, let callers' attempts flood full servers, or treat urgent requests
// worse, at any number of gates and with requests that cannot be refused.
func TestOverload(t *testing.T) {
	for _, test := range []struct {
		gates       int
		long        float64
		worth, busy float64 // least and largest ratio to the site without a gate
	}{{58, 0, 1.8, 0.1}, {124, 0, 1.8, 0.1}, {58, 0.3, 1.1, 0.1}, {124, 0.3, 1.1, 0.1}, {124, 0.6, 0.99, 0.25}} {
		t.Run(fmt.Sprint(test.gates, " gates, ", test.long), func(t *testing.T) {
			is := is.New(t)
			s, open := play(t, func() *site {
				s := newSite(test.gates, 120, work)
				s.long = test.long
				return s
			})
			is.True(s.worth() >= test.worth*open.worth())
			is.True(float64(s.busy) <= test.busy*float64(open.busy))
			is.True(s.inTime(urgent) >= s.inTime(feeds))
		})
	}
}

// Guards against gates that make things worse than no gate when what they know is wrong, missing or frozen.
func TestWrongKnowledge(t *testing.T) {
	for name, prepare := range map[string]func(s *site){
		"10 times too long":  func(s *site) { s.setError(10) },
		"10 times too short": func(s *site) { s.setError(0.1) },
		"unknown":            func(s *site) { s.unknown = true },
		"clock stands still": func(s *site) { s.frozen = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, open := play(t, func() *site {
				s := newSite(124, 120, work)
				prepare(s)
				return s
			})
			is.True(s.worth() >= 0.99*open.worth())
			is.True(!s.unknown || s.reset == 0)
		})
	}
}

func (s *site) setError(factor float64) {
	for _, v := range s.servers {
		v.reportedError = factor
	}
}

// Guards against refusals that help nobody: servers have 1.4 times the capacity that is asked for, but are so slow that
// all or a third of the answers are late.
func TestAllServersSlow(t *testing.T) {
	for _, test := range []struct {
		gates int
		work  time.Duration
	}{{12, 800 * time.Millisecond}, {124, 350 * time.Millisecond}} {
		var worth [2]float64
		for i := range worth {
			s := newSite(test.gates, 120, test.work)
			s.open = i == 0
			rate := 0.7 * 2 * 120 / test.work.Seconds()
			s.ask(urgent, 0.2*rate, 20*time.Second)
			s.ask(feeds, 0.8*rate, 20*time.Second)
			s.run(25 * time.Second)
			t.Logf("%v, open %v: worth %.3f, %d of 503, %d reset", test.work, s.open, s.worth(), s.busy, s.reset)
			worth[i] = s.worth()
		}
		if worth[1] < 0.9*worth[0] {
			t.Errorf("%v: worth %.3f instead of %.3f", test.work, worth[1], worth[0])
		}
	}
}

// Guards against refusing a SYN for a server that has room because the others are slow.
func TestFastServerTakesFlows(t *testing.T) {
	is := is.New(t)
	g := lateGate()
	r := Request{Priority: feeds, TargetLatency: target, Expected: target / 4, Known: true, Overloaded: true}
	is.Equal(g.Probability(time.Second, r), 0.0)
	r.Expected = 2 * target
	is.True(g.Probability(time.Second, r) > 0.9)
	is.True(g.Probability(time.Second, r) <= maxRefusal)
}

// lateGate returns a gate that refuses nearly all feeds at 1 s; urgent requests are asked for as well.
func lateGate() *Gate {
	g := &Gate{Counters: counter.New(), Random: func() float64 { return 0.5 }}
	for i := range 100 {
		g.Admit(time.Second, Request{Priority: urgent})
		elapsed := 2 * target
		if i%4 == 0 {
			elapsed = target // in time
		}
		g.Observe(time.Second, feeds, elapsed, target)
	}
	return g
}

// Guards against gates that stay closed after the overload, although placement goes on reporting it and its estimates
// no longer change: with prompt answers, without answers, and with a clock that stands still.
func TestGateOpensAfterOverload(t *testing.T) {
	r := Request{Priority: feeds, TargetLatency: target, Expected: 10 * target, Known: true, Overloaded: true}
	for name, test := range map[string]struct{ answers, limit, clock time.Duration }{
		"prompt answers":     {100 * time.Millisecond, 2 * time.Second, 1},
		"no answers":         {time.Hour, 4 * time.Second, 1},
		"clock stands still": {100 * time.Millisecond, 8 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g, d := lateGate(), time.Duration(0)
			for ; g.Probability(time.Second+d*test.clock, r) > 0; d += 100 * time.Millisecond {
				if d > test.limit {
					t.Fatalf("still refusing after %v", d)
				}
				if d%test.answers == 0 && d > 0 {
					g.Observe(time.Second+d*test.clock, feeds, 20*time.Millisecond, target)
				}
			}
			t.Logf("open after %v", d)
		})
	}
}

// Guards against gates that, together, alternate between refusing and admitting, as they do with a threshold: from the
// third second of the overload on, the requests at a server, on average over all, must not vary by 2 or more (with a
// threshold, by more than 3), and the servers must not be idle.
func TestGatesDoNotOscillate(t *testing.T) {
	for _, gates := range []int{58, 124} {
		s := newSite(gates, 120, work)
		s.ask(urgent, 433, 12*time.Second)
		s.ask(feeds, 2817, 12*time.Second)
		s.run(3 * time.Second)
		low, high, used := 10.0, 0.0, 1.0
		for s.now < 12*time.Second {
			s.run(s.now + 100*time.Millisecond)
			running, waiting := 0.0, 0.0
			for _, v := range s.servers {
				running += float64(v.running) / 120
				waiting += float64(len(v.queue)) / 120
			}
			low, high, used = min(low, running+waiting), max(high, running+waiting), min(used, running/2)
		}
		t.Logf("%d gates: %.2f to %.2f requests at a server, at least %.3f of the slots used", gates, low, high, used)
		if high-low >= 2 || used < 0.85 {
			t.Errorf("%d gates: oscillation", gates)
		}
	}
}

// Guards against refusing a caller in all attempts within milliseconds as often as independent decisions would, against
// a memory of callers without bound, and against retries that are not counted.
func TestRefusedCallersArePreferred(t *testing.T) {
	is := is.New(t)
	s := newSite(1, 0, 0)
	g := lateGate()
	g.Random = s.random.Float64
	r := Request{Priority: feeds, TargetLatency: target, Expected: target * 65 / 100, Known: true, Overloaded: true}
	const callers = 3000
	failed, first := 0, 0
	for i := range callers {
		r.Caller = netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)})
		n := 0
		for ok := false; !ok && n < maxAttempts; n++ {
			ok, _ = g.Admit(time.Second, r)
			if !ok && n == 0 {
				first++
			}
			if !ok && n == maxAttempts-1 {
				failed++
			}
		}
	}
	values := g.Counters.Values()
	t.Logf("%d of %d fail, %v", failed, callers, values)
	is.True(failed > 0 && failed < callers*35/100) // Half of them would fail if the gate did not know them.
	admitted, refused := values["overload-retries-admitted"], values["overload-retries-refused"]
	is.True(float64(refused)/float64(admitted+refused) < 0.8*float64(first)/callers)
	is.Equal(values["refused-overload-priority-2"], int64(first)+refused)
	g.Tick(time.Second)
	g.Tick(time.Second)
	is.Equal(len(g.refused)+len(g.refusedBefore), 0)
	r.Expected = 9 * target
	g.Random = func() float64 { return 0 }
	for i := range 3 * maxRefusedCallers {
		r.Caller = netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)})
		g.Admit(time.Second, r)
	}
	is.Equal(len(g.refused), maxRefusedCallers)
}
