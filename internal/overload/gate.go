package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/masticspar/masticspar/internal/counter"
)

// ReasonOverload is the reason of all refusals. It is part of the name of the refusal counter.
const ReasonOverload = "overload"

const (
	// maxAttempts is the number of attempts that callers make for a request.
	maxAttempts = 3
	// maxRefusal bounds the share of the SYNs of a priority that is refused. The others bring new answers, which correct
	// wrong estimates. At this share, a twentieth of the requests still passes one of its three attempts; while many
	// requests arrive on open flows, which cannot be refused, that is as much as the servers can take.
	maxRefusal = 0.98
	// refuseFrom and refuseAll are ratios of the expected response time to the target latency, between which the share of
	// refused requests of less urgent routes rises. Placement counts a response as a sign of overload from half of the
	// target latency on. Estimates are up to 100 ms old, and what other entry VMs forward meanwhile can add a quarter of
	// a target latency of 400 ms, so from 0.8 on even a response expected in time is likely to be late.
	refuseFrom = 0.5
	refuseAll  = 0.8
	// urgentFrom and urgentAll are the same ratios for the most urgent routes. These are refused only if they would be
	// late; the work of a request takes at least 0.6 times the mean, so above 1/0.6 no response is in time.
	urgentFrom = 1
	urgentAll  = 1 / 0.6
	// futileShare is the share of answers in time below which the gate refuses less, in proportion. If next to no answer
	// is in time although flows are refused, then the work itself takes too long, and a late answer is worth more than
	// none.
	futileShare = 0.1
	// answerDecay is the time over which observed response times are averaged. Shorter times leave too few answers at an
	// entry VM that receives about 12 requests per second; longer ones keep the gate closed after the overload.
	answerDecay = time.Second
	// shareDecay is the time over which the share of answers in time is averaged. It is longer than a full queue takes to
	// pass (about 1 s), so that a refusal can show its effect.
	shareDecay = 3 * time.Second
	// maxSamples bounds the weight of earlier answers, so that about two dozen new answers prevail even if the clock
	// stands still, and a busy entry VM opens as fast after the overload as one with few answers.
	maxSamples = 16
	// shareSamples does the same for the share of answers in time; futileShare of it must be several answers.
	shareSamples = 64
	// minSamples is the weight of recent answers without which every SYN is admitted.
	minSamples = 2
	// priorityRetention is how long a priority without SYNs counts as more urgent than others.
	priorityRetention = 10 * time.Second
	// maxRefusedCallers bounds the callers that are remembered between two calls of Tick.
	maxRefusedCallers = 4096
)

// Request describes the first SYN of a flow.
type Request struct {
	// Caller is the address of the caller; the zero Addr if it is unknown.
	Caller netip.Addr
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// TargetLatency is the response time that callers of the route expect.
	TargetLatency time.Duration
	// Expected is the expected response time at the chosen server, with its queue.
	Expected time.Duration
	// Known reports whether Expected rests on recent observations.
	Known bool
	// Overloaded reports whether placement has detected an overload of the service.
	Overloaded bool
}

// Gate admits or refuses the SYNs of new flows at one entry VM. The zero value is ready for use and admits everything
// until answers were observed. A Gate is not safe for concurrent use.
type Gate struct {
	// Counters counts refusals by priority and the retries of callers that the gate has refused; it may be nil.
	Counters *counter.Set
	// Random returns a number in [0, 1); nil selects the generator of package rand.
	Random func() float64

	priorities map[int]*outcomes
	inTime     average // share of the answers in time, over shareDecay
	// refused and refusedBefore count the refusals of callers since the last call of Tick and in the period before it.
	// Callers return within milliseconds.
	refused, refusedBefore map[netip.Addr]int
}

// outcomes is what the gate observed of one priority.
type outcomes struct {
	ratio     average       // response time as a ratio to the target latency
	requested bool          // whether there was a SYN
	seenAt    time.Duration // time of the last SYN
}

// average is a mean whose samples lose weight with their age.
type average struct {
	mean, weight float64
	at           time.Duration // time of the last sample
}

func (a *average) add(now, decay time.Duration, x, limit float64) {
	a.weight = min(a.weightAt(now, decay), limit-1) + 1
	a.mean += (x - a.mean) / a.weight
	a.at = now
}

func (a *average) weightAt(now, decay time.Duration) float64 {
	return a.weight * math.Exp(-float64(max(0, now-a.at))/float64(decay))
}

