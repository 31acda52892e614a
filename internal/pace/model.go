package pace

import (
	"math"
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
)

const (
	// initialRoom is the room right after Begin.
	initialRoom = 0.25
	// minRoom and maxRoom bound the room. Even a room of minRoom gets a request from time to time.
	minRoom, maxRoom = 1.0 / 16, 8
	// promptFactor is the multiple of the usual response time within which an answer increases the room. Servers and
	// requests differ by about this factor.
	promptFactor = 2
	// slowFactor is the multiple of the usual response time from which an answer reduces the room.
	slowFactor = 3
	// failureFactor is the reduction of the room by a refusal or silence.
	failureFactor = 4
	// The room doubles in minRecovery after the start, and in twice the time after each reduction, up to maxRecovery.
	minRecovery, maxRecovery = time.Second, 8 * time.Second
	maxDoublings             = 10
	// stablePeriod is how long a server must be without slow answers and failures until its pace ends. The period is
	// longer for a server whose reductions lasted for more than stableFactor times this period.
	stablePeriod = 5 * time.Second
	stableFactor = 2
	// minPrompt is the number of prompt answers after the last reduction without which a pace does not end before
	// maxDuration.
	minPrompt = 4
	// maxDuration is how long slow answers alone keep the pace. The usual response time may be wrong.
	maxDuration = 2 * time.Minute
	// failureWindow is the time after a failure within which further failures count as recent.
	failureWindow = 30 * time.Second
	// maxRecentFailures is the number of recent failures that reduce the room at the next Begin.
	maxRecentFailures = 3
	// historySamples is the number of recent answers that the usual response time of a server covers.
	historySamples = 32
)

// Model holds the pace of each server. The zero value is ready for use.
type Model struct {
	// Changed is called when the pace of a server starts and ends; it may be nil.
	Changed func(now time.Duration, token uint32, c Change)

	servers map[uint32]*server
	limited int // servers with a limit
}

// Change is the start or the end of the pace of a server.
type Change struct {
	// Started reports whether the pace started.
	Started bool
	// Reason is the reason that was passed to Begin.
	Reason string
	// Room is the room at the start or the end.
	Room float64
	// Duration is how long the pace lasted; 0 at the start.
	Duration time.Duration
}

type server struct {
	limited        bool
	reason         string
	began          time.Duration
	room           float64       // at the time changed
	changed        time.Duration // last change of room
	reduced        time.Duration // last reduction, or began
	held           time.Duration // the room does not grow with time alone before
	failed         time.Duration // last failure
	prompt         int           // prompt answers since the last reduction
	reductions     int           // reductions since Begin
	recentFailures int           // failures after the first one, each within failureWindow of the one before
	failures       bool          // whether there was a failure
	usual          time.Duration // average response time without a limit; 0 before the first answer
	recovery       time.Duration // time in which the room doubles
}

// Begin starts the pace of a server, or takes the room of a server whose pace has not ended back to that of a start.
func (m *Model) Begin(now time.Duration, token uint32, reason string) {
	s := m.server(token)
	room := initialRoom
	if s.failures && now-s.failed < failureWindow {
		room = max(minRoom, initialRoom/float64(int(1)<<min(s.recentFailures, maxRecentFailures)))
	}
	if s.limited {
		s.setRoom(now, min(s.at(now), room))
		s.reason, s.recovery = reason, s.doubling(now)
		return
	}
	s.limited, s.reason, s.began, s.reduced, s.prompt, s.reductions = true, reason, now, now, 0, 0
	s.recovery = s.doubling(now)
	s.setRoom(now, room)
	m.limited++
	m.report(now, token, Change{Started: true, Reason: reason, Room: room})
}

// Hold keeps the room of a server from growing with time alone until a point in time. It is called for a server that is
// known to be slow until then: it gets few requests, unless its answers are prompt.
func (m *Model) Hold(now time.Duration, token uint32, until time.Duration) {
	if s := m.servers[token]; s != nil && s.limited {
		s.setRoom(now, min(s.at(now), minRoom))
		s.held = until
	}
}

// Observe updates the pace from an event of a server. typical is the response time of other servers; 0 if unknown.
func (m *Model) Observe(now time.Duration, e flowevent.Event, typical time.Duration) {
	switch e.Kind {
	case flowevent.Answered:
		if e.Elapsed > 0 {
			m.answered(now, e, typical)
		}
	case flowevent.Refused, flowevent.Unanswered, flowevent.Repeated:
		s := m.server(e.Host)
		if s.limited && now-e.Elapsed < s.reduced {
			return // The packet was sent before the reduction.
		}
		switch {
		case !s.failures || now-s.failed >= failureWindow:
			s.recentFailures = 0
		case now-e.Elapsed >= s.failed:
			s.recentFailures++
		}
		s.failures, s.failed = true, now
		if s.limited {
			s.reduce(now, 1.0/failureFactor)
		}
	}
}

