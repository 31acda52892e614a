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
	// defaultAnswer is the assumed answer time before any was seen.
	defaultAnswer = 20 * time.Millisecond
	// answerSamples is the number of recent answers that the answer time of a server averages over.
	answerSamples = 6
	// answerMemory is the time after which an answer time without new samples has moved two thirds to the average.
	answerMemory = 3 * time.Second
	// loadMemory is the time over which the number of requests at work is averaged.
	loadMemory = time.Second
	// coldFactor is how much slower a server is taken to be right after its start.
	coldFactor = 1.6
	// spread is the part of the cost that differs at random between flows, so that entry VMs do not all choose alike.
	spread = 0.1
	// awayShare is the part of the response-time goal that callers must gain in another availability zone.
	awayShare = 0.4
	// minAway bounds it from below: the way there and back takes several milliseconds.
	minAway = 10 * time.Millisecond
)

// Model holds what the packets told about each lifetime; the zero value is ready for use.
type Model struct {
	// AvailabilityZone is the zone of this entry VM.
	AvailabilityZone string
	// HashOnly chooses by the hash of the flow alone, as a baseline for measurements.
	HashOnly bool
	// SuspicionChanged is called when a server becomes suspected or answers again; it may be nil.
	SuspicionChanged func(now time.Duration, token uint32, silent bool)

	loads     map[uint32]*load
	zones     map[string]*zone
	average   time.Duration // answer time of all servers
	handshake time.Duration // time of a handshake
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
	l.advance(now)
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
		l.settle(now - e.Elapsed)
		m.sign(now, e.Host, l)
		if m.handshake == 0 {
			m.handshake = e.Elapsed
		}
		m.handshake += (e.Elapsed - m.handshake) / answerSamples
	case flowevent.Answered:
		l.outstanding = max(0, l.outstanding-1)
		m.sign(now, e.Host, l)
		if e.Elapsed > 0 {
			m.sample(now, l, e.Elapsed)
		}
	case flowevent.Abandoned:
		l.outstanding = max(0, l.outstanding-1)
	case flowevent.Refused:
		l.settle(now - e.Elapsed)
		m.missed(now, e, l, &l.refusals)
	case flowevent.Unanswered:
		l.settle(now - e.Elapsed)
		m.missed(now, e, l, &l.repeats)
	case flowevent.Repeated:
		m.missed(now, e, l, &l.repeats)
	}
}

// Forget drops a lifetime that is gone.
func (m *Model) Forget(token uint32) { delete(m.loads, token) }

// Pick returns the server for a new flow, or nil with the reason why there is none.
func (m *Model) Pick(now time.Duration, hosts []*registry.Lifetime, f Flow) (*registry.Lifetime, string) {
	cut := m.cut(now, hosts)
	var best *registry.Lifetime
	lowest := math.Inf(1)
	for _, h := range hosts {
		l := m.load(now, h.Token)
		if l.zone == nil {
			l.zone = m.zone(h.AvailabilityZone)
		}
		cost := m.cost(now, h, l, f)
		if cut[h.AvailabilityZone] && (len(f.Tried) > 0 || now-l.zone.trial < trialPeriod) {
			cost += unusable
		}
		if slices.Contains(f.Tried, h.Token) {
			cost += unusable
		}
		if cost < lowest {
			best, lowest = h, cost
		}
	}
	if best == nil {
		return nil, ReasonNoHost
	}
	if l := m.loads[best.Token]; l.suspected() {
		l.trial, l.zone.trial = now, now
		l.trials++
	}
	return best, ""
}

// unusable is the cost of a server that gets a flow only when there is no other.
const unusable = float64(time.Hour)

func (m *Model) cost(now time.Duration, h *registry.Lifetime, l *load, f Flow) float64 {
	random := mix(f.Hash, h.Token)
	if m.HashOnly {
		if h.AvailabilityZone != m.AvailabilityZone {
			return 1 + random
		}
		return random
	}
	l.advance(now)
	cost := float64(m.expected(now, l))
	if now < h.ColdUntil {
		cost *= coldFactor
	}
	cost *= 1 + float64(l.outstanding) + float64(len(l.pending)) + l.mean
	cost *= 1 + spread*random
	if h.AvailabilityZone != m.AvailabilityZone {
		cost += max(awayShare*float64(f.TargetLatency), float64(minAway))
	}
	if m.late(now, l) || l.resting(now, &f) {
		cost += unusable
	}
	return cost
}

// mix returns a number between 0 and 1 from the hash of a flow and a token.
func mix(hash uint64, token uint32) float64 {
	x := (hash ^ uint64(token)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	x ^= x >> 29
	return float64(x>>11) / (1 << 53)
}
