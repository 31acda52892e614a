package overload

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/masticspar/masticspar/internal/standin/schedule"
)

const (
	target        = 400 * time.Millisecond
	urgent, feeds = 1, 2
)

// server runs two requests at once, queues eight and refuses others.
type server struct {
	work          time.Duration
	running       int
	queue         []func()
	reported      time.Duration // expected response time at the last load report
	reportedError float64
}

type result struct{ asked, inTime, late int }

// site is a set of gates that share servers, in virtual time. Callers make up to three attempts at random gates.
type site struct {
	schedule.Queue
	random      *rand.Rand
	now         time.Duration
	gates       []*Gate
	servers     []*server
	open        bool    // whether all flows are admitted, for comparison
	long        float64 // share of requests on open flows
	unknown     bool    // whether nothing recent is known of the servers
	frozen      bool    // whether the clock of the gates stands still
	results     map[int]*result
	busy, reset int // answers of 503 and refused SYNs
}

func newSite(gates, servers int, work time.Duration) *site {
	s := &site{random: rand.New(rand.NewPCG(7, 11)), results: map[int]*result{urgent: {}, feeds: {}}}
	for range gates {
		s.gates = append(s.gates, &Gate{Random: s.random.Float64})
	}
	for range servers { // The work takes 0.6 to 1.6 times the mean.
		s.servers = append(s.servers, &server{
			work: time.Duration((0.6 + s.random.Float64()) / 1.1 * float64(work)), reportedError: 1,
		})
	}
	return s
}

// ask schedules requests at a rate per second until the given time.
func (s *site) ask(priority int, rate float64, until time.Duration) {
	for at := s.now; at < until; at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)) {
		caller := netip.AddrFrom4([4]byte{100, 64, byte(s.random.IntN(256)), byte(s.random.IntN(256))})
		s.At(at, func() {
			s.results[priority].asked++
			s.attempt(caller, priority, s.now, 1, s.random.Float64() < s.long)
		})
	}
}

// overload asks for 13% urgent requests and for feeds, 3,250 in a second, for the given time.
func (s *site) overload(length time.Duration) {
	s.ask(urgent, 433, s.now+length)
	s.ask(feeds, 2817, s.now+length)
	s.run(s.now + length)
}

func (s *site) attempt(caller netip.Addr, priority int, asked time.Duration, n int, openFlow bool) {
	again := func() {
		if n < maxAttempts {
			s.attempt(caller, priority, asked, n+1, false)
		}
	}
	gate, start, clock := s.gates[s.random.IntN(len(s.gates))], s.now, func() time.Duration { return s.now }
	if s.frozen {
		clock = func() time.Duration { return 0 }
	}
	best := s.servers[s.random.IntN(len(s.servers))]
	for i := 0; i < 3 && !openFlow; i++ {
		if v := s.servers[s.random.IntN(len(s.servers))]; v.reported < best.reported {
			best = v
		}
	}
	expected := time.Duration(float64(best.reported) * best.reportedError)
	if !s.open && !openFlow {
		if ok, _ := gate.Admit(clock(), Request{caller, priority, target, expected, !s.unknown, true}); !ok {
			s.reset++
			s.At(s.now+3*time.Millisecond, again)
			return
		}
	}
	observe := func() { gate.Observe(clock(), priority, s.now-start, target) }
	run := func() {
		best.running++
		s.At(s.now+time.Duration((0.8+0.4*s.random.Float64())*float64(best.work)), func() {
			observe()
			if r := s.results[priority]; s.now-asked <= target {
				r.inTime++
			} else {
				r.late++
			}
			if best.running--; len(best.queue) > 0 {
				next := best.queue[0]
				best.queue = best.queue[1:]
				next()
			}
		})
	}
	switch {
	case best.running < 2:
		run()
	case len(best.queue) < 8:
		best.queue = append(best.queue, run)
	default:
		s.busy++
		s.At(s.now+time.Duration(270+s.random.IntN(300))*time.Millisecond, func() { observe(); again() })
	}
}

// run advances to the given time. Load reports come every 100 ms.
func (s *site) run(end time.Duration) {
	for s.now < end {
		for _, v := range s.servers {
			v.reported = v.work + v.work*time.Duration(len(v.queue)+v.running/2)/2
		}
		for _, g := range s.gates {
			g.Tick(s.now)
		}
		next := s.now + 100*time.Millisecond
		for do, due := s.Next(next); do != nil; do, due = s.Next(next) {
			s.now = due
			do()
		}
		s.now = next
	}
}

// inTime returns the share of the requests of a priority that were answered in time.
func (s *site) inTime(priority int) float64 {
	return float64(s.results[priority].inTime) / float64(s.results[priority].asked)
}

// worth returns the value of the answers relative to that of all requests: urgent ones count twice, late ones 0.3.
func (s *site) worth() float64 {
	u, f := s.results[urgent], s.results[feeds]
	got := 2*(float64(u.inTime)+0.3*float64(u.late)) + float64(f.inTime) + 0.3*float64(f.late)
	return got / float64(2*u.asked+f.asked)
}
