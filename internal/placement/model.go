package placement

import (
	"math"
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/pace"
	"github.com/masticspar/masticspar/internal/registry"
)

// Reasons for which Pick returns no server. They are part of the names of the refusal counters.
const (
	ReasonNoHost = "no-host"
)

const (
	// defaultResponseTime is the response time that is assumed before the first response.
	defaultResponseTime = 20 * time.Millisecond
	// responseSamples is the number of recent responses that the average response time of a server covers.
	responseSamples = 6
	// responseDecay is the time in which the response time of a server without new samples moves two thirds of the way
	// to the average of all servers.
	responseDecay = 3 * time.Second
	// loadDecay is the time over which the number of outstanding requests is averaged.
	loadDecay = time.Second
	// coldFactor is the factor by which a server that its entry declares cold is assumed to be slower until it responds.
	coldFactor = 1.6
	// costJitter is the share of the cost that varies randomly between flows, so that entry VMs do not all choose the
	// same server.
	costJitter = 0.1
	// crossZoneShare is the share of the target latency that a server in another availability zone must save.
	crossZoneShare = 0.4
	// knownPeriod is how long the response time of a server counts as known after its last response.
	knownPeriod = 2 * time.Second
	// minCrossZoneCost is the least time that such a server must save, because the round trip between zones takes several
	// milliseconds.
	minCrossZoneCost = 10 * time.Millisecond
)

// Model holds the load and liveness of each lifetime, as observed from packets. The zero value is ready for use.
type Model struct {
	// AvailabilityZone is the availability zone of this entry VM.
	AvailabilityZone string
	// HashOnly reports whether servers are chosen by zone and the hash of the flow alone, as a baseline for measurements.
	HashOnly bool
	// SuspicionChanged is called when a server becomes suspected and when a suspected server responds; it may be nil.
	SuspicionChanged func(now time.Duration, token uint32, suspected bool)
	// Shared returns what other entry VMs observed of a server, and false if nothing recent is known; it may be nil.
	Shared func(now time.Duration, token uint32) (Shared, bool)
	// MarkLoaded is called when the observations of a server become worth reporting to other entry VMs and when they no
	// longer are; it may be nil.
	MarkLoaded func(now time.Duration, token uint32, loaded bool)
	// OverloadChanged is called when the overload of a service starts or ends; it may be nil.
	OverloadChanged func(now time.Duration, service string, overloaded bool, e Evidence)

	// PaceChanged is called when the pace of a server starts and ends; it may be nil.
	PaceChanged func(now time.Duration, token uint32, c pace.Change)

	paces            paces
	noPaces          bool // disables paces, so that tests can compare the other choices with those before there were any
	loads            map[uint32]*load
	services         map[string]*service
	zones            map[string]*zone
	averageResponse  time.Duration // average response time of all servers; 0 before the first response
	averageHandshake time.Duration // average time of a handshake; 0 before the first one
}

// Flow describes a new flow.
type Flow struct {
	// Hash is the hash of the flow's addresses and ports.
	Hash uint64
	// TargetLatency is the response time that callers of the route expect.
	TargetLatency time.Duration
	// Urgent reports whether a route of less urgent priority uses the same service.
	Urgent bool
	// Tried lists the tokens of servers that have not responded to recent SYNs of the caller.
	Tried []uint32
}

// Shared is what other entry VMs observed of a server.
type Shared struct {
	// ResponseTime is the average over recent responses; 0 if there was none.
	ResponseTime time.Duration
	// Samples is the number of responses that ResponseTime covers, decayed by their age.
	Samples float64
	// Outstanding is the estimated number of requests outstanding at the server, from the whole availability zone.
	Outstanding float64
	// Failures is the number of refused handshakes and unanswered packets, decayed by their age.
	Failures float64
}

// Choice is the result of Pick.
type Choice struct {
	// Host is the chosen server; nil if there is none.
	Host *registry.Lifetime
	// Reason is why there is no server; empty if there is one.
	Reason string
	// Expected is the expected response time of the server, with its queue. It is much longer at a server that is kept for
	// more urgent routes, because the room there is not room for other routes.
	Expected time.Duration
	// Known reports whether Expected rests on recent observations of this server by any entry VM.
	Known bool
	// Overloaded reports whether the service of the server is overloaded.
	Overloaded bool
}

