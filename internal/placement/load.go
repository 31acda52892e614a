package placement

import (
	"math"
	"slices"
	"time"
)

type load struct {
	zone            *zone
	pending         []time.Duration // starts of handshakes
	outstanding     int
	open            int
	meanOutstanding float64 // outstanding requests, averaged over loadMemory
	updatedAt       time.Duration
	responseTime    time.Duration // average of recent answers
	respondedAt     time.Duration // time of the last answer
	aliveAt         time.Duration // time of the last sign of life
	retransmissions int           // packets that came again since then
	retransmittedAt time.Duration // time of the last of them
	refusals        int           // handshakes that were refused since then
	trialAt         time.Duration // time of the last trial flow
	trials          int           // trial flows since the last sign of life
	dead            bool
	probedAt        time.Duration // time of the last packet that went to it while it was dead
}

// zone is what is known of an availability zone.
type zone struct {
	aliveAt time.Duration // last sign of life of any server in it
	trialAt time.Duration // last trial flow to any server in it
}

func (m *Model) load(now time.Duration, token uint32) *load {
	l := m.loads[token]
	if l == nil {
		if m.loads == nil {
			m.loads = map[uint32]*load{}
		}
		l = &load{updatedAt: now, aliveAt: now}
		m.loads[token] = l
	}
	return l
}

func (m *Model) zone(name string) *zone {
	if m.zones == nil {
		m.zones = map[string]*zone{}
	}
	if m.zones[name] == nil {
		m.zones[name] = &zone{}
	}
	return m.zones[name]
}

// finishHandshake ends the handshake that started at the given time.
func (l *load) finishHandshake(started time.Duration) {
	if i := slices.Index(l.pending, started); i >= 0 {
		l.pending = slices.Delete(l.pending, i, i+1)
	}
}

func (m *Model) recordResponse(now time.Duration, l *load, elapsed time.Duration) {
	if m.averageResponse == 0 {
		m.averageResponse = elapsed
	}
	l.responseTime = m.expectedResponse(now, l)
	l.responseTime += (elapsed - l.responseTime) / responseSamples
	l.respondedAt = now
	const all = 8 * responseSamples
	m.averageResponse += (elapsed - m.averageResponse) / all
}

// expectedResponse returns the answer time of a server; without recent samples it moves to the average of all.
func (m *Model) expectedResponse(now time.Duration, l *load) time.Duration {
	average := m.averageResponse
	if average == 0 {
		average = defaultResponseTime
	}
	if l.responseTime == 0 {
		return average
	}
	old := math.Exp(-float64(now-l.respondedAt) / float64(responseDecay))
	return average + time.Duration(old*float64(l.responseTime-average))
}

// updateMean brings the average of outstanding requests up to now.
func (l *load) updateMean(now time.Duration) {
	old := math.Exp(-float64(now-l.updatedAt) / float64(loadDecay))
	l.meanOutstanding = old*l.meanOutstanding + (1-old)*float64(l.outstanding)
	l.updatedAt = now
}

// Load is what is known of one server, for logs and status.
type Load struct {
	// Outstanding and Open are the requests at work and the open flows as seen here.
	Outstanding, Open int
	// ResponseTime is the average time of recent answers; zero when there was none.
	ResponseTime time.Duration
	// Failures is the number of packets that the server did not answer since its last sign of life.
	Failures int
	// SinceResponse is the time since the last sign of life.
	SinceResponse time.Duration
}

// Load returns what is known of a server.
func (m *Model) Load(now time.Duration, token uint32) Load {
	l := m.loads[token]
	if l == nil {
		return Load{}
	}
	return Load{Outstanding: l.outstanding, Open: l.open, ResponseTime: l.responseTime, Failures: l.retransmissions + l.refusals, SinceResponse: now - l.aliveAt}
}
