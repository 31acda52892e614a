package capacity

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/flowevent"
)

// Model holds the estimates that this entry VM and its owner groups have of hosts. The zero value works without peers.
// A Model is not safe for concurrent use.
type Model struct {
	// Self is the name of this entry VM.
	Self string
	// Incarnation is the start time of this process in ms; peers order reports by it and by the sequence number.
	Incarnation uint64
	// Epoch is the wall-clock time at which the timer service started; the age of a host is computed from it.
	Epoch time.Time
	// TrueCapacity returns the true capacity of a host in requests/s, which replaces the learned one; nil selects the
	// learned one. Measurements use it as the reference.
	TrueCapacity func(host string) float64

	services    map[uint32]*service
	hosts       map[uint32]*host // by ID
	hostsByHash map[uint32]*host // by reportHash; nil for hashes that collide
	members     map[string]*member
	ranked      []ranked // reused by Rank
	sequence    uint64   // of the last report
	lastTick    time.Duration
}

// Owner is a member of the owner group of a service.
type Owner struct {
	// Name is the name of the entry VM.
	Name string
	// Size is the weight of the entry VM in the group.
	Size float64
}

// Assignment is a service whose flows this entry VM may own.
type Assignment struct {
	// Service is the service in the fleet catalog.
	Service *fleet.Service
	// Owners is the owner group without dead and leaving members.
	Owners []Owner
}

type service struct {
	config  *fleet.Service
	owners  []Owner
	hosts   []*host // in the order of config.Hosts
	picks   float64 // decayed number of flows opened here
	learned bool    // the weights are in requests/s
}

type host struct {
	config      *fleet.Host
	hash        uint64 // of the name
	sendsTrials bool   // this entry VM sends the trial flows of the owner group
	owners      []Owner
	othersScale float64 // total size of the other owners divided by that of this entry VM

	// Observations of the flows of this entry VM.
	outstanding, open int
	advancedTo        time.Duration // time up to which busy is summed up
	handshake         time.Duration // shortest recent handshake
	picks             float64       // decayed number of flows opened here
	own               sums          // since the last report
	group             sums          // of the owner group since the last tick

	peers  []peerState
	others peerState // sums over peers with a valid report

	lostRequests
	estimate
	limit
	health
}

// sums are additive over entry VMs.
type sums struct {
	completions, failures int
	busy                  time.Duration // time integral of outstanding requests, less their network time
}

// peerState is the state of a host in the last report of a member.
type peerState struct {
	member                         *member
	sequence                       uint64  // of the last report that named the host
	outstanding, recentOutstanding float64 // recentOutstanding counts only reports of the last 1.5 s
	open                           int
	borrowed, offered              int
	grant
}

// member is another entry VM of an owner group.
type member struct {
	name                  string
	incarnation, sequence uint64
	receivedAt            time.Duration
	hosts                 []*host // named in the last report
	forgotten             bool    // dead or left; only the order of its reports is kept
}

type health struct {
	unhealthyUntil time.Duration // until then, less packet evidence makes the host bad
}

// healthLifetime is the time for which an unhealthy result has effect. It bounds the effect of a health endpoint that
// stops responding.
const healthLifetime = 10 * time.Second

// Configure replaces the services that this entry VM may own flows of. It is called after each change of the fleet
// catalog or of an owner group. The estimates of the remaining hosts are kept.
func (m *Model) Configure(now time.Duration, assignments []Assignment) {
	services, hosts := m.services, m.hosts
	m.services, m.hosts = map[uint32]*service{}, map[uint32]*host{}
	for _, a := range assignments {
		m.assign(now, a, services[a.Service.ID], hosts)
	}
	m.index()
}

// index rebuilds the map from the hashes in reports to hosts.
func (m *Model) index() {
	m.hostsByHash = make(map[uint32]*host, len(m.hosts))
	for _, h := range m.hosts {
		if _, collides := m.hostsByHash[h.reportHash()]; collides {
			m.hostsByHash[h.reportHash()] = nil
			continue
		}
		m.hostsByHash[h.reportHash()] = h
	}
}