// Admit decides about the first SYN of a flow. It returns the reason if the flow must be refused.
func (g *Gate) Admit(now time.Duration, r Request) (ok bool, reason string) {
	probability := g.Probability(now, r)
	o := g.outcomes(r.Priority)
	o.requested, o.seenAt = true, now
	retry := g.takeRefusal(r.Caller)
	ok = probability == 0 || g.random() >= probability
	switch {
	case retry > 0 && ok:
		g.Counters.Add("overload-retries-admitted", 1)
	case retry > 0:
		g.Counters.Add("overload-retries-refused", 1)
	}
	if ok {
		return true, ""
	}
	g.Counters.Add(fmt.Sprint("refused-overload-priority-", r.Priority), 1)
	g.addRefusal(r.Caller, retry+1)
	return false, ReasonOverload
}

// Probability returns the probability with which Admit refuses the request. A request is refused in all its attempts,
// at different entry VMs, with a probability that rises linearly with the expected response time; each attempt is
// refused with the cube root of it. An attempt that follows refusals by this gate is preferred.
func (g *Gate) Probability(now time.Duration, r Request) float64 {
	if !r.Known || !r.Overloaded || r.TargetLatency <= 0 {
		return 0
	}
	// Both the expected and the observed response times must be too long. Observations of more urgent routes count,
	// too, because less urgent routes must give way to them.
	observed, urgent := 0.0, true
	for priority, o := range g.priorities {
		if priority <= r.Priority && o.ratio.weightAt(now, answerDecay) >= minSamples {
			observed = max(observed, o.ratio.mean)
		}
		if priority < r.Priority && o.requested && now-o.seenAt < priorityRetention {
			urgent = false
		}
	}
	low, high := refuseFrom, refuseAll
	if urgent { // The most urgent requests are refused only if even they are late at the best server.
		low, high = urgentFrom, urgentAll
	}
	ratio := min(float64(r.Expected)/float64(r.TargetLatency), observed)
	share := min(1, max(0, (ratio-low)/(high-low)))
	share *= min(1, g.inTime.mean/futileShare)
	attempt := min(maxAttempts, 1+g.refused[r.Caller]+g.refusedBefore[r.Caller])
	return math.Pow(min(share, math.Pow(maxRefusal, maxAttempts)), float64(attempt)/maxAttempts)
}

// Observe records that a request was answered. Answers of unknown response time (0) are ignored.
func (g *Gate) Observe(now time.Duration, priority int, elapsed, targetLatency time.Duration) {
	if elapsed <= 0 || targetLatency <= 0 {
		return
	}
	ratio := float64(elapsed) / float64(targetLatency)
	// A single very late answer must not hide many in time.
	g.outcomes(priority).ratio.add(now, answerDecay, min(ratio, 2*urgentAll), maxSamples)
	inTime := 0.0
	if ratio <= 1 {
		inTime = 1
	}
	g.inTime.add(now, shareDecay, inTime, shareSamples)
}

// Tick forgets refused callers. It is called every 100 ms.
func (g *Gate) Tick(now time.Duration) {
	g.refusedBefore, g.refused = g.refused, nil
	for priority, o := range g.priorities {
		if now-max(o.seenAt, o.ratio.at) >= priorityRetention {
			delete(g.priorities, priority)
		}
	}
}

func (g *Gate) outcomes(priority int) *outcomes {
	o := g.priorities[priority]
	if o == nil {
		if g.priorities == nil {
			g.priorities = map[int]*outcomes{}
		}
		o = &outcomes{}
		g.priorities[priority] = o
	}
	return o
}

// takeRefusal returns the number of refused attempts that the caller's SYN follows, and forgets them. Callers share
// addresses, so a refusal makes only one later SYN a retry.
func (g *Gate) takeRefusal(caller netip.Addr) int {
	n := g.refused[caller] + g.refusedBefore[caller]
	delete(g.refused, caller)
	delete(g.refusedBefore, caller)
	return n
}

func (g *Gate) addRefusal(caller netip.Addr, n int) {
	if !caller.IsValid() || len(g.refused) >= maxRefusedCallers {
		return
	}
	if g.refused == nil {
		g.refused = map[netip.Addr]int{}
	}
	g.refused[caller] = n
}

func (g *Gate) random() float64 {
	if g.Random != nil {
		return g.Random()
	}
	return rand.Float64()
}
