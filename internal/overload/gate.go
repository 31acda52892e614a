package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/flowevent"
)

// ReasonOverload is the reason of all refusals. It is part of the name of the refusal counter.
const ReasonOverload = "overload"

const (
	// aimShare is the share of the target latency that answers may take on average. Response times in short queues vary by
	// about half, so most answers are then in time.
	aimShare = 0.6
	// promptShare is the share of the target latency up to which the chosen server is expected to have room, whatever the
	// others do.
	promptShare = 0.5
	// roomFactor is the least limit, as a multiple of the slots for each entry VM. Below it servers have room, and answers
	// are late only because the work itself takes long.
	roomFactor = 1.5
	// urgentFactor is the limit of urgent requests, which do not count others, relative to that of all requests. Above it
	// the average answer takes longer than the target latency.
	urgentFactor = 2
	// minLimit is the least limit. One request at a time keeps new answers coming, so that the limit rises again.
	minLimit = 1
	// answerDecay is the time over which answers are counted.
	answerDecay = time.Second
	// minAnswers is the number of recent answers without which every SYN is admitted.
	minAnswers = 2
	// maxRefusedCallers bounds the callers that are remembered between two calls of Tick.
	maxRefusedCallers = 4096
)

// Request describes the first SYN of a flow.
type Request struct {
	// Service is the name of the service that receives the flow.
	Service string
	// Caller is the address of the caller; the zero Addr if it is unknown.
	Caller netip.Addr
	// Priority is the priority of the route, for the names of counters.
	Priority int
	// Urgent reports whether the route is more urgent than others of the service.
	Urgent bool
	// TargetLatency is the response time that callers of the route expect.
	TargetLatency time.Duration
	// Expected is the expected response time at the chosen server, with its queue.
	Expected time.Duration
	// Known reports whether Expected rests on recent observations.
	Known bool
	// Overloaded reports whether placement has detected an overload of the service.
	Overloaded bool
	// Slots is the number of requests that the servers of the service process at a time, divided by the number of entry
	// VMs; 0 if it is unknown.
	Slots float64
}

// Gate admits or refuses the SYNs of new flows at one entry VM. The zero value is ready for use and admits everything
// until answers were observed. A Gate is not safe for concurrent use.
type Gate struct {
	// Counters counts refusals by priority and the retries of callers that the gate has refused; it may be nil.
	Counters *counter.Set
	// Random returns a number in [0, 1); nil selects the generator of package rand.
	Random func() float64

	services map[string]*service
	// refused and refusedBefore have the callers that were refused since the last call of Tick and in the period before
	// it. Callers return within milliseconds.
	refused, refusedBefore map[netip.Addr]struct{}
}

// service is what the gate observed of one service.
type service struct {
	inFlight, urgent int           // SYNs and requests without an answer; urgent ones count in both
	answers          float64       // number of answers, decayed by age
	answeredAt       time.Duration // time of the last one
}

// Admit decides about the first SYN of a flow. It returns the reason if the flow must be refused.
func (g *Gate) Admit(now time.Duration, r Request) (ok bool, reason string) {
	retry := g.takeRefusal(r.Caller)
	inFlight, limit := g.Limit(now, r)
	// A fractional limit is rounded at random, because at hundreds of entry VMs it is a few requests.
	ok = inFlight < math.Floor(limit+g.random())
	switch {
	case retry && ok:
		g.Counters.Add("overload-retries-admitted", 1)
	case retry:
		g.Counters.Add("overload-retries-refused", 1)
	}
	if ok {
		return true, ""
	}
	g.Counters.Add(fmt.Sprint("refused-overload-priority-", r.Priority), 1)
	g.addRefusal(r.Caller)
	return false, ReasonOverload
}

// Limit returns the number of requests in flight that count for a request, and the limit for them; +Inf if there is none.
func (g *Gate) Limit(now time.Duration, r Request) (inFlight, limit float64) {
	s := g.services[r.Service]
	if !r.Overloaded || r.Slots <= 0 || r.TargetLatency <= 0 || s == nil || s.answersAt(now) < minAnswers ||
		r.Known && r.Expected.Seconds() <= promptShare*r.TargetLatency.Seconds() {
		return 0, math.Inf(1)
	}
	rate := s.answersAt(now) / answerDecay.Seconds()
	limit = max(minLimit, roomFactor*r.Slots, rate*aimShare*r.TargetLatency.Seconds())
	if r.Urgent {
		return float64(s.urgent), urgentFactor * limit
	}
	return float64(s.inFlight), limit
}

// Observe records an event of a flow to a server of the service.
func (g *Gate) Observe(now time.Duration, name string, e flowevent.Event) {
	s := g.services[name]
	if s == nil {
		if g.services == nil {
			g.services = map[string]*service{}
		}
		s = &service{}
		g.services[name] = s
	}
	change := 0
	switch e.Kind {
	case flowevent.Opened, flowevent.Requested:
		change = 1
	case flowevent.Accepted, flowevent.Refused, flowevent.Unanswered, flowevent.Answered, flowevent.Abandoned:
		change = -1
	}
	s.inFlight = max(0, s.inFlight+change)
	if e.Urgent {
		s.urgent = max(0, s.urgent+change)
	}
	if e.Kind == flowevent.Answered {
		s.answers = s.answersAt(now) + 1
		s.answeredAt = now
	}
}

// Reset forgets what is in flight. It is called when the configuration changes, because requests in flight may have
// become urgent or no longer be so.
func (g *Gate) Reset() {
	for _, s := range g.services {
		s.inFlight, s.urgent = 0, 0
	}
}

// Tick forgets refused callers and services without answers. It is called every 100 ms.
func (g *Gate) Tick(now time.Duration) {
	g.refusedBefore, g.refused = g.refused, nil
	for name, s := range g.services {
		if s.inFlight == 0 && now-s.answeredAt > time.Minute {
			delete(g.services, name)
		}
	}
}

func (s *service) answersAt(now time.Duration) float64 {
	return s.answers * math.Exp(-float64(max(0, now-s.answeredAt))/float64(answerDecay))
}

// takeRefusal reports whether the caller's SYN follows a refusal, and forgets it. Callers share addresses, so a refusal
// makes only one later SYN a retry.
func (g *Gate) takeRefusal(caller netip.Addr) bool {
	_, now := g.refused[caller]
	_, before := g.refusedBefore[caller]
	delete(g.refused, caller)
	delete(g.refusedBefore, caller)
	return now || before
}

func (g *Gate) addRefusal(caller netip.Addr) {
	if !caller.IsValid() || len(g.refused) >= maxRefusedCallers {
		return
	}
	if g.refused == nil {
		g.refused = map[netip.Addr]struct{}{}
	}
	g.refused[caller] = struct{}{}
}

func (g *Gate) random() float64 {
	if g.Random != nil {
		return g.Random()
	}
	return rand.Float64()
}
