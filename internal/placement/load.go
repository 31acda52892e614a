package placement

import (
	"math"
	"slices"
	"time"
)

// load is the observed state of one server.
type load struct {
	recentLoad
	zone            *zone           // nil before the first Pick
	service         string          // empty before the first Pick or BeginPace
	pending         []time.Duration // start times of handshakes in progress
	outstanding     int
	open            int
	meanOutstanding float64       // outstanding requests, averaged over loadDecay
	updatedAt       time.Duration // time of the last update of meanOutstanding
	responseTime    time.Duration // average over recent responses; 0 before the first one
	respondedAt     time.Duration // time of the last response
	paced           bool          // whether package pace may limit the outstanding requests
	responded       bool          // whether there was a response since the first observation or the last BeginPace
	aliveAt         time.Duration // time of the last liveness signal; initially the creation time, also set by clear
	retransmissions int           // retransmitted packets since aliveAt
	retransmittedAt time.Duration // time of the last retransmission or refusal
	refusals        int           // refused handshakes since aliveAt
	trialAt         time.Duration // time of the last trial flow
	trials          int           // trial flows since aliveAt
}

// zone is the state of an availability zone.
type zone struct {
	aliveAt time.Duration // last liveness signal from any of its servers
	trialAt time.Duration // last trial flow to any of its servers
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

// finishHandshake removes the pending handshake that started at the given time.
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
	l.respondedAt, l.responded = now, true
	const overallSamples = 8 * responseSamples // number of recent responses that averageResponse covers
	m.averageResponse += (elapsed - m.averageResponse) / overallSamples
}

// expectedResponse returns the response time to expect of a server. Without recent samples it converges to the average
// of all servers.
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

// updateMean advances the average of outstanding requests to now.
func (l *load) updateMean(now time.Duration) {
	old := math.Exp(-float64(now-l.updatedAt) / float64(loadDecay))
	l.meanOutstanding = old*l.meanOutstanding + (1-old)*float64(l.outstanding)
	l.updatedAt = now
}

// Load is the load and liveness of one server, for logs and status.
type Load struct {
	// Outstanding and Open are the numbers of outstanding requests and open flows of this entry VM.
	Outstanding, Open int
	// ResponseTime is the average over recent responses; 0 if there was none.
	ResponseTime time.Duration
	// Failures is the number of unanswered packets and refused handshakes since the last liveness signal. Unanswered
	// packets no longer count if the next failure follows more than 2 s later.
	Failures int
	// SinceResponse is the time since the last liveness signal: an accepted handshake or a response. It also starts
	// at 0 when the server is first observed or picked, and after ClearSuspicion.
	SinceResponse time.Duration
}

// Load returns the load of a server; it is zero if nothing was observed.
func (m *Model) Load(now time.Duration, token uint32) Load {
	l := m.loads[token]
	if l == nil {
		return Load{}
	}
	return Load{
		Outstanding: l.outstanding, Open: l.open, ResponseTime: l.responseTime, Failures: l.retransmissions + l.refusals,
		SinceResponse: now - l.aliveAt,
	}
}