// assign adds a service with its hosts. It keeps the picks of the previous state of the service, which may be nil, and
// the hosts that are in the map.
func (m *Model) assign(now time.Duration, a Assignment, previous *service, hosts map[uint32]*host) {
	st := &service{config: a.Service, owners: a.Owners}
	if previous != nil {
		st.picks, st.learned = previous.picks, previous.learned
	}
	for _, c := range a.Service.Hosts {
		h := hosts[c.ID]
		if h == nil {
			h = &host{hash: xxhash.Sum64String(c.Name), advancedTo: now}
			h.created = now
			h.progressAt = now
		}
		h.config, h.owners = c, a.Owners
		h.othersScale = 0
		if self := totalSize(a.Owners, "") - totalSize(a.Owners, m.Self); self > 0 {
			h.othersScale = totalSize(a.Owners, m.Self) / self
		}
		h.sendsTrials = m.ranksFirst(h, a.Owners)
		h.setShare(now, m.ownShare(c, a.Owners))
		st.hosts = append(st.hosts, h)
		m.hosts[c.ID] = h
	}
	m.services[a.Service.ID] = st
	m.updateWeights(now, st)
}

// service returns the state of s, and updates it when s is newer than the last Configure.
func (m *Model) service(now time.Duration, s *fleet.Service) *service {
	st := m.services[s.ID]
	if st != nil && st.config == s {
		return st
	}
	if m.services == nil {
		m.services, m.hosts = map[uint32]*service{}, map[uint32]*host{}
	}
	a := Assignment{Service: s}
	if st != nil {
		a.Owners = st.owners
	}
	m.assign(now, a, st, m.hosts)
	m.index()
	return m.services[s.ID]
}

// ranksFirst reports whether this entry VM ranks first for the host in its owner group.
func (m *Model) ranksFirst(h *host, owners []Owner) bool {
	first, best := m.Self, 0.0
	for _, o := range owners {
		if s := score(h.hash, xxhash.Sum64String(o.Name), o.Size); s > best {
			first, best = o.Name, s
		}
	}
	return first == m.Self
}

// Observe records an event of a flow to a host.
func (m *Model) Observe(now time.Duration, e flowevent.Event) {
	h := m.hosts[e.Host]
	if h == nil {
		return
	}
	switch e.Kind {
	case flowevent.Opened:
		h.open++
		h.picks++
		if st := m.services[e.Service]; st != nil {
			st.picks++
		}
	case flowevent.Closed:
		h.open = max(0, h.open-1)
	case flowevent.Accepted:
		if h.handshake == 0 || e.Elapsed < h.handshake {
			h.handshake = e.Elapsed
		}
	case flowevent.Refused, flowevent.Unanswered:
		h.fail(now)
	case flowevent.Requested:
		h.advance(now)
		if h.live()+h.others.recentOutstanding < stalledRequests {
			h.progressAt = now
		}
		h.outstanding++
	case flowevent.Answered:
		h.advance(now)
		h.outstanding = max(0, h.outstanding-1)
		h.own.completions++
		h.group.completions++
		// Network time is not work of the host, and would hide the differences between fast hosts.
		h.own.busy -= min(h.handshake, e.Elapsed)
		h.group.busy -= min(h.handshake, e.Elapsed)
		h.failureStreak = 0
		h.answeredTime += e.Elapsed
		h.responses++
		h.progressAt = now
	case flowevent.Abandoned:
		h.advance(now)
		h.outstanding = max(0, h.outstanding-1)
		if e.Reset {
			h.fail(now)
		}
	}
}

// fail counts a failed attempt. A host that fails several times in a row becomes bad at once, because one that refuses
// quickly could use up the retry budget before the next tick.
func (h *host) fail(now time.Duration) {
	h.own.failures++
	h.group.failures++
	if h.failureStreak++; h.failureStreak >= maxFailureStreak && !h.bad {
		h.exclude(now, now+reportLag)
	}
}

// ObserveHealth records the result of a health or load endpoint. A healthy result only ends the effect of an unhealthy
// one. An unhealthy result only lowers the amount of packet evidence that makes a host bad, because endpoints lag and
// can be wrong.
func (m *Model) ObserveHealth(now time.Duration, hostID uint32, healthy bool) {
	h := m.hosts[hostID]
	if h == nil {
		return
	}
	h.unhealthyUntil = 0
	if !healthy {
		h.unhealthyUntil = now + healthLifetime
	}
}

// advance updates the time integral of outstanding requests up to now.
func (h *host) advance(now time.Duration) {
	elapsed := max(0, now-h.advancedTo)
	h.outstandingTime += time.Duration(h.outstanding) * elapsed
	busy := time.Duration(h.live() * float64(elapsed))
	h.own.busy += busy
	h.group.busy += busy
	h.advancedTo = max(now, h.advancedTo)
}

// reportHash returns the hash that names the host in reports.
func (h *host) reportHash() uint32 {
	return uint32(h.hash >> 32)
}

// load returns the outstanding requests of the owner group.
func (h *host) load() float64 {
	return h.live() + h.others.outstanding
}
