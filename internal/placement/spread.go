package placement

import (
	"math"
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/registry"
)

const (
	// recentDecay is the factor by which the weight of responses decreases in an evaluation period: a mean over 1 s.
	recentDecay = 0.905
	// priorWeight is the weight of the mean of the group, in responses.
	priorWeight = 0.5
	// minKnownSamples is the decayed number of responses from which the response time of a server counts as known.
	minKnownSamples = 0.3
	// refusalPeriod is how long a server that refused a request is assumed to have a full queue.
	refusalPeriod = 500 * time.Millisecond
	// fullTargets is the response time of a server with a full queue, in target latencies.
	fullTargets = 2.5
	// keptPenalty is the factor for a server that is kept for more urgent routes, and otherPenalty that for other servers
	// when an urgent flow is placed.
	keptPenalty  = 30
	otherPenalty = 10
	// A kept server has room for other routes while its response time is below roomShare of the target latency and fewer
	// than roomOutstanding requests are known to be outstanding.
	roomShare       = 0.15
	roomOutstanding = 0.5
)

// recentTime returns the expected response time of a server, in nanoseconds, from the recent responses to this and to
// other entry VMs.
func (l *load) recentTime() float64 {
	own, shared := l.ownWeight, l.shared.Samples
	return (own*l.ownTime + shared*float64(l.shared.ResponseTime) + priorWeight*l.group.responseTime) /
		(own + shared + priorWeight)
}

// expectedOverloaded returns the expected response time of a server of an overloaded service, in nanoseconds.
func (l *load) expectedOverloaded(now time.Duration) float64 {
	t := l.recentTime()
	if len(l.waiting) > 0 { // The response is not earlier than the time that the oldest request has waited.
		t = max(t, float64(now-l.waiting[0]))
	}
	if l.refusedAt > 0 && now-l.refusedAt < refusalPeriod {
		t = max(t, fullTargets*float64(l.group.service.target))
	}
	return t
}

// costOverloaded returns the cost of a server of an overloaded service as a multiple of the target latency.
func (m *Model) costOverloaded(now time.Duration, h *registry.Lifetime, l *load, f *Flow) float64 {
	t := l.expectedOverloaded(now)
	target := float64(max(f.TargetLatency, time.Millisecond))
	l.updateMean(now)
	own := float64(l.outstanding+len(l.pending)) + l.meanOutstanding
	// Response times include the queue, so its length counts less than in proportion.
	cost := t / target * (1 + own) * math.Sqrt(1+l.shared.Outstanding/float64(max(h.Slots, 1))) * (1 + l.shared.Failures)
	if now < h.ColdUntil && !l.responded {
		cost *= coldFactor
	}
	cost += m.paceCost(now, h, l, f) / target
	if h.AvailabilityZone != m.AvailabilityZone {
		cost += float64(minCrossZoneCost) / target
		// Load reports stay within a zone, so the queues of most servers of other zones are unknown.
		cost *= 1 + 1/(1+l.ownWeight+l.shared.Samples)
	}
	return cost * l.partPenalty(f, t)
}

// partPenalty returns the factor by which the part for urgent routes changes the cost of a server.
func (l *load) partPenalty(f *Flow, t float64) float64 {
	if f.Urgent && !l.kept && l.group.service.demand.part() > 0 {
		return otherPenalty
	}
	return l.keptFactor(f, t)
}

// keptFactor returns the factor for a flow to a server that is kept for more urgent routes. It is 1 while the server is
// known to have room, so that the part is given up when urgent routes do not need it.
func (l *load) keptFactor(f *Flow, t float64) float64 {
	room := l.known() && t <= roomShare*float64(f.TargetLatency) &&
		float64(l.outstanding)+l.shared.Outstanding < roomOutstanding
	if !l.kept || f.Urgent || room {
		return 1
	}
	return keptPenalty
}

// known reports whether the response time of a server rests on recent responses.
func (l *load) known() bool { return l.ownWeight+l.shared.Samples >= minKnownSamples }

// spread chooses a server of an overloaded service at random. The probability of a server is inversely proportional to
// the third power of its cost, so that entry VMs with the same knowledge do not all choose the same server. Without
// load reports it is the eighth power, because each entry VM then knows something else.
func (m *Model) spread(
	now time.Duration, hosts []*registry.Lifetime, f *Flow, unreachable map[string]bool,
) *registry.Lifetime {
	var best *registry.Lifetime
	least, lowest := 0, 0.0
	informed := m.listed(now, hosts[0]).group.service.informed
	for _, h := range hosts {
		l := m.listed(now, h)
		cost := m.costOverloaded(now, h, l, f)
		// The least of exponential variates belongs to each server with a probability proportional to its rate.
		key := -math.Log(1 - hashFraction(f.Hash, h.Token))
		if squared := cost * cost; informed {
			key *= squared * cost
		} else {
			key *= squared * squared * squared * squared
		}
		unusable := 0 // Reasons to use the server only if there is no better one.
		if m.handshakeOverdue(now, l) || l.backingOff(now, f) {
			unusable++
		}
		if unreachable[h.AvailabilityZone] && (len(f.Tried) > 0 || now-l.zone.trialAt < trialInterval) {
			unusable++
		}
		if slices.Contains(f.Tried, h.Token) {
			unusable++
		}
		if best == nil || unusable < least || unusable == least && key < lowest {
			best, least, lowest = h, unusable, key
		}
	}
	return best
}
