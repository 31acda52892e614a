package placement

import (
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/registry"
)

const (
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
	// trialPeriod is the time between two flows to a server that is silent. It doubles with each trial that fails, maxBackoff
	// times at most.
	trialPeriod = time.Second
	maxBackoff  = 2
)

// missed counts a packet that a server did not answer.
func (m *Model) missed(now time.Duration, e flowevent.Event, l *load, count *int) {
	if now-e.Elapsed < l.alive { // It answered something since the packet was first sent.
		return
	}
	if now-l.repeated > repeatMemory {
		l.repeats = 0
	}
	before := l.repeats + l.refusals
	*count++
	l.repeated = now
	if before == 0 && m.SuspicionChanged != nil {
		m.SuspicionChanged(now, e.Host, true)
	}
}

func (m *Model) sign(now time.Duration, token uint32, l *load) {
	if l.suspected() && m.SuspicionChanged != nil {
		m.SuspicionChanged(now, token, false)
	}
	l.clear(now)
	if l.zone != nil {
		l.zone.alive = now
	}
}

func (l *load) suspected() bool { return l.repeats+l.refusals > 0 }

// resting reports whether a suspected server gets no flow yet. A flow that another server has already kept waiting is no
// trial: its caller would wait for the next copy of the SYN.
func (l *load) resting(now time.Duration, f *Flow) bool {
	if !l.suspected() {
		return false
	}
	return len(f.Tried) > 0 || now-max(l.trial, l.repeated) < trialPeriod<<min(l.trials, maxBackoff)
}

// Relisted takes note that a server was listed again after its entry had vanished. What was missed before says nothing of
// it any more.
func (m *Model) Relisted(now time.Duration, token uint32) {
	if l := m.loads[token]; l != nil {
		l.clear(now)
	}
}

func (l *load) clear(now time.Duration) {
	l.alive, l.repeats, l.refusals, l.trials, l.dead = now, 0, 0, 0, false
}

// late reports whether a handshake takes so long that the server may have refused it.
func (m *Model) late(now time.Duration, l *load) bool {
	return len(l.pending) > 0 && l.alive < l.pending[0] && now-l.pending[0] > lateFactor*m.handshake+lateMargin
}

// cut returns the availability zones in which several servers are silent while others answer.
func (m *Model) cut(now time.Duration, hosts []*registry.Lifetime) map[string]bool {
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

// AllowProbe reports whether a packet of an open flow is to go to a dead server, to see whether it answers again.
func (m *Model) AllowProbe(now time.Duration, token uint32) bool {
	l := m.loads[token]
	if l == nil || now-l.tested < trialPeriod {
		return false
	}
	l.tested = now
	return true
}
