package placement

import (
	"math"
	"slices"
	"time"
)

type load struct {
	zone        *zone
	pending     []time.Duration // starts of handshakes
	outstanding int
	open        int
	mean        float64 // outstanding requests, averaged over loadMemory
	changed     time.Duration
	answer      time.Duration // average of recent answers
	answered    time.Duration // time of the last answer
	alive       time.Duration // time of the last sign of life
	repeats     int           // packets that came again since then
	repeated    time.Duration // time of the last of them
	refusals    int           // handshakes that were refused since then
	trial       time.Duration // time of the last trial flow
	trials      int           // trial flows since the last sign of life
	dead        bool
	tested      time.Duration // time of the last packet that went to it while it was dead
}

// zone is what is known of an availability zone.
type zone struct {
	alive time.Duration // last sign of life of any server in it
	trial time.Duration // last trial flow to any server in it
}

func (m *Model) load(now time.Duration, token uint32) *load {
	l := m.loads[token]
	if l == nil {
		if m.loads == nil {
			m.loads = map[uint32]*load{}
		}
		l = &load{changed: now, alive: now}
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

// settle ends the handshake that started at the given time.
func (l *load) settle(started time.Duration) {
	if i := slices.Index(l.pending, started); i >= 0 {
		l.pending = slices.Delete(l.pending, i, i+1)
	}
}

func (m *Model) sample(now time.Duration, l *load, elapsed time.Duration) {
	if m.average == 0 {
		m.average = elapsed
	}
	l.answer = m.expected(now, l)
	l.answer += (elapsed - l.answer) / answerSamples
	l.answered = now
	const all = 8 * answerSamples
	m.average += (elapsed - m.average) / all
}

// expected returns the answer time of a server; without recent samples it moves to the average of all.
func (m *Model) expected(now time.Duration, l *load) time.Duration {
	average := m.average
	if average == 0 {
		average = defaultAnswer
	}
	if l.answer == 0 {
		return average
	}
	old := math.Exp(-float64(now-l.answered) / float64(answerMemory))
	return average + time.Duration(old*float64(l.answer-average))
}

// advance brings the average of outstanding requests up to now.
func (l *load) advance(now time.Duration) {
	old := math.Exp(-float64(now-l.changed) / float64(loadMemory))
	l.mean = old*l.mean + (1-old)*float64(l.outstanding)
	l.changed = now
}

// Load is what is known of one server, for logs and status.
type Load struct {
	// Outstanding and Open are the requests at work and the open flows as seen here.
	Outstanding, Open int
	// Answer is the average time of recent answers; zero when there was none.
	Answer time.Duration
	// Repeats is the number of packets that the server did not answer since its last sign of life.
	Repeats int
	// Silence is the time since the last sign of life.
	Silence time.Duration
}

// Load returns what is known of a server.
func (m *Model) Load(now time.Duration, token uint32) Load {
	l := m.loads[token]
	if l == nil {
		return Load{}
	}
	return Load{Outstanding: l.outstanding, Open: l.open, Answer: l.answer, Repeats: l.repeats + l.refusals, Silence: now - l.alive}
}
