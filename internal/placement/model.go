package placement

import (
	"math"
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/registry"
)

// Refusals of Pick; their text is the reason in the name of the refusal counter.
const (
	ReasonNoHost = "no-host"
)

const (
	// defaultResponseTime is the assumed answer time before any was seen.
	defaultResponseTime = 20 * time.Millisecond
	// responseSamples is the number of recent answers that the answer time of a server averages over.
	responseSamples = 6
	// responseDecay is the time after which an answer time without new samples has moved two thirds to the average.
	responseDecay = 3 * time.Second
	// loadDecay is the time over which the number of requests at work is averaged.
	loadDecay = time.Second
	// coldFactor is how much slower a server is taken to be right after its start.
	coldFactor = 1.6
	// costJitter is the part of the cost that differs at random between flows, so that entry VMs do not all choose alike.
	costJitter = 0.1
	// crossZoneShare is the part of the response-time goal that callers must gain in another availability zone.
	crossZoneShare = 0.4
	// minCrossZoneCost bounds it from below: the way there and back takes several milliseconds.
	minCrossZoneCost = 10 * time.Millisecond
)

// Model holds what the packets told about each lifetime; the zero value is ready for use.
type Model struct {
	// AvailabilityZone is the zone of this entry VM.
	AvailabilityZone string
	// HashOnly chooses by the hash of the flow alone, as a baseline for measurements.
	HashOnly bool
	// SuspicionChanged is called when a server becomes suspected or answers again; it may be nil.
	SuspicionChanged func(now time.Duration, token uint32, silent bool)

	loads            map[uint32]*load
	zones            map[string]*zone
	averageResponse  time.Duration // answer time of all servers
	averageHandshake time.Duration // time of a handshake
}

// Flow is what a choice depends on besides the servers.
type Flow struct {
	// Hash is the hash of the flow.
	Hash uint64
	// TargetLatency is the response time that callers of the route expect.
	TargetLatency time.Duration
	// Tried are servers that have not answered the caller lately.
	Tried []uint32
}

// Observe adds what a packet told about a server.
func (m *Model) Observe(now time.Duration, e flowevent.Event) {
	l := m.load(now, e.Host)
	l.updateMean(now)
	switch e.Kind {
	case flowevent.Opened:
		l.open++
		l.pending = append(l.pending, now)
	case flowevent.Joined:
		l.open++
	case flowevent.Closed:
		l.open = max(0, l.open-1)
	case flowevent.Requested:
		l.outstanding++
	case flowevent.Accepted:
		l.finishHandshake(now - e.Elapsed)
		m.markAlive(now, e.Host, l)
		if m.averageHandshake == 0 {
			m.averageHandshake = e.Elapsed
		}
		m.averageHandshake += (e.Elapsed - m.averageHandshake) / responseSamples
	case flowevent.Answered:
		l.outstanding = max(0, l.outstanding-1)
		m.markAlive(now, e.Host, l)
		if e.Elapsed > 0 {
			m.recordResponse(now, l, e.Elapsed)
		}
	case flowevent.Abandoned:
		l.outstanding = max(0, l.outstanding-1)
	case flowevent.Refused:
		l.finishHandshake(now - e.Elapsed)
		m.recordFailure(now, e, l, &l.refusals)
	case flowevent.Unanswered:
		l.finishHandshake(now - e.Elapsed)
		m.recordFailure(now, e, l, &l.retransmissions)
	case flowevent.Repeated:
		m.recordFailure(now, e, l, &l.retransmissions)
	}
}

// Forget drops a lifetime that is gone.
func (m *Model) Forget(token uint32) { delete(m.loads, token) }

// Pick returns the server for a new flow, or nil with the reason why there is none.
func (m *Model) Pick(now time.Duration, hosts []*registry.Lifetime, f Flow) (*registry.Lifetime, string) {
	cut := m.unreachableZones(now, hosts)
	var best *registry.Lifetime
	lowest := math.Inf(1)
	for _, h := range hosts {
		l := m.load(now, h.Token)
		if l.zone == nil {
			l.zone = m.zone(h.AvailabilityZone)
		}
		cost := m.cost(now, h, l, f)
		if cut[h.AvailabilityZone] && (len(f.Tried) > 0 || now-l.zone.trialAt < trialInterval) {
			cost += unusableCost
		}
		if slices.Contains(f.Tried, h.Token) {
			cost += unusableCost
		}
		if cost < lowest {
			best, lowest = h, cost
		}
	}
	if best == nil {
		return nil, ReasonNoHost
	}
	if l := m.loads[best.Token]; l.suspected() {
		l.trialAt, l.zone.trialAt = now, now
		l.trials++
	}
	return best, ""
}

// unusableCost is the cost of a server that gets a flow only when there is no other.
const unusableCost = float64(time.Hour)

func (m *Model) cost(now time.Duration, h *registry.Lifetime, l *load, f Flow) float64 {
	random := hashFraction(f.Hash, h.Token)
	if m.HashOnly {
		if h.AvailabilityZone != m.AvailabilityZone {
			return 1 + random
		}
		return random
	}
	l.updateMean(now)
	cost := float64(m.expectedResponse(now, l))
	if now < h.ColdUntil {
		cost *= coldFactor
	}
	cost *= 1 + float64(l.outstanding) + float64(len(l.pending)) + l.meanOutstanding
	cost *= 1 + costJitter*random
	if h.AvailabilityZone != m.AvailabilityZone {
		cost += max(crossZoneShare*float64(f.TargetLatency), float64(minCrossZoneCost))
	}
	if m.handshakeOverdue(now, l) || l.backingOff(now, &f) {
		cost += unusableCost
	}
	return cost
}

// hashFraction returns a number between 0 and 1 from the hash of a flow and a token.
func hashFraction(hash uint64, token uint32) float64 {
	x := (hash ^ uint64(token)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	x ^= x >> 29
	return float64(x>>11) / (1 << 53)
}
