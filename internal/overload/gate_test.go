package overload

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/flowevent"
)

const work = 193 * time.Millisecond // of a request while all servers are 12 times as slow

// play runs 10 s of requests on a site and on an equal one whose gates are open.
func play(t *testing.T, urgents, others float64, prepare func() *site) (gated, open *site) {
	t.Helper()
	for _, s := range []**site{&open, &gated} {
		*s = prepare()
		(*s).open = s == &open
		(*s).ask(urgent, urgents, 10*time.Second)
		(*s).ask(feeds, others, 10*time.Second)
		(*s).run(15 * time.Second)
		t.Logf("open %v: worth %.3f, urgent %.3f, feeds %.3f in time, %d of 503, %d reset", (*s).open, (*s).worth(),
			(*s).inTime(urgent), (*s).inTime(feeds), (*s).busy, (*s).reset)
	}
	return gated, open
}

// Guards against gates that earn less than no gate, let the callers' attempts flood full servers or treat urgent requests
// worse, when 13% urgent requests and twice as many feeds as the servers can serve are asked for: with requests that
// cannot be refused, and with a wrong number of entry VMs, wrong estimates and a clock that stands still.
func TestOverload(t *testing.T) {
	for name, test := range map[string]struct {
		gates       int
		worth, busy float64 // least and largest ratio to the site without a gate
		prepare     func(s *site)
	}{
		"58 gates":                    {58, 1.8, 0.25, func(*site) {}},
		"124 gates":                   {124, 1.8, 0.25, func(*site) {}},
		"30% on open flows":           {124, 1.1, 0.25, func(s *site) { s.long = 0.3 }},
		"60% on open flows":           {124, 0.97, 0.25, func(s *site) { s.long = 0.6 }},
		"20% too many members":        {124, 1.8, 0.25, func(s *site) { s.members = 1.2 }},
		"20% too few members":         {124, 1.5, 0.25, func(s *site) { s.members = 0.8 }},
		"estimates 10 times too long": {124, 1.8, 0.25, func(s *site) { s.estimate = 10 }},
		"estimates 10 times short":    {124, 0.99, 1.01, func(s *site) { s.estimate = 0.1 }},
		"clock stands still":          {124, 0.99, 1.01, func(s *site) { s.frozen = true }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, open := play(t, 433, 2817, func() *site {
				s := newSite(test.gates, 120, work)
				test.prepare(s)
				return s
			})
			is.True(s.worth() >= test.worth*open.worth())
			is.True(float64(s.busy) <= test.busy*float64(open.busy))
			is.True(s.inTime(urgent) >= s.inTime(feeds))
		})
	}
}

// Guards against refusals that help nobody: servers can serve all that is asked for, but are so slow that many answers are
// late.
func TestSlowServersWithRoom(t *testing.T) {
	for _, test := range []struct {
		gates int
		work  time.Duration
	}{{12, 800 * time.Millisecond}, {124, 350 * time.Millisecond}} {
		rate := 0.6 * 2 * 120 / test.work.Seconds()
		s, open := play(t, 0.2*rate, 0.8*rate, func() *site { return newSite(test.gates, 120, test.work) })
		if s.worth() < 0.95*open.worth() {
			t.Errorf("%d gates, %v: worth %.3f instead of %.3f", test.gates, test.work, s.worth(), open.worth())
		}
	}
}

// Guards against gates that, together, alternate between refusing and admitting: the requests at a server, on average
// over all, must not vary by 2 or more, and the servers must not be idle.
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
		if high-low >= 2 || used < 0.7 {
			t.Errorf("%d gates: oscillation", gates)
		}
	}
}

// Guards against a gate that refuses without fresh answers, without an overload, for a server that has room or without a
// known number of entry VMs, that never admits, that counts less urgent requests for urgent ones, that does not open
// when answers become prompt, and whose refusals and retries are not counted.
func TestLimit(t *testing.T) {
	is := is.New(t)
	g := &Gate{Counters: counter.New(), Random: func() float64 { return 0 }}
	observe := func(now time.Duration, kind flowevent.Kind, n int) {
		for range n {
			g.Observe(now, "standdesk", flowevent.Event{Kind: kind})
		}
	}
	r := Request{
		Service: "standdesk", Priority: feeds, TargetLatency: target, Expected: 2 * target, Known: true, Overloaded: true,
		Slots: 2, Caller: netip.MustParseAddr("100.64.0.1"),
	}
	admits := func(now time.Duration, change func(r *Request)) bool {
		r := r
		change(&r)
		ok, reason := g.Admit(now, r)
		return ok && reason == "" || !ok && reason != ReasonOverload
	}
	unchanged := func(*Request) {}
	observe(0, flowevent.Requested, 60)
	is.True(admits(0, unchanged)) // No answers.
	observe(0, flowevent.Answered, 20)
	is.True(!admits(0, unchanged))
	is.True(!admits(time.Second, unchanged))
	is.True(admits(3*time.Second, unchanged)) // The answers are too old.
	is.True(admits(0, func(r *Request) { r.Overloaded = false }))
	is.True(admits(0, func(r *Request) { r.Expected = target / 3 }))
	is.True(admits(0, func(r *Request) { r.Slots = 0 }))
	is.True(admits(0, func(r *Request) { r.Urgent = true }))
	inFlight, limit := g.Limit(0, r)
	is.Equal(inFlight, 40.0)
	is.True(math.Abs(limit-20*aimShare*target.Seconds()) < 0.01)
	observe(0, flowevent.Answered, 40)
	is.True(admits(0, unchanged)) // Nothing is in flight.
	values := g.Counters.Values()
	is.Equal(values["refused-overload-priority-2"], int64(2))
	is.Equal(values["overload-retries-refused"], int64(1))
	is.Equal(values["overload-retries-admitted"], int64(1))
	for i := range 2 * maxRefusedCallers {
		g.addRefusal(netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)}))
	}
	is.Equal(len(g.refused), maxRefusedCallers)
	g.Tick(0)
	g.Tick(0)
	is.Equal(len(g.refused)+len(g.refusedBefore), 0)
	observe(0, flowevent.Requested, 5)
	g.Reset()
	is.True(admits(0, unchanged))
	g.Tick(2 * time.Minute)
	is.Equal(fmt.Sprint(g.services), "map[]")
}
