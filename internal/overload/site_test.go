package overload

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/standin/schedule"
)

const (
	target        = 400 * time.Millisecond
	urgent, feeds = 1, 2 // priorities
)

// server runs two requests at once, queues eight and refuses others.
type server struct {
	work    time.Duration
	running int
	queue   []func()
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
	members     float64 // error of the number of entry VMs, as a factor
	estimate    float64 // error of the expected response time, as a factor
	frozen      bool    // whether the clock of the gates stands still
	results     map[int]*result
	busy, reset int // answers of 503 and refused SYNs
}

func newSite(gates, servers int, work time.Duration) *site {
	s := &site{
		random: rand.New(rand.NewPCG(7, 11)), members: 1, estimate: 1,
		results: map[int]*result{urgent: {}, feeds: {}},
	}
	for range gates {
		s.gates = append(s.gates, &Gate{Random: s.random.Float64})
	}
	for range servers { // The work takes 0.6 to 1.6 times the mean.
		s.servers = append(s.servers, &server{work: time.Duration((0.6 + s.random.Float64()) / 1.1 * float64(work))})
	}
	return s
}

// ask schedules requests at a rate per second until the given time.
func (s *site) ask(priority int, rate float64, until time.Duration) {
	for at := s.now; at < until; at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)) {
		s.At(at, func() {
			s.results[priority].asked++
			s.attempt(priority, s.now, 1, s.random.Float64() < s.long)
		})
	}
}

func (s *site) clock() time.Duration {
	if s.frozen {
		return 0
	}
	return s.now
}

func (s *site) attempt(priority int, asked time.Duration, n int, openFlow bool) {
	again := func() {
		if n < 3 {
			s.attempt(priority, asked, n+1, false)
		}
	}
	g, start := s.gates[s.random.IntN(len(s.gates))], s.now
	v := s.servers[s.random.IntN(len(s.servers))]
	for i := 0; i < 2 && !openFlow; i++ { // Placement knows a part of the queues.
		if o := s.servers[s.random.IntN(len(s.servers))]; o.expected() < v.expected() {
			v = o
		}
	}
	observe := func(kind flowevent.Kind) {
		g.Observe(s.clock(), "", flowevent.Event{Kind: kind, Elapsed: s.now - start, Urgent: priority == urgent})
	}
	if !s.open && !openFlow {
		ok, _ := g.Admit(s.clock(), Request{
			Priority: priority, Urgent: priority == urgent, TargetLatency: target, Known: true, Overloaded: true,
			Expected: time.Duration(s.estimate * float64(v.expected())),
			Slots:    2 * float64(len(s.servers)) / float64(len(s.gates)) / s.members, Caller: netip.IPv4Unspecified(),
		})
		if !ok {
			s.reset++
			s.At(s.now+3*time.Millisecond, again)
			return
		}
	}
	observe(flowevent.Requested)
	run := func() {
		v.running++
		s.At(s.now+time.Duration((0.8+0.4*s.random.Float64())*float64(v.work)), func() {
			observe(flowevent.Answered)
			if r := s.results[priority]; s.now-asked <= target {
				r.inTime++
			} else {
				r.late++
			}
			if v.running--; len(v.queue) > 0 {
				next := v.queue[0]
				v.queue = v.queue[1:]
				next()
			}
		})
	}
	switch {
	case v.running < 2:
		run()
	case len(v.queue) < 8:
		v.queue = append(v.queue, run)
	default:
		s.busy++
		s.At(s.now+time.Duration(270+s.random.IntN(300))*time.Millisecond, func() {
			observe(flowevent.Answered)
			again()
		})
	}
}

func (v *server) expected() time.Duration {
	return v.work + v.work*time.Duration(len(v.queue)+v.running/2)/2
}

// run advances to the given time.
func (s *site) run(end time.Duration) {
	for s.now < end {
		for _, g := range s.gates {
			g.Tick(s.clock())
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
	return float64(s.results[priority].inTime) / math.Max(1, float64(s.results[priority].asked))
}

// worth returns the value of the answers relative to that of all requests: urgent ones count twice, late ones 0.3.
func (s *site) worth() float64 {
	u, f := s.results[urgent], s.results[feeds]
	got := 2*(float64(u.inTime)+0.3*float64(u.late)) + float64(f.inTime) + 0.3*float64(f.late)
	return got / float64(2*u.asked+f.asked)
}
