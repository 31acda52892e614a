package placement

import (
	"math"
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/registry"
)

const (
	// evaluationPeriod is the time between two evaluations of a service.
	evaluationPeriod = 100 * time.Millisecond
	// overloadPeriods is the number of such periods whose requests are evidence of an overload: 2 s.
	overloadPeriods = 20
	overloadWindow  = overloadPeriods * evaluationPeriod
	// minOverloadRequests is the number of requests below which there is no evidence.
	minOverloadRequests = 8
	// overloadShare is the share of late requests, and of servers with late requests, from which a service is
	// overloaded. Without the share of servers, a few slow servers with busy flows would count as an overload.
	overloadShare = 0.25
	// minLateServers is the number of servers with late requests below which a service with many servers is not
	// overloaded, because the first requests after a pause may all belong to a few slow servers.
	minLateServers = 5
	// recoveredShare is the share of late requests below which a service has recovered, after recoveryPeriod.
	recoveredShare = 0.1
	recoveryPeriod = 2 * time.Second
	// lateShare is the share of the target latency after which a response is late evidence.
	lateShare = 0.5
	// maxSharedRequests bounds the requests that the report of one server counts for, so that wrong reports of a few
	// servers do not outweigh own observations.
	maxSharedRequests = 2
	// comparedSamples is the number of recent own responses with which shared estimates are compared. Their weight falls
	// from 1 to 0 between minDoubt and maxDoubt, which are factors of 3.3 and 6.
	comparedSamples = 4
	minDoubt        = 1.2
	maxDoubt        = 1.8
	// maxWaiting bounds the requests of a server whose start times are kept.
	maxWaiting = 32
)

// service is the state of the servers of one service.
type service struct {
	name         string
	groups       []*group
	target       time.Duration // target latency of the last flow
	pickedAt     time.Duration // time of the last Pick
	evaluatedAt  time.Duration
	periods      [overloadPeriods]period
	overloaded   bool
	lateAt       time.Duration // time of the last evaluation in an overload that found recoveredShare or more
	responseTime float64       // mean over recent responses of all servers, in nanoseconds; 0 if there is none
	demand       demand
	informed     bool    // whether most recent responses are from load reports
	doubt        float64 // mean difference between the logarithms of own and shared response times
}

// group is the state of the servers of a service in one availability zone.
type group struct {
	service      *service
	zone         string
	members      []*load
	sum, weight  float64 // of the response times of recent responses, and their number
	responseTime float64 // mean of them, in nanoseconds; used for servers without observations
	part         part
}

// period counts the requests of one evaluation period.
type period struct {
	number         int64
	requests, late int
}

// Evidence is the reason for the start or the end of an overload.
type Evidence struct {
	// Requests is the number of recent requests, Late is how many of them were late, outstanding for too long or
	// repeated. Both include those in load reports.
	Requests, Late float64
	// OwnRequests and OwnLate are those of this entry VM alone.
	OwnRequests, OwnLate float64
	// Servers is the number of servers with such requests, and LateServers the number of those with a late one.
	Servers, LateServers int
}

// recentLoad is the part of the state of a server that follows an overload. Its means cover about a second, because a
// queue fills within that time.
type recentLoad struct {
	token        uint32
	group        *group          // nil before the first Pick
	listedAt     time.Duration   // time of the last Pick that could choose the server
	waiting      []time.Duration // start times of outstanding requests
	ownTime      float64         // mean over own recent responses, in nanoseconds
	ownWeight    float64         // number of responses behind it, decayed by age
	observedAt   time.Duration   // time of the last request that is evidence; 0 if there was none
	observedLate time.Duration   // time of the last one that was late
	refusedAt    time.Duration   // time of the last request that the server refused
	shared       Shared          // what other entry VMs observed, as of the last evaluation
	marked       bool            // whether MarkLoaded was called with loaded set
	kept         bool            // whether the server is kept for urgent routes
}

func (m *Model) group(h *registry.Lifetime) *group {
	if m.services == nil {
		m.services = map[string]*service{}
	}
	s := m.services[h.Service]
	if s == nil {
		s = &service{name: h.Service}
		m.services[h.Service] = s
	}
	for _, g := range s.groups {
		if g.zone == h.AvailabilityZone {
			return g
		}
	}
	g := &group{service: s, zone: h.AvailabilityZone, responseTime: s.responseTime}
	s.groups = append(s.groups, g)
	return g
}

