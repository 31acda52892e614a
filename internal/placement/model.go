package placement

import (
	"math"
	"slices"
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
	// lateFactor and lateMargin tell a handshake that takes too long from the average of all.
	lateFactor = 4
	lateMargin = 20 * time.Millisecond
	// deadRepeats and deadSilence are the evidence that a server is dead: packets that came again, and the time since
	// the last sign of life. Callers resend after 200 ms, so a live server answers several times within it.
	deadRepeats = 3
	deadSilence = 400 * time.Millisecond
	// repeatMemory is the time after which a packet that came again says nothing any more.
	repeatMemory = 2 * time.Second
	// aliveWithin is how recently another server must have answered, because all are silent when the own link is cut.
	aliveWithin = 250 * time.Millisecond
	// cutHosts is the number of silent servers of an availability zone that make all of it unreachable.
	cutHosts = 2
	// trialPeriod is the time between two flows to a server that is silent.
	trialPeriod = time.Second
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
	// Hash chooses by the hash of the flow alone, as a baseline for measurements.
	Hash bool
	// Silent is called when a server becomes suspected or answers again; it may be nil.
	Silent func(now time.Duration, token uint32, silent bool)

	loads     map[uint32]*load
	zones     map[string]*zone
	average   time.Duration // answer time of all servers
	handshake time.Duration // time of a handshake
}

// Flow is what a choice depends on besides the servers.
type Flow struct {
	// Hash is the hash of the flow.
	Hash uint64
	// Goal is the response time that callers of the route expect.
	Goal time.Duration
	// Tried are servers that have not answered the caller lately.
	Tried []uint32
}

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
	dead        bool
	tested      time.Duration // time of the last packet that went to it while it was dead
}

// zone is what is known of an availability zone.
type zone struct {
	alive time.Duration // last sign of life of any server in it
	trial time.Duration // last trial flow to any server in it
}

// Observe adds what a packet told about a server.
func (m *Model) Observe(now time.Duration, e signal.Event) {
	l := m.load(now, e.Host)
	l.advance(now)
	switch e.Kind {
	case signal.Opened:
		l.open++
		l.pending = append(l.pending, now)
	case signal.Joined:
		l.open++
	case signal.Closed:
		l.open = max(0, l.open-1)
	case signal.Requested:
		l.outstanding++
	case signal.Accepted:
		l.settle(now - e.Elapsed)
		m.sign(now, e.Host, l)
		if m.handshake == 0 {
			m.handshake = e.Elapsed
		}
		m.handshake += (e.Elapsed - m.handshake) / answerSamples
	case signal.Answered:
		l.outstanding = max(0, l.outstanding-1)
		m.sign(now, e.Host, l)
		if e.Elapsed > 0 {
			m.sample(now, l, e.Elapsed)
		}
	case signal.Abandoned:
		l.outstanding = max(0, l.outstanding-1)
	case signal.Refused:
		l.settle(now - e.Elapsed)
		m.missed(now, e, l, &l.refusals)
	case signal.Unanswered:
		l.settle(now - e.Elapsed)
		m.missed(now, e, l, &l.repeats)
	case signal.Repeated:
		m.missed(now, e, l, &l.repeats)
	}
}

// missed counts a packet that a server did not answer.
func (m *Model) missed(now time.Duration, e signal.Event, l *load, count *int) {
	if now-e.Elapsed < l.alive { // It answered something since the packet was first sent.
		return
	}
	if now-l.repeated > repeatMemory {
		l.repeats = 0
	}
	before := l.repeats + l.refusals
	*count++
	l.repeated = now
	if before == 0 && m.Silent != nil {
		m.Silent(now, e.Host, true)
	}
}

// Forget drops a lifetime that is gone.
func (m *Model) Forget(token uint32) { delete(m.loads, token) }

