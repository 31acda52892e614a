package capacity

import (
	"math"
	"slices"
	"time"
)

const (
	halfLife = 2 * time.Second
	// priorSamples is the weight of the previous estimate in samples. It keeps a host with a few completions a second from
	// following the noise of single service times. In the queueing bench, 20 and less make the weight of a slow host swing
	// by more than 25%, and 60 and more settle later than 10 s after a step.
	priorSamples = 40
	// learnedSamples is the number of completions after which the prior no longer counts.
	learnedSamples = 20
	// coldFactor is the share of its capacity that a host gets when it has just started.
	coldFactor = 0.1
	// minWeightShare keeps the rank of a host that fails defined, as a share of the prior.
	minWeightShare = 0.01
	// reducedBelow is the ratio of weight and capacity from which a host gets first-choice flows only.
	reducedBelow = 0.9
	// maxGap is the time between two ticks above which the sums span a pause of the process and are discarded.
	maxGap = 3 * time.Second

	// stalledRequests is the number of outstanding requests from which a host without completions is bad.
	stalledRequests = 3
	stalledAfter    = 2 * time.Second
	// stalledCompletions lengthens stalledAfter for slow services, to the time in which their median host completes this
	// many requests and one that is four times slower 8. Healthy hosts that complete one request in 3 s were otherwise
	// bad for 10% of the time in the queueing bench.
	stalledCompletions = 32
	// minAttempts is the least number of attempts for the failure ratio to count.
	minAttempts = 3
	// maxFailureStreak is hardly ever reached by a host that fails in less than a fifth of the attempts.
	maxFailureStreak = 5
	// reportLag is the time until a completion is known to the whole owner group: a report interval, a tick and delays.
	reportLag        = 2500 * time.Millisecond
	trialInterval    = 5 * time.Second
	maxTrialInterval = 60 * time.Second
	// recoveryTime is the time in which a host that was bad gets its full weight back. One answered trial flow is little
	// evidence, and a host that answers some flows and refuses most must not get its full share for it.
	recoveryTime = 5 * time.Second
)

// estimate is the estimate of a host.
type estimate struct {
	created time.Duration
	// Sums with exponential decay.
	completions, failures, busy, seconds float64

	samples  float64 // completions so far, up to learnedSamples
	capacity float64 // requests/s; zero when unknown
	weight   float64 // capacity or prior with all factors
	reduced  bool    // a factor other than max-share lowers the weight well below the capacity

	stallTimeout  time.Duration // without completions until the host is stalled
	progressAt    time.Duration // last completion, or when the requests became outstanding
	bad           bool
	failureStreak int           // own failures since the last answer
	recoveredAt   time.Duration // when the host stopped being bad; zero if it never was
	trialAt       time.Duration
	// recoverableFrom is when completions have surely followed the failures that made the host bad.
	recoverableFrom time.Duration
	backoff         time.Duration
	atMaxShare      bool // weight is bounded by max-share
}

// Tick updates estimates and weights; it is called once a second.
func (m *Model) Tick(now time.Duration) {
	gap := now - m.lastTick
	if gap <= 0 {
		return
	}
	m.lastTick = now
	m.prune(now)
	decay := math.Exp2(-float64(gap) / float64(halfLife))
	for _, st := range m.services {
		st.picks *= decay
		for _, h := range st.hosts {
			h.picks *= decay
			h.gather(now)
			if gap > maxGap {
				h.advancedTo, h.progressAt, h.own, h.group = now, now, sums{}, sums{}
				h.outstandingTime, h.answeredTime, h.responses = 0, 0, 0
			}
			h.advance(now)
			h.estimateLost(gap)
			h.learn(now, decay, gap.Seconds())
			h.detectBad(now)
			h.reclaim(now)
			// A path that became slower must not keep its old minimum for ever.
			h.handshake += h.handshake / 64
		}
		m.updateWeights(now, st)
	}
}

// learn moves the sums of the last interval into the estimate.
func (h *host) learn(now time.Duration, decay, seconds float64) {
	s := h.group
	h.group = sums{}
	h.completions = h.completions*decay + float64(s.completions)
	h.failures = h.failures*decay + float64(s.failures)
	h.busy = h.busy*decay + s.busy.Seconds()
	h.seconds = h.seconds*decay + seconds
	h.samples = min(learnedSamples, h.samples+float64(s.completions))
	if h.bad {
		if s.completions > 0 && now >= h.recoverableFrom {
			h.bad, h.recoveredAt, h.failures = false, now, 0
		}
		return
	}
	outstanding := h.busy / h.seconds
	evidence := h.completions + outstanding
	if h.samples == 0 || evidence < 0.5 || h.busy <= 0 {
		return
	}
	c := Estimate(outstanding, h.completions/h.seconds, h.config.Slots)
	if h.capacity == 0 {
		h.capacity = c
		return
	}
	h.capacity += (c - h.capacity) * evidence / (evidence + priorSamples)
}

// Estimate returns the capacity in requests/s of a queue with the given number of slots from the mean number of
// outstanding requests and the completions/s. It solves L = c·rho/(1-rho^c) for the utilisation rho, which is exact
// for Poisson arrivals and one or two slots; the capacity is X/rho.
func Estimate(outstanding, rate float64, slots int) float64 {
	if outstanding <= 0 || rate <= 0 {
		return 0
	}
	c := float64(max(1, slots))
	switch slots {
	case 0, 1:
		return rate * (1 + outstanding) / outstanding
	case 2:
		// The usual form L·X/(sqrt(1+L²)-1) loses all digits for small L; this one is equal and does not.
		return rate * (math.Sqrt(1+outstanding*outstanding) + 1) / outstanding
	}
	low, high := 0.0, 1.0
	for range 40 {
		rho := (low + high) / 2
		if c*rho > outstanding*(1-math.Pow(rho, c)) {
			high = rho
		} else {
			low = rho
		}
	}
	return rate / high
}