// listed returns the load of a server that can be chosen.
func (m *Model) listed(now time.Duration, h *registry.Lifetime) *load {
	l := m.load(now, h.Token)
	l.listedAt = now
	if l.group == nil {
		l.token, l.zone, l.service, l.group = h.Token, m.zone(h.AvailabilityZone), h.Service, m.group(h)
		l.group.members = append(l.group.members, l)
	}
	return l
}

// unlist removes the server from its group.
func (l *load) unlist() {
	if l.group == nil {
		return
	}
	if i := slices.Index(l.group.members, l); i >= 0 {
		l.group.members = slices.Delete(l.group.members, i, i+1)
	}
}

// observeRecent updates the recent load of a server and the evidence of an overload of its service.
func (m *Model) observeRecent(now time.Duration, e flowevent.Event, l *load) {
	switch e.Kind {
	case flowevent.Requested:
		if len(l.waiting) < maxWaiting {
			l.waiting = append(l.waiting, now)
		}
	case flowevent.Answered, flowevent.Abandoned:
		l.finishWaiting(now - e.Elapsed)
	}
	if l.group == nil {
		return
	}
	s := l.group.service
	target := e.TargetLatency
	if target == 0 {
		target = s.target
	}
	switch e.Kind {
	case flowevent.Requested:
		s.demand.record(e.Urgent)
	case flowevent.Answered:
		if e.Elapsed > 0 {
			s.compare(e.Elapsed, l.shared)
			l.ownTime = (l.ownWeight*l.ownTime + float64(e.Elapsed)) / (l.ownWeight + 1)
			l.ownWeight++
			s.record(now, l, e.Repeats > 0 || float64(e.Elapsed) > lateAfter(target))
		}
	case flowevent.Refused, flowevent.Unanswered:
		s.record(now, l, true)
	case flowevent.Retried:
		l.refusedAt = now
		s.record(now, l, true)
	}
}

// lateAfter returns the response time after which a response is late evidence, in nanoseconds. There is none for routes
// without a target latency.
func lateAfter(target time.Duration) float64 {
	if target <= 0 {
		return math.Inf(1)
	}
	return lateShare * float64(target)
}

// finishWaiting removes the request that started at the given time, or the oldest one if that is unknown.
func (l *load) finishWaiting(started time.Duration) {
	if len(l.waiting) == 0 {
		return
	}
	i := max(0, slices.Index(l.waiting, started))
	l.waiting = slices.Delete(l.waiting, i, i+1)
}

func (s *service) record(now time.Duration, l *load, late bool) {
	number := int64(now / evaluationPeriod)
	p := &s.periods[number%overloadPeriods]
	if p.number != number {
		*p = period{number: number}
	}
	p.requests++
	l.observedAt = now
	if late {
		p.late++
		l.observedLate = now
	}
}

// compare updates the difference between own and shared response times.
func (s *service) compare(elapsed time.Duration, shared Shared) {
	if shared.ResponseTime > 0 {
		difference := math.Abs(math.Log(float64(elapsed) / float64(shared.ResponseTime)))
		s.doubt += (difference - s.doubt) / comparedSamples
	}
}

// correct reduces the weight of a shared estimate if own observations disagree with such estimates.
func (s *service) correct(shared *Shared) {
	trust := min(1, max(0, (maxDoubt-s.doubt)/(maxDoubt-minDoubt)))
	shared.Samples *= trust
	shared.Outstanding *= trust
	shared.Failures *= trust
}

// Tick ends the paces of servers that receive no requests and evaluates the load of all services. It is called about
// every 100 ms; otherwise Pick evaluates its own service.
func (m *Model) Tick(now time.Duration) {
	m.paces.Tick(now)
	for _, s := range m.services {
		m.evaluate(now, s)
	}
}

// Overloaded reports whether a service is overloaded.
func (m *Model) Overloaded(name string) bool {
	s := m.services[name]
	return s != nil && s.overloaded
}

