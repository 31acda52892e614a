package coldstart

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// settlePeriod is how long no cold server is used after the start and after the members have changed much. News of a
	// member takes less time to reach all others.
	settlePeriod = 3 * time.Second
	// retention is how long a member that is not active any longer keeps its share, because it may still forward packets.
	retention = 60 * time.Second
	// maxGrowth is the growth of the number of members after which the settle period starts again. The overage of the
	// bound covers twice as much.
	maxGrowth = 1.25
	// window is the period in which the SYNs of a server are counted.
	window = time.Second
)

// Limiter decides whether this entry VM may send a SYN to a cold server. Before the first call of SetMembers, it allows
// none.
type Limiter struct {
	// Self is the name of this entry VM.
	Self string
	// Unreached is the number of entry VMs that this one was told to join through and that have not been members yet. They
	// may be in another part of a divided network. A change takes effect with the next call of SetMembers.
	Unreached int

	members   map[string]*member
	quorum    bool          // whether more than half of the members and of the entry VMs not reached are active
	settled   time.Duration // end of the settle period
	reference int           // number of members at the start of the settle period or the smallest number since
	expiry    time.Duration // when the next member may be removed
	servers   map[uint32]*server
}

// member is an entry VM that is active or was recently.
type member struct {
	hash   uint64
	active bool
	left   bool          // whether it announced that it leaves
	since  time.Duration // when it ceased to be active
}

// server is the state of one cold server.
type server struct {
	sent   []time.Duration // times of the SYNs of the last period, oldest first
	period time.Duration   // in which the SYNs are counted
	score  uint64          // of this entry VM
	rank   int             // number of members with a greater score
}

// SetMembers sets the active entry VMs of all availability zones, including this one.
func (l *Limiter) SetMembers(now time.Duration, names []string) {
	if l.members == nil {
		l.members, l.servers = map[string]*member{}, map[uint32]*server{}
		l.settled = now + settlePeriod
	}
	for _, m := range l.members {
		if m.active {
			m.active, m.since = false, now
		}
	}
	for _, name := range append([]string{l.Self}, names...) {
		m := l.members[name]
		if m == nil {
			m = &member{hash: xxhash.Sum64String(name)}
			l.members[name] = m
			l.shiftRanks(m, 1)
		}
		m.active, m.left = true, false
	}
	l.update(now)
}

// Leave records that a member announced its end. It keeps its share for the retention period like any other, and does
// not count as a member that may be in another part of a divided network.
func (l *Limiter) Leave(now time.Duration, name string) {
	m := l.members[name]
	if m == nil || name == l.Self {
		return
	}
	if m.active {
		m.active, m.since = false, now
	}
	m.left = true
	l.update(now)
}

// Resume must be called after a pause of the process. The members may have changed meanwhile.
func (l *Limiter) Resume(now time.Duration) { l.settled = max(l.settled, now+settlePeriod) }

// update applies the rules about the members after a change or the end of a retention period.
func (l *Limiter) update(now time.Duration) {
	active, counted := 0, l.Unreached
	for _, m := range l.members {
		if m.active {
			active++
		}
		if !m.left {
			counted++
		}
	}
	quorum := 2*active > counted
	if quorum && !l.quorum {
		// The absence of a member is known only from now on: the other part of a divided network may return gradually.
		for _, m := range l.members {
			if !m.active {
				m.since = now
			}
		}
		l.settled = max(l.settled, now+settlePeriod)
	}
	l.quorum = quorum
	l.expiry = math.MaxInt64
	for name, m := range l.members {
		switch {
		case m.active || !quorum && !m.left:
		case now-m.since >= retention:
			delete(l.members, name)
			l.shiftRanks(m, -1)
		default:
			l.expiry = min(l.expiry, m.since+retention)
		}
	}
	if n := len(l.members); float64(n) > maxGrowth*float64(l.reference) {
		l.reference, l.settled = n, now+settlePeriod
	} else {
		l.reference = min(l.reference, n)
	}
}

// Allow reports whether a SYN may be sent to a cold server whose service bears rate SYNs per second.
func (l *Limiter) Allow(now time.Duration, token uint32, rate float64) bool {
	if l.members == nil || !(rate > 0) { // The negation also catches NaN.
		return false
	}
	if now >= l.expiry {
		l.update(now)
	}
	if !l.quorum || now < l.settled {
		return false
	}
	s := l.server(token)
	selected := int(min(max(rate, 1), float64(len(l.members))))
	if s.rank >= selected {
		return false
	}
	share, period := rate/float64(selected), window
	if share < 1 {
		share, period = 1, time.Duration(min(float64(window)/share, float64(math.MaxInt64/2)))
	}
	s.period = period
	n := 0
	for i := len(s.sent) - 1; i >= 0 && now-s.sent[i] <= period; i-- {
		n++
	}
	return n+1 <= int(min(share, math.MaxInt32))
}

// Record records that a SYN was sent to a cold server.
func (l *Limiter) Record(now time.Duration, token uint32) {
	if l.members == nil {
		return
	}
	s := l.server(token)
	s.sent = append(slices.DeleteFunc(s.sent, func(at time.Duration) bool { return now-at > s.period }), now)
}

// Forget removes the state of a server whose token is no longer in use.
func (l *Limiter) Forget(token uint32) { delete(l.servers, token) }

func (l *Limiter) server(token uint32) *server {
	s := l.servers[token]
	if s == nil {
		s = &server{period: window, score: score(token, l.members[l.Self].hash)}
		for _, m := range l.members {
			if score(token, m.hash) > s.score {
				s.rank++
			}
		}
		l.servers[token] = s
	}
	return s
}

// shiftRanks adds n to the ranks of the servers for which a member has a greater score than this entry VM.
func (l *Limiter) shiftRanks(m *member, n int) {
	for token, s := range l.servers {
		if score(token, m.hash) > s.score {
			s.rank += n
		}
	}
}

// score returns the rendezvous score of a member for a server.
func score(token uint32, name uint64) uint64 {
	var b [12]byte
	binary.LittleEndian.PutUint32(b[:], token)
	binary.LittleEndian.PutUint64(b[4:], name)
	return xxhash.Sum64(b[:])
}
