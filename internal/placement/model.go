package placement

import (
	"math"
	"time"

	"github.com/masticspar/masticspar/internal/register"
	"github.com/masticspar/masticspar/internal/signal"
)

// Refusals of Pick; their text is the reason in the name of the refusal counter.
const (
	NoHost = "no-host"
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
	// suspectFactor raises the cost of a server for each packet that it did not answer.
	suspectFactor = 4
	// deadRepeats and deadSilence are the evidence that a server is dead: packets that came again, and the time since
	// the last sign of life. Callers resend after 200 ms, so a live server answers several times within it.
	deadRepeats = 4
	deadSilence = 450 * time.Millisecond
	// aliveWithin is how recently another server must have answered, because all are silent when the own link is cut.
	aliveWithin = 200 * time.Millisecond
	// trialPeriod is the time between two flows to a server that is silent.
	trialPeriod = time.Second
	// spread is the part of the cost that differs at random between flows, so that entry VMs do not all choose alike.
	spread = 0.1
)

// Model holds what the packets told about each lifetime; the zero value is ready for use.
type Model struct {
	// AvailabilityZone is the zone of this entry VM.
	AvailabilityZone string
	// Away is the additional cost of a server in another availability zone.
	Away time.Duration
	// Hash chooses by the hash of the flow alone, as a baseline for measurements.
	Hash bool
	// Silent is called when a server becomes suspected or answers again; it may be nil.
	Silent func(now time.Duration, token uint32, silent bool)

	loads   map[uint32]*load
	average time.Duration // answer time of all servers
	alive   time.Duration // last answer of any server
	second  time.Duration // last answer of a server other than the one of alive
	last    uint32        // server of alive
}

type load struct {
	outstanding int
	open        int
	mean        float64 // outstanding requests, averaged over loadMemory
	changed     time.Duration
	answer      time.Duration // average of recent answers
	answered    time.Duration // time of the last answer
	alive       time.Duration // time of the last sign of life
	repeats     int           // packets that came again since then
	flows       int           // SYNs among them
	trial       time.Duration // time of the last trial flow
}

// Observe adds what a packet told about a server.
func (m *Model) Observe(now time.Duration, e signal.Event) {
	l := m.load(now, e.Host)
	l.advance(now)
	switch e.Kind {
	case signal.Opened:
		l.open++
	case signal.Closed:
		l.open = max(0, l.open-1)
	case signal.Requested:
		l.outstanding++
	case signal.Accepted:
		m.sign(now, e.Host, l)
	case signal.Answered:
		l.outstanding = max(0, l.outstanding-1)
		m.sign(now, e.Host, l)
		if e.Elapsed > 0 {
			m.sample(now, l, e.Elapsed)
		}
	case signal.Abandoned:
		l.outstanding = max(0, l.outstanding-1)
	case signal.Unanswered, signal.Repeated:
		if now-e.Elapsed < l.alive { // It answered something since the packet was first sent.
			return
		}
		l.repeats++
		if e.Kind == signal.Unanswered {
			l.flows++
		}
		if l.repeats == 1 && m.Silent != nil {
			m.Silent(now, e.Host, true)
		}
	}
}

// Forget drops a lifetime that is gone.
func (m *Model) Forget(token uint32) { delete(m.loads, token) }

// Pick returns the server for a new flow, or nil with the reason why there is none. Tried servers have not answered
// the SYN of this flow. Hash is the hash of the flow.
func (m *Model) Pick(now time.Duration, hosts []*register.Lifetime, hash uint64, tried []uint32) (*register.Lifetime, string) {
	var best *register.Lifetime
	var bestLoad *load
	lowest := math.Inf(1)
	for _, h := range hosts {
		if contains(tried, h.Token) {
			continue
		}
		l := m.load(now, h.Token)
		cost := m.cost(now, h, l, mix(hash, h.Token))
		if cost < lowest {
			best, bestLoad, lowest = h, l, cost
		}
	}
	if best == nil {
		if len(hosts) > 0 { // All were tried; one of them may have lost the packet.
			return m.Pick(now, hosts, hash, nil)
		}
		return nil, NoHost
	}
	if bestLoad.repeats > 0 {
		bestLoad.trial = now
	}
	return best, ""
}

// Dead reports whether a server is silent for so long, while others answer, that its flows are lost.
func (m *Model) Dead(now time.Duration, token uint32) bool {
	l := m.loads[token]
	if l == nil || l.repeats < deadRepeats || now-l.alive < deadSilence {
		return false
	}
	other := m.alive
	if m.last == token {
		other = m.second
	}
	return now-other < aliveWithin
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
	return Load{Outstanding: l.outstanding, Open: l.open, Answer: l.answer, Repeats: l.repeats, Silence: now - l.alive}
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

func (m *Model) sign(now time.Duration, token uint32, l *load) {
	if l.repeats > 0 && m.Silent != nil {
		m.Silent(now, token, false)
	}
	l.alive, l.repeats, l.flows = now, 0, 0
	if m.last != token {
		m.second, m.last = m.alive, token
	}
	m.alive = now
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

func (m *Model) cost(now time.Duration, h *register.Lifetime, l *load, random float64) float64 {
	if m.Hash {
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
	cost *= 1 + float64(l.outstanding) + l.mean
	cost *= 1 + spread*random
	if h.AvailabilityZone != m.AvailabilityZone {
		cost += float64(m.Away)
	}
	if l.repeats > 0 {
		if l.trial == 0 || now-l.trial < trialPeriod || l.repeats > 1 && now-l.alive < trialPeriod {
			cost += float64(time.Minute)
		}
		cost *= suspectFactor
	}
	return cost
}

// advance brings the average of outstanding requests up to now.
func (l *load) advance(now time.Duration) {
	old := math.Exp(-float64(now-l.changed) / float64(loadMemory))
	l.mean = old*l.mean + (1-old)*float64(l.outstanding)
	l.changed = now
}

func contains(list []uint32, token uint32) bool {
	for _, t := range list {
		if t == token {
			return true
		}
	}
	return false
}

// mix returns a number between 0 and 1 from the hash of a flow and a token.
func mix(hash uint64, token uint32) float64 {
	x := (hash ^ uint64(token)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	x ^= x >> 29
	return float64(x>>11) / (1 << 53)
}