// evaluate updates the means, and the start and the end of an overload, once in each evaluation period.
func (m *Model) evaluate(now time.Duration, s *service) {
	if m.HashOnly || now-s.evaluatedAt < evaluationPeriod {
		return
	}
	periods := float64(now-s.evaluatedAt) / float64(evaluationPeriod)
	s.evaluatedAt = now
	s.demand.decay(periods)
	decay := math.Pow(recentDecay, periods)
	var e Evidence
	late := lateAfter(s.target)
	sum, weight, sharedWeight := 0.0, 0.0, 0.0
	for _, g := range s.groups {
		g.sum, g.weight = 0, 0
		for _, l := range g.members {
			l.ownWeight *= decay
			l.shared = Shared{}
			if m.Shared != nil {
				l.shared, _ = m.Shared(now, l.token)
				s.correct(&l.shared)
			}
			e.add(now, l, late)
			g.sum += l.ownWeight*l.ownTime + l.shared.Samples*float64(l.shared.ResponseTime)
			sharedWeight += l.shared.Samples
			g.weight += l.ownWeight + l.shared.Samples
		}
		sum += g.sum
		weight += g.weight
	}
	s.informed = sharedWeight > weight/2
	if weight > 0 {
		s.responseTime = sum / weight
	} else if s.responseTime == 0 {
		s.responseTime = float64(defaultResponseTime)
	}
	for _, g := range s.groups {
		g.responseTime = (g.sum + s.responseTime) / (g.weight + 1)
	}
	for i := range s.periods {
		if p := &s.periods[i]; p.number > int64(now/evaluationPeriod)-overloadPeriods {
			e.OwnRequests += float64(p.requests)
			e.OwnLate += float64(p.late)
		}
	}
	e.Requests += e.OwnRequests
	e.Late += e.OwnLate
	m.decide(now, s, e)
	if s.overloaded {
		m.mark(now, s)
		s.choosePart()
	}
}

// add adds the evidence of one server, except that of finished own requests.
func (e *Evidence) add(now time.Duration, l *load, late float64) {
	observed := l.observedAt > 0 && now-l.observedAt < overloadWindow
	lateNow := l.observedLate > 0 && now-l.observedLate < overloadWindow
	for _, started := range l.waiting {
		if float64(now-started) <= late {
			break
		}
		e.OwnRequests++
		e.OwnLate++
		observed, lateNow = true, true
	}
	if n := min(l.shared.Samples+l.shared.Failures, maxSharedRequests); n > 0 {
		e.Requests += n
		observed = true
		if float64(l.shared.ResponseTime) > late || l.shared.Failures > l.shared.Samples {
			e.Late += n
			lateNow = true
		}
	}
	if observed {
		e.Servers++
	}
	if lateNow {
		e.LateServers++
	}
}

// decide starts or ends the overload of a service.
func (m *Model) decide(now time.Duration, s *service, e Evidence) {
	share := e.Late / max(e.Requests, 1)
	// Wrong reports alone neither start nor sustain an overload at an entry VM that sees enough requests itself.
	recovered := share < recoveredShare ||
		e.OwnRequests >= minOverloadRequests && e.OwnLate < recoveredShare*e.OwnRequests
	switch {
	case s.overloaded && !recovered:
		s.lateAt = now
		return
	case s.overloaded && now-s.lateAt >= recoveryPeriod:
		s.overloaded = false
		for _, g := range s.groups {
			for _, l := range g.members {
				l.kept = false
				m.setMarked(now, l, false)
			}
		}
	case !s.overloaded && !recovered && e.Requests >= minOverloadRequests && share >= overloadShare &&
		float64(e.LateServers) >= overloadShare*float64(e.Servers) &&
		float64(e.LateServers) >= min(minLateServers, overloadShare*float64(s.size())):
		s.overloaded, s.lateAt = true, now
	default:
		return
	}
	if m.OverloadChanged != nil {
		m.OverloadChanged(now, s.name, s.overloaded, e)
	}
}

// size returns the number of servers.
func (s *service) size() int {
	n := 0
	for _, g := range s.groups {
		n += len(g.members)
	}
	return n
}

// mark marks the servers that were observed here recently, so that load reports include them.
func (m *Model) mark(now time.Duration, s *service) {
	for _, g := range s.groups {
		for _, l := range g.members {
			m.setMarked(now, l, len(l.waiting) > 0 || l.observedAt > 0 && now-l.observedAt < overloadWindow)
		}
	}
}

func (m *Model) setMarked(now time.Duration, l *load, loaded bool) {
	if l.marked == loaded {
		return
	}
	l.marked = loaded
	if m.MarkLoaded != nil {
		m.MarkLoaded(now, l.token, loaded)
	}
}
