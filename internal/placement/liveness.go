package placement

import (
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/registry"
)

const (
	// A handshake is overdue after overdueFactor times the average handshake plus overdueMargin.
	overdueFactor = 4
	overdueMargin = 20 * time.Millisecond
	// suspicionRetention is the time after which earlier retransmissions no longer count.
	suspicionRetention = 2 * time.Second
	// aliveWindow is how recently another server must have responded for a server or zone to be considered down.
	aliveWindow = 250 * time.Millisecond
	// minUnreachableHosts is the number of unresponsive servers that make a whole availability zone unreachable.
	minUnreachableHosts = 2
	// trialInterval is the time between two trial flows to a suspected server. It doubles with each failed trial, at most
	// maxTrialDoublings times.
	trialInterval     = time.Second
	maxTrialDoublings = 2
)

// recordFailure increments count for a packet that a server refused or did not answer.
func (m *Model) recordFailure(now time.Duration, e flowevent.Event, l *load, count *int) {
	if now-e.Elapsed < l.aliveAt { // The server has responded since the packet was first sent.
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
	if l.suspected() {
		m.beginPace(now, token, PaceRecovered)
		if m.SuspicionChanged != nil {
			m.SuspicionChanged(now, token, false)
		}
	}
	l.clear(now)
	if l.zone != nil {
		l.zone.aliveAt = now
	}
}

func (l *load) suspected() bool { return l.retransmissions+l.refusals > 0 }

// backingOff reports whether a suspected server must not receive a flow yet. A flow that was already delayed by another
// server is not used as a trial, because its caller would have to wait for yet another retransmission of the SYN.
func (l *load) backingOff(now time.Duration, f *Flow) bool {
	if !l.suspected() {
		return false
	}
	return len(f.Tried) > 0 || now-max(l.trialAt, l.retransmittedAt) < trialInterval<<min(l.trials, maxTrialDoublings)
}

// ClearSuspicion resets the failures of a server. It is called when the server is listed again after its entry was
// removed, because earlier failures do not apply to it any longer.
func (m *Model) ClearSuspicion(now time.Duration, token uint32) {
	if l := m.loads[token]; l != nil {
		l.clear(now)
	}
}

func (l *load) clear(now time.Duration) {
	l.aliveAt, l.retransmissions, l.refusals, l.trials = now, 0, 0, 0
}

// handshakeOverdue reports whether the oldest pending handshake takes so long that the server may have refused it.
func (m *Model) handshakeOverdue(now time.Duration, l *load) bool {
	return len(l.pending) > 0 && l.aliveAt < l.pending[0] &&
		now-l.pending[0] > overdueFactor*m.averageHandshake+overdueMargin
}

// unreachableZones returns the availability zones in which several servers are unresponsive while servers in other
// zones respond.
func (m *Model) unreachableZones(now time.Duration, hosts []*registry.Lifetime) map[string]bool {
	var unresponsive map[string]int
	for _, h := range hosts {
		l := m.loads[h.Token]
		if l == nil || l.zone == nil || l.retransmissions == 0 || l.retransmittedAt < l.zone.aliveAt {
			continue
		}
		if unresponsive == nil {
			unresponsive = map[string]int{}
		}
		unresponsive[h.AvailabilityZone]++
	}
	var unreachable map[string]bool
	for name, n := range unresponsive {
		if n >= minUnreachableHosts && m.otherZoneAlive(now, name) {
			if unreachable == nil {
				unreachable = map[string]bool{}
			}
			unreachable[name] = true
		}
	}
	return unreachable
}

// otherZoneAlive reports whether a server outside the availability zone has responded within aliveWindow.
func (m *Model) otherZoneAlive(now time.Duration, name string) bool {
	for other, z := range m.zones {
		if other != name && now-z.aliveAt < aliveWindow {
			return true
		}
	}
	return false
}
