package placement

import (
	"math"
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/pace"
	"github.com/masticspar/masticspar/internal/registry"
)

// Reasons for a pace.
const (
	PaceNew       = "new"       // first listed
	PaceRestarted = "restarted" // a later start of a server with the same name
	PaceRelisted  = "relisted"
	PaceReturned  = "returned" // its availability zone is no longer evacuated
	PaceRecovered = "recovered"
)

const (
	// typicalSamples is the number of recent responses that the typical response time of a service covers.
	typicalSamples = 48
	// minPaceCost is the least cost that is added to a server at the limit of its pace.
	minPaceCost = 100 * time.Millisecond
	// paceSalt makes the decision whether a flow may use a fraction of a room independent of the other choices that depend
	// on its hash.
	paceSalt = 0xd1b54a32d192ed03
)

// paces holds the pace of servers and the response time of the others.
type paces struct {
	pace.Model
	typical map[string]time.Duration // average response time of the servers of a service that have no pace
}

// BeginPace limits the outstanding requests of a server until its answers show that it bears more.
func (m *Model) BeginPace(now time.Duration, l *registry.Lifetime, reason string) {
	if m.HashOnly {
		return
	}
	s := m.load(now, l.Token)
	s.service, s.responded = l.Service, false
	m.beginPace(now, l.Token, reason)
	if now < l.ColdUntil {
		m.paces.Hold(now, l.Token, l.ColdUntil)
	}
}

func (m *Model) beginPace(now time.Duration, token uint32, reason string) {
	if m.HashOnly || m.noPaces {
		return
	}
	m.load(now, token).paced = true
	m.paces.Changed = m.PaceChanged
	m.paces.Begin(now, token, reason)
}

// PaceStatus returns the room of a server that has a pace, and the reason of the pace.
func (m *Model) PaceStatus(token uint32) (room float64, reason string, limited bool) {
	return m.paces.Status(token)
}

// Paced returns the number of servers that have a pace.
func (m *Model) Paced() int { return m.paces.Len() }

// observePace updates the pace of the server that the event names, and the typical response time of its service.
func (m *Model) observePace(now time.Duration, e flowevent.Event, l *load) {
	if m.HashOnly {
		return
	}
	typical, ok := m.paces.typical[l.service]
	m.paces.Observe(now, e, typical)
	if _, _, limited := m.paces.Status(e.Host); limited || e.Kind != flowevent.Answered || e.Elapsed == 0 {
		return
	}
	if !ok {
		typical = e.Elapsed
		if m.paces.typical == nil {
			m.paces.typical = map[string]time.Duration{}
		}
	}
	m.paces.typical[l.service] = typical + (e.Elapsed-typical)/typicalSamples
}

// paceCost returns the cost that is added to a server whose outstanding requests and handshakes reach its room. It is
// the target latency, so that the server is used when the others would be late.
func (m *Model) paceCost(now time.Duration, h *registry.Lifetime, l *load, f *Flow) float64 {
	if !l.paced {
		return 0
	}
	room := m.paces.Room(now, h.Token)
	if math.IsInf(room, 1) {
		l.paced = false
		return 0
	}
	whole, fraction := math.Modf(room)
	if hashFraction(f.Hash^paceSalt, h.Token) < fraction {
		whole++
	}
	if float64(l.outstanding+len(l.pending)) < whole {
		return 0
	}
	return float64(max(f.TargetLatency, minPaceCost))
}
