package placement

import (
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/registry"
)

const (
	// overdueFactor and lateMargin tell a handshake that takes too long from the average of all.
	overdueFactor = 4
	overdueMargin = 20 * time.Millisecond
	// deadRetransmissions and deadSilence are the evidence that a server is dead: packets that came again, and the time since
	// the last sign of life. Callers resend after 200 ms, so a live server answers several times within it.
	deadRetransmissions = 3
	deadTimeout         = 400 * time.Millisecond
	// suspicionRetention is the time after which a packet that came again says nothing any more.
	suspicionRetention = 2 * time.Second
	// aliveWindow is how recently another server must have answered, because all are silent when the own link is cut.
	aliveWindow = 250 * time.Millisecond
	// minUnreachableHosts is the number of silent servers of an availability zone that make all of it unreachable.
	minUnreachableHosts = 2
	// trialInterval is the time between two flows to a server that is silent. It doubles with each trial that fails, maxBackoff
	// times at most.
	trialInterval     = time.Second
	maxTrialDoublings = 2
)

// recordFailure counts a packet that a server did not answer.
func (m *Model) recordFailure(now time.Duration, e flowevent.Event, l *load, count *int) {
	if now-e.Elapsed < l.aliveAt { // It answered something since the packet was first sent.
		return
	}
	if now-l.retransmittedAt > suspicionRetention {
		l.retransmissions = 0
	}
	before := l.retransmissions + l.refusals
	*count++
	l.retransmittedAt = now
	if before == 0 && m.SuspicionChanged != nil {
		m.SuspicionChanged(now, e.Host, true)
	}
}

func (m *Model) markAlive(now time.Duration, token uint32, l *load) {
	if l.suspected() && m.SuspicionChanged != nil {
		m.SuspicionChanged(now, token, false)
	}
	l.reset(now)
	if l.zone != nil {
		l.zone.aliveAt = now
	}
}

func (l *load) suspected() bool { return l.retransmissions+l.refusals > 0 }

// backingOff reports whether a suspected server gets no flow yet. A flow that another server has already kept waiting is no
// trial: its caller would wait for the next copy of the SYN.
func (l *load) backingOff(now time.Duration, f *Flow) bool {
	if !l.suspected() {
		return false
	}
	return len(f.Tried) > 0 || now-max(l.trialAt, l.retransmittedAt) < trialInterval<<min(l.trials, maxTrialDoublings)
}

// ClearSuspicion takes note that a server was listed again after its entry had vanished. What was missed before says nothing of
// it any more.
func (m *Model) ClearSuspicion(now time.Duration, token uint32) {
	if l := m.loads[token]; l != nil {
		l.reset(now)
	}
}

func (l *load) reset(now time.Duration) {
	l.aliveAt, l.retransmissions, l.refusals, l.trials, l.dead = now, 0, 0, 0, false
}

// handshakeOverdue reports whether a handshake takes so long that the server may have refused it.
func (m *Model) handshakeOverdue(now time.Duration, l *load) bool {
	return len(l.pending) > 0 && l.aliveAt < l.pending[0] && now-l.pending[0] > overdueFactor*m.averageHandshake+overdueMargin
}

// unreachableZones returns the availability zones in which several servers are silent while others answer.
func (m *Model) unreachableZones(now time.Duration, hosts []*registry.Lifetime) map[string]bool {
	var silent map[string]int
	for _, h := range hosts {
		l := m.loads[h.Token]
		if l == nil || l.zone == nil || l.retransmissions == 0 || l.retransmittedAt < l.zone.aliveAt {
			continue
		}
		if silent == nil {
			silent = map[string]int{}
		}
		silent[h.AvailabilityZone]++
	}
	var cut map[string]bool
	for name, n := range silent {
		if n >= minUnreachableHosts && m.otherZoneAlive(now, name) {
			if cut == nil {
				cut = map[string]bool{}
			}
			cut[name] = true
		}
	}
	return cut
}

// otherZoneAlive reports whether a server outside of the availability zone answered just now.
func (m *Model) otherZoneAlive(now time.Duration, name string) bool {
	for other, z := range m.zones {
		if other != name && now-z.aliveAt < aliveWindow {
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
	if !l.dead && l.retransmissions >= deadRetransmissions && now-l.aliveAt >= deadTimeout && now-l.retransmittedAt <= suspicionRetention {
		for other, o := range m.loads {
			if other != token && o.aliveAt > 0 && now-o.aliveAt < aliveWindow {
				l.dead, l.probedAt = true, now
				break
			}
		}
	}
	return l.dead
}

// AllowProbe reports whether a packet of an open flow is to go to a dead server, to see whether it answers again.
func (m *Model) AllowProbe(now time.Duration, token uint32) bool {
	l := m.loads[token]
	if l == nil || now-l.probedAt < trialInterval {
		return false
	}
	l.probedAt = now
	return true
}