// Observe updates the state of the server that the event names by its token.
func (m *Model) Observe(now time.Duration, e flowevent.Event) {
	l := m.load(now, e.Host)
	l.updateMean(now)
	m.observeRecent(now, e, l)
	m.observePace(now, e, l)
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

// Forget removes the state of a lifetime whose token is no longer in use.
func (m *Model) Forget(token uint32) {
	if l := m.loads[token]; l != nil {
		l.unlist()
	}
	delete(m.loads, token)
	m.paces.Forget(token)
}

// Pick returns a server of hosts, which belong to one service, for a new flow: the one with the lowest cost, or, while
// the service is overloaded, a random one of those with low costs. A flow to a suspected server is counted as a trial
// flow.
func (m *Model) Pick(now time.Duration, hosts []*registry.Lifetime, f Flow) Choice {
	unreachable := m.unreachableZones(now, hosts)
	if len(hosts) == 0 {
		return Choice{Reason: ReasonNoHost}
	}
	s := m.listed(now, hosts[0]).group.service
	s.target = f.TargetLatency
	m.evaluate(now, s)
	var best *registry.Lifetime
	if s.overloaded {
		best = m.spread(now, hosts, &f, unreachable)
	} else {
		best = m.cheapest(now, hosts, f, unreachable)
	}
	s.pickedAt = now
	l := m.loads[best.Token]
	if l.suspected() {
		l.trialAt, l.zone.trialAt = now, now
		l.trials++
	}
	if s.overloaded {
		t := l.expectedOverloaded(now)
		return Choice{
			Host: best, Expected: time.Duration(t * l.keptFactor(&f, t)), Overloaded: true,
			Known: l.known() || len(l.waiting) > 0,
		}
	}
	return Choice{
		Host: best, Expected: m.expectedResponse(now, l),
		Known: l.responseTime > 0 && now-l.respondedAt < knownPeriod,
	}
}

// cheapest returns the server with the lowest cost.
func (m *Model) cheapest(
	now time.Duration, hosts []*registry.Lifetime, f Flow, unreachable map[string]bool,
) *registry.Lifetime {
	var best *registry.Lifetime
	lowest := math.Inf(1)
	for _, h := range hosts {
		l := m.listed(now, h)
		cost := m.cost(now, h, l, f)
		// An unreachable zone is avoided for trialInterval after its last trial flow, and by flows that were already
		// delayed by another server.
		if unreachable[h.AvailabilityZone] && (len(f.Tried) > 0 || now-l.zone.trialAt < trialInterval) {
			cost += unusableCost
		}
		if slices.Contains(f.Tried, h.Token) {
			cost += unusableCost
		}
		if cost < lowest {
			best, lowest = h, cost
		}
	}
	return best
}

// unusableCost is added to the cost of a server that is chosen only if there is no better one, in nanoseconds.
const unusableCost = float64(time.Hour)

// cost returns the cost of server h for a new flow, in nanoseconds. If HashOnly is set, it returns a number in [0, 1)
// for a server of the local zone and in [1, 2) for any other.
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
	if now < h.ColdUntil && (!l.responded || m.noPaces) {
		cost *= coldFactor
	}
	cost *= 1 + float64(l.outstanding) + float64(len(l.pending)) + l.meanOutstanding
	cost *= 1 + costJitter*random
	if h.AvailabilityZone != m.AvailabilityZone {
		cost += max(crossZoneShare*float64(f.TargetLatency), float64(minCrossZoneCost))
	}
	cost += m.paceCost(now, h, l, &f)
	if m.handshakeOverdue(now, l) || l.backingOff(now, &f) {
		cost += unusableCost
	}
	return cost
}

// hashFraction returns a number in [0, 1) that depends only on the hash of a flow and a token. Its constants are those
// of SplitMix64.
func hashFraction(hash uint64, token uint32) float64 {
	x := (hash ^ uint64(token)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	x ^= x >> 29
	return float64(x>>11) / (1 << 53)
}