// detectBad excludes a host that stalls or fails. A trial flow is scheduled in every member, so that a new sender continues
// with the backoff of the last one.
func (h *host) detectBad(now time.Duration) {
	if h.bad {
		if !h.sendsTrials && now >= h.trialAt {
			h.scheduleTrial(now)
		}
		return
	}
	ratio := 0.5
	if now < h.unhealthyUntil {
		ratio = 0.25
	}
	attempts := h.completions + h.failures
	switch {
	case h.stalled(now):
		h.exclude(now, now)
	case attempts >= minAttempts && h.failures >= ratio*attempts:
		h.exclude(now, now+reportLag)
	}
}

// exclude makes the host bad. Completions count as its recovery after the given time.
func (h *host) exclude(now, recoverableFrom time.Duration) {
	h.bad, h.failureStreak, h.recoverableFrom = true, 0, recoverableFrom
	// A host that soon fails again continues with its previous backoff.
	if h.backoff == 0 || now-h.recoveredAt > maxTrialInterval {
		h.backoff = trialInterval
	}
	h.trialAt = now + h.backoff
}

// stalled reports whether requests are outstanding and none completes.
func (h *host) stalled(now time.Duration) bool {
	after := max(stalledAfter, h.stallTimeout)
	if now < h.unhealthyUntil {
		after /= 2
	}
	return now-h.progressAt >= after && h.live()+h.others.recentOutstanding >= stalledRequests
}

func (h *host) scheduleTrial(now time.Duration) {
	h.backoff = min(2*h.backoff, maxTrialInterval)
	h.trialAt = now + h.backoff
}

// updateWeights sets the weights of all hosts of a service.
func (m *Model) updateWeights(now time.Duration, st *service) {
	prior, median := st.quartiles()
	st.learned = prior > 0
	for _, h := range st.hosts {
		h.stallTimeout = 0
		if median > 0 {
			h.stallTimeout = time.Duration(min(stalledCompletions/median, maxTrialInterval.Seconds()) * float64(time.Second))
		}
		base := prior
		if !st.learned {
			base = h.config.Weight
		} else if h.capacity > 0 {
			base += (h.capacity - prior) * h.samples / learnedSamples
		}
		if m.TrueCapacity != nil {
			h.weight, st.learned = max(m.TrueCapacity(h.config.Name), minWeightShare), true
			continue
		}
		h.weight = max(base*h.successFactor()*m.rampFactor(now, st, h), minWeightShare*prior)
		h.reduced = h.weight < reducedBelow*base
	}
	st.applyMaxShare()
}

// quartiles returns the lowest quartile and the median of the learned capacities, zero when there are none.
func (st *service) quartiles() (lowest, median float64) {
	var buffer [64]float64
	known := buffer[:0]
	for _, h := range st.hosts {
		if h.samples >= learnedSamples && h.capacity > 0 && !h.bad {
			known = append(known, h.capacity)
		}
	}
	if len(known) == 0 {
		return 0, 0
	}
	slices.Sort(known)
	// The upper median of two keeps a host that stalls from raising its own limit.
	return known[(len(known)-1)/4], known[len(known)/2]
}

// successFactor returns the factor for failures. It is squared because a host that refuses quickly has little outstanding and
// would otherwise look idle.
func (h *host) successFactor() float64 {
	attempts := h.completions + h.failures
	if attempts == 0 {
		return 1
	}
	ratio := h.completions / attempts
	return ratio * ratio
}

// rampFactor returns the factor of a host that has just started or was bad.
func (m *Model) rampFactor(now time.Duration, st *service, h *host) float64 {
	factor := 1.0
	if !h.config.Started.IsZero() && st.config.WarmUp > 0 {
		age := m.Epoch.Add(now).Sub(h.config.Started)
		factor = ramp(age, st.config.WarmUp)
	}
	if h.recoveredAt > 0 {
		factor *= ramp(now-h.recoveredAt, recoveryTime)
	}
	return factor
}

func ramp(age, full time.Duration) float64 {
	return min(1, coldFactor+(1-coldFactor)*max(0, age.Seconds())/full.Seconds())
}

// applyMaxShare lowers the weights of hosts above their share and gives the rest to the others in proportion. Shares that add
// up to less than all work leave the weights of the remaining hosts as they are.
func (st *service) applyMaxShare() {
	total, capped := 0.0, false
	for _, h := range st.hosts {
		h.atMaxShare = false
		if !h.config.Leaving && !h.bad {
			total += h.weight
		}
		capped = capped || h.config.MaxShare > 0
	}
	// Each round fixes at least one more host.
	for changed := capped; changed; {
		changed = false
		free, shares := 0.0, 0.0
		for _, h := range st.hosts {
			switch {
			case h.config.Leaving || h.bad:
			case h.atMaxShare:
				shares += h.config.MaxShare
			default:
				free += h.weight
			}
		}
		if shares >= 1 || free == 0 {
			return
		}
		total = free / (1 - shares)
		for _, h := range st.hosts {
			if h.config.MaxShare > 0 && !h.config.Leaving && !h.bad && !h.atMaxShare && h.weight > h.config.MaxShare*total {
				h.atMaxShare, changed = true, true
			}
		}
		for _, h := range st.hosts {
			if h.atMaxShare {
				h.weight = min(h.weight, h.config.MaxShare*total)
			}
		}
	}
}
