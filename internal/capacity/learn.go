package capacity

import (
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the half-life of the decayed sums.
	halfLife = 2 * time.Second
	// priorSamples is the weight of the previous estimate in samples. It keeps the estimate of a host with a few
	// completions a second from following the noise of single service times. With 20 or less, the weight of a slow host
	// swings by more than 25%; with 60 or more, weights settle later than 10 s after a change of speed.
	priorSamples = 40
	// learnedSamples is the number of completions from which the estimate replaces the prior completely.
	learnedSamples = 20
	// coldFactor is the share of its weight that a host gets when it has just started or recovered.
	coldFactor = 0.1
	// minWeightShare is the least weight of a host as a share of the prior, or in requests/s with TrueCapacity. It keeps
	// the rank of a failing host defined.
	minWeightShare = 0.01
	// reducedBelow is the ratio of weight and capacity below which a host gets only flows that rank it first.
	reducedBelow = 0.9
	// maxGap is the time between two ticks above which the sums span a pause of the process and are discarded.
	maxGap = 3 * time.Second

	// stalledRequests is the least number of outstanding requests for a host without completions to be stalled.
	stalledRequests = 3
	// stalledAfter is the least time without completions after which such a host is stalled.
	stalledAfter = 2 * time.Second
	// stalledCompletions lengthens stalledAfter for slow services to the time in which their median host completes this
	// many requests. A host that is four times slower completes 8 in this time. With stalledAfter alone, healthy hosts
	// that complete one request in 3 s are bad for 10% of the time.
	stalledCompletions = 32
	// minAttempts is the least number of attempts for the failure ratio to count.
	minAttempts = 3
	// maxFailureStreak is the number of consecutive failures that make a host bad. A host that fails less than a fifth
	// of its attempts hardly ever reaches it.
	maxFailureStreak = 5
	// reportLag is the time until the whole owner group has received a completion: a report interval, a tick and
	// delays.
	reportLag = 2500 * time.Millisecond
	// trialInterval is the time from the exclusion of a host to its first trial flow. It doubles with each trial flow up
	// to maxTrialInterval.
	trialInterval    = 5 * time.Second
	maxTrialInterval = 60 * time.Second
	// recoveryTime is the time in which a host that was bad gets its full weight back. One answered trial flow is
	// little evidence, and a host that answers some flows and refuses most must not get its full share for it.
	recoveryTime = 5 * time.Second
)

// estimate holds the estimated capacity and the health of a host.
type estimate struct {
	created time.Duration
	// Sums with exponential decay.
	completions, failures, busy, seconds float64

	samples  float64 // completions so far, up to learnedSamples
	capacity float64 // requests/s; zero when unknown
	weight   float64 // capacity or prior with all factors; requests/s once the service has learned capacities
	reduced  bool    // the weight is well below the capacity for another reason than max-share

	stallTimeout  time.Duration // replaces stalledAfter if it is longer
	progressAt    time.Duration // time of the last completion, or when stalledRequests became outstanding
	bad           bool
	failureStreak int           // own failures since the last response
	recoveredAt   time.Duration // when the host was last found healthy again; zero if it was never bad
	trialAt       time.Duration // when the next trial flow is due
	// recoverableFrom is the time from which completions are known to be later than the failures that made the host
	// bad.
	recoverableFrom time.Duration
	backoff         time.Duration // delay before the trial flow at trialAt
	atMaxShare      bool          // max-share bounds the weight
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
			// The minimum grows slowly, so that it follows a path that became slower.
			h.handshake += h.handshake / 64
		}
		m.updateWeights(now, st)
	}
}

// learn updates the estimate with the sums of the last interval.
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
// outstanding requests and the completions/s. It solves L = c·rho/(1-rho^c) for the utilisation rho, which is exact for
// Poisson arrivals and one or two slots; the capacity is X/rho. Estimate returns 0 when either number is 0 or less.
func Estimate(outstanding, rate float64, slots int) float64 {
	if outstanding <= 0 || rate <= 0 {
		return 0
	}
	c := float64(max(1, slots))
	switch slots {
	case 0, 1:
		return rate * (1 + outstanding) / outstanding
	case 2:
		// The usual form L·X/(sqrt(1+L²)-1) loses all digits for small L. This equal form keeps them.
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

// detectBad excludes a host that stalls or fails. Every member schedules the trial flows, so that a new sender
// continues with the backoff of the previous one.
func (h *host) detectBad(now time.Duration) {
	if h.bad {
		if !h.sendsTrials && now >= h.trialAt {
			h.scheduleTrial(now)
		}
		return
	}
	ratio := 0.5 // share of failed attempts from which the host is bad
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

// exclude makes the host bad. Completions from recoverableFrom on make it healthy again.
func (h *host) exclude(now, recoverableFrom time.Duration) {
	h.bad, h.failureStreak, h.recoverableFrom = true, 0, recoverableFrom
	// A host that fails again soon after its recovery keeps its previous backoff.
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

// scheduleTrial doubles the backoff and schedules the next trial flow.
func (h *host) scheduleTrial(now time.Duration) {
	h.backoff = min(2*h.backoff, maxTrialInterval)
	h.trialAt = now + h.backoff
}

// updateWeights sets the weights of all hosts of a service. The prior is the lower quartile of the learned capacities;
// it stands for the capacity of a host with few completions.
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

// quartiles returns the lower quartile and the median of the learned capacities, or zero when there are none.
func (st *service) quartiles() (lower, median float64) {
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
	// The upper median of two keeps a host that stalls from raising its own stall timeout.
	return known[(len(known)-1)/4], known[len(known)/2]
}

// successFactor returns the factor for failures. It is squared because a host that refuses quickly has few outstanding
// requests and would otherwise look idle.
func (h *host) successFactor() float64 {
	attempts := h.completions + h.failures
	if attempts == 0 {
		return 1
	}
	ratio := h.completions / attempts
	return ratio * ratio
}

// rampFactor returns the weight factor of a host that has just started or was bad, 1 for other hosts.
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

// ramp returns a factor that grows from coldFactor at age 0 to 1 at age full.
func ramp(age, full time.Duration) float64 {
	return min(1, coldFactor+(1-coldFactor)*max(0, age.Seconds())/full.Seconds())
}

// applyMaxShare lowers the weights of hosts above their maximum share and gives the rest to the others in proportion.
// When the maximum shares of all hosts add up to less than 1, the weights of the remaining hosts stay as they are.
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