func (m *Model) answered(now time.Duration, e flowevent.Event, typical time.Duration) {
	s := m.server(e.Host)
	if !s.limited {
		if s.usual == 0 {
			s.usual = e.Elapsed
		}
		s.usual += (e.Elapsed - s.usual) / historySamples
		return
	}
	usual := max(typical, s.usual)
	switch {
	case usual == 0 || e.Elapsed <= promptFactor*usual:
		s.setRoom(now, min(2*s.at(now), maxRoom))
		s.prompt++
	case e.Elapsed > slowFactor*usual && now-e.Elapsed >= s.reduced:
		s.reduce(now, promptFactor*float64(usual)/float64(e.Elapsed))
	}
	m.end(now, e.Host, s)
}

// reduce multiplies the room by a factor, starting from 1 if it is greater.
func (s *server) reduce(now time.Duration, factor float64) {
	s.setRoom(now, max(minRoom, min(1, s.at(now))*factor))
	s.reduced, s.prompt = now, 0
	if now >= s.held {
		s.reductions++
	}
	s.recovery = s.doubling(now)
}

// doubling returns the time in which the room doubles.
func (s *server) doubling(now time.Duration) time.Duration {
	n := s.reductions
	if s.failures && now-s.failed < failureWindow {
		n = max(n, s.recentFailures)
	}
	return min(minRecovery<<min(n, maxDoublings), maxRecovery)
}

func (s *server) setRoom(now time.Duration, room float64) { s.room, s.changed = room, now }

// at returns the room at a time. Time alone takes it up to 1, after the end of a hold from the room of a start.
func (s *server) at(now time.Duration) float64 {
	if s.room >= 1 {
		return s.room
	}
	room, since := s.room, s.changed
	if s.changed < s.held {
		if now < s.held {
			return s.room
		}
		room, since = max(s.room, initialRoom), s.held
	}
	return min(1, room*math.Exp2(float64(now-since)/float64(s.recovery)))
}

// end ends the pace of a server that has been without reductions for long enough.
func (m *Model) end(now time.Duration, token uint32, s *server) {
	stable := max(stablePeriod, (s.reduced-s.began)/stableFactor)
	expired := now-max(s.began, s.held) >= maxDuration && (!s.failures || now-s.failed >= failureWindow)
	if !s.limited || !expired && (now-s.reduced < stable || s.prompt < minPrompt || s.at(now) < 1) {
		return
	}
	s.limited = false
	m.limited--
	m.report(now, token, Change{Reason: s.reason, Room: s.at(now), Duration: now - s.began})
}

// Room returns the number of requests and handshakes that this entry VM may have outstanding at a server; +Inf means
// that there is no limit. A fraction is the share of cases in which one more is allowed.
func (m *Model) Room(now time.Duration, token uint32) float64 {
	s := m.servers[token]
	if s == nil || !s.limited {
		return math.Inf(1)
	}
	if m.end(now, token, s); !s.limited {
		return math.Inf(1)
	}
	return s.at(now)
}

// Status returns the room of a server after the last event, and the reason of its pace. limited reports whether the
// server has a limit.
func (m *Model) Status(token uint32) (room float64, reason string, limited bool) {
	if s := m.servers[token]; s != nil && s.limited {
		return s.room, s.reason, true
	}
	return math.Inf(1), "", false
}

// Len returns the number of servers with a limit.
func (m *Model) Len() int { return m.limited }

// Tick ends the paces of servers that receive no requests.
func (m *Model) Tick(now time.Duration) {
	if m.limited == 0 {
		return
	}
	for token, s := range m.servers {
		if s.limited {
			m.end(now, token, s)
		}
	}
}

// Forget removes the state of a server whose token is no longer in use.
func (m *Model) Forget(token uint32) {
	if s := m.servers[token]; s != nil && s.limited {
		m.limited--
	}
	delete(m.servers, token)
}

func (m *Model) server(token uint32) *server {
	s := m.servers[token]
	if s == nil {
		if m.servers == nil {
			m.servers = map[uint32]*server{}
		}
		s = &server{}
		m.servers[token] = s
	}
	return s
}

func (m *Model) report(now time.Duration, token uint32, c Change) {
	if m.Changed != nil {
		m.Changed(now, token, c)
	}
}