// Pick returns the server for a new flow, or nil with the reason why there is none.
func (m *Model) Pick(now time.Duration, hosts []*register.Lifetime, f Flow) (*register.Lifetime, string) {
	cut := m.cut(now, hosts)
	var best *register.Lifetime
	lowest := math.Inf(1)
	for _, h := range hosts {
		l := m.load(now, h.Token)
		if l.zone == nil {
			l.zone = m.zone(h.AvailabilityZone)
		}
		cost := m.cost(now, h, l, f)
		if cut[h.AvailabilityZone] && now-l.zone.trial < trialPeriod {
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
		return nil, NoHost
	}
	if l := m.loads[best.Token]; l.suspected() {
		l.trial, l.zone.trial = now, now
	}
	return best, ""
}

// cut returns the availability zones in which several servers are silent while others answer.
func (m *Model) cut(now time.Duration, hosts []*register.Lifetime) map[string]bool {
	var silent map[string]int
	for _, h := range hosts {
		l := m.loads[h.Token]
		if l == nil || l.zone == nil || l.repeats == 0 || l.repeated < l.zone.alive {
			continue
		}
		if silent == nil {
			silent = map[string]int{}
		}
		silent[h.AvailabilityZone]++
	}
	var cut map[string]bool
	for name, n := range silent {
		if n >= cutHosts && m.answersElsewhere(now, name) {
			if cut == nil {
				cut = map[string]bool{}
			}
			cut[name] = true
		}
	}
	return cut
}

// answersElsewhere reports whether a server outside of the availability zone answered just now.
func (m *Model) answersElsewhere(now time.Duration, name string) bool {
	for other, z := range m.zones {
		if other != name && now-z.alive < aliveWithin {
			return true
		}
	}
	return false
}

// Dead reports whether a server was silent for so long, while others answered, that its flows are lost. It stays dead
// until any sign of life.
func (m *Model) Dead(now time.Duration, token uint32) bool {
	l := m.loads[token]
	if l == nil {
		return false
	}
	if !l.dead && l.repeats >= deadRepeats && now-l.alive >= deadSilence && now-l.repeated <= repeatMemory {
		for other, o := range m.loads {
			if other != token && o.alive > 0 && now-o.alive < aliveWithin {
				l.dead, l.tested = true, now
				break
			}
		}
	}
	return l.dead
}

// Test reports whether a packet of an open flow is to go to a dead server, to see whether it answers again.
func (m *Model) Test(now time.Duration, token uint32) bool {
	l := m.loads[token]
	if l == nil || now-l.tested < trialPeriod {
		return false
	}
	l.tested = now
	return true
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
	if l.suspected() && m.Silent != nil {
		m.Silent(now, token, false)
	}
	l.alive, l.repeats, l.refusals, l.dead = now, 0, 0, false
	if l.zone != nil {
		l.zone.alive = now
	}
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

func (l *load) suspected() bool { return l.repeats+l.refusals > 0 }

// settle ends the handshake that started at the given time.
func (l *load) settle(started time.Duration) {
	if i := slices.Index(l.pending, started); i >= 0 {
		l.pending = slices.Delete(l.pending, i, i+1)
	}
}

// late reports whether a handshake takes so long that the server may have refused it.
func (m *Model) late(now time.Duration, l *load) bool {
	return len(l.pending) > 0 && l.alive < l.pending[0] && now-l.pending[0] > lateFactor*m.handshake+lateMargin
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

// unusable is the cost of a server that gets a flow only when there is no other.
const unusable = float64(time.Hour)

func (m *Model) cost(now time.Duration, h *register.Lifetime, l *load, f Flow) float64 {
	random := mix(f.Hash, h.Token)
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
	cost *= 1 + float64(l.outstanding) + float64(len(l.pending)) + l.mean
	cost *= 1 + spread*random
	if h.AvailabilityZone != m.AvailabilityZone {
		cost += max(awayShare*float64(f.Goal), float64(minAway))
	}
	if m.late(now, l) || l.suspected() && now-max(l.trial, l.repeated) < trialPeriod {
		cost += unusable
	}
	return cost
}

// advance brings the average of outstanding requests up to now.
func (l *load) advance(now time.Duration) {
	old := math.Exp(-float64(now-l.changed) / float64(loadMemory))
	l.mean = old*l.mean + (1-old)*float64(l.outstanding)
	l.changed = now
}

// mix returns a number between 0 and 1 from the hash of a flow and a token.
func mix(hash uint64, token uint32) float64 {
	x := (hash ^ uint64(token)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	x ^= x >> 29
	return float64(x>>11) / (1 << 53)
}
