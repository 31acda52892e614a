package loadreport

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/rendezvous"
)

const (
	// halfLife is the time in which an observation loses half of its weight.
	halfLife = time.Second
	// retention is the age at which a received entry is dropped, and how long a server is reported after its mark was
	// removed.
	retention = 3 * time.Second
	// bytesPerSecond is the budget of all reports that are sent within any second, with the headers of IP and UDP.
	bytesPerSecond = 8000
	// bytesPerTick spreads the budget over the second; it exceeds the size of the largest datagram.
	bytesPerTick = 1600
	// datagramBytes is the size of the kind of a datagram and of its headers of IPv6 and UDP.
	datagramBytes = 1 + 48
	// minPeriod is the shortest time between two reports to the same member.
	minPeriod = 500 * time.Millisecond
	// roundTime is the time within which the sizes of reports are chosen to reach all members. A receiver then has an
	// entry of most reporters that is younger than retention.
	roundTime = 2 * time.Second
	// minMessageBytes bounds the share of a datagram that the headers take.
	minMessageBytes = 360
	// sweepPeriod is the time between two removals of outdated entries.
	sweepPeriod = time.Second
)

// Exchange sends the observations of one entry VM to the others of its availability zone and combines theirs. The
// exported fields are set before use. Times are monotonic.
type Exchange struct {
	// Self is the name of this entry VM, and AvailabilityZone is its availability zone.
	Self, AvailabilityZone string
	// Seed distinguishes this process from earlier ones with the same name, whose seeds must be lower, and determines
	// the order in which members are sent to.
	Seed uint64
	// Send is called to send a message to other entry VMs.
	Send func(to []member.Member, m *Message)
	// Counters counts reports by their fate; nil discards the counts.
	Counters *counter.Set

	observations map[uint32]*observation // by token
	listed       []*observation          // marked as loaded, or until recently
	recent       []*observation          // those of listed that have something to report, the most informative first
	requests     uint16                  // outstanding at the servers in recent
	members      []*zoneMember           // the others of the zone, in the order in which they are sent to
	next         int                     // index of the member that is sent to next
	sequence     uint64
	sent         []sending // of the last second, oldest first

	reporters   map[string]*zoneMember // members by name
	servers     map[uint32]*server     // received entries by token
	sweptAt     time.Duration
	heard       int     // reporters whose last report is younger than retention
	heardWeight float64 // sum of the weights of their last reports at heardAt
	heardAt     time.Duration
	live        []liveEntry
}

// zoneMember is another entry VM of the zone.
type zoneMember struct {
	member.Member
	sentAt     time.Duration // when the last report was sent to it
	order      uint64
	session    uint64
	sequence   uint64
	receivedAt time.Duration // when its last report was accepted
	entries    int           // number of its entries that are kept
	gone       bool
}

// sending is the size of the datagrams that were sent at a time.
type sending struct {
	at    time.Duration
	bytes int
}

// SetMembers replaces the members of the fleet. It ignores other zones and members that are leaving or dead.
func (x *Exchange) SetMembers(all []member.Member) {
	reporters := make(map[string]*zoneMember, len(x.reporters))
	x.members = x.members[:0]
	for _, vm := range all {
		if vm.Zone != x.AvailabilityZone || vm.Name == x.Self || vm.State > member.StateSuspect {
			continue
		}
		m := x.reporters[vm.Name]
		if m == nil {
			// Entry VMs with different orders do not all send to the same member at a time.
			m = &zoneMember{sentAt: never, receivedAt: never, order: rendezvous.Hash(x.Self + "/" + vm.Name)}
		}
		m.Member = vm
		reporters[vm.Name] = m
		x.members = append(x.members, m)
	}
	for name, m := range x.reporters {
		m.gone = reporters[name] == nil
	}
	x.reporters = reporters
	slices.SortFunc(x.members, func(a, b *zoneMember) int {
		if c := cmp.Compare(a.sentAt, b.sentAt); c != 0 {
			return c
		}
		return cmp.Compare(a.order^x.Seed, b.order^x.Seed)
	})
	x.next = 0
}

// Tick sends the reports that are due. It is called every 100 ms.
func (x *Exchange) Tick(now time.Duration) {
	if len(x.servers) > 0 {
		x.updateHeard(now)
		x.sweep(now)
	}
	if len(x.listed) == 0 {
		return
	}
	x.selectRecent(now)
	if len(x.recent) > 0 {
		x.sendReports(now)
	}
}

// selectRecent removes the servers whose mark was removed from listed, and collects those with something to report.
func (x *Exchange) selectRecent(now time.Duration) {
	requests := 0
	x.recent = x.recent[:0]
	x.listed = slices.DeleteFunc(x.listed, func(o *observation) bool {
		o.listed = o.loaded || now-o.unloadedAt < retention
		if o.listed && o.isRecent(now) {
			o.value = o.eventCount(now)
			x.recent = append(x.recent, o)
			requests += o.outstanding
		}
		return !o.listed
	})
	x.requests = uint16(min(requests, math.MaxUint16))
	slices.SortFunc(x.recent, func(a, b *observation) int {
		if c := cmp.Compare(b.value, a.value); c != 0 {
			return c
		}
		return cmp.Compare(a.token, b.token)
	})
}

// sendReports sends reports to the members whose last one is the oldest, as far as the budget allows.
func (x *Exchange) sendReports(now time.Duration) {
	budget := min(bytesPerTick, bytesPerSecond-x.sentBytes(now))
	total := 0
	var m *Message
	var size int
	var to []member.Member // All receive m.
	since := never
	flush := func() {
		if len(to) > 0 {
			x.Counters.Add("load-reports-sent", int64(len(to)))
			x.Counters.Add("load-report-bytes-sent", int64(len(to)*(size+1)))
			x.Send(to, m)
		}
		to = nil
	}
	for range x.members {
		peer := x.members[x.next]
		if now-peer.sentAt < minPeriod {
			break
		}
		if m == nil || peer.sentAt != since {
			flush()
			since = peer.sentAt
			m, size = x.newMessage(now, since)
		}
		if len(m.Servers) > 0 {
			if total+size+datagramBytes > budget {
				break
			}
			total += size + datagramBytes
			to = append(to, peer.Member)
		}
		peer.sentAt = now
		x.next = (x.next + 1) % len(x.members)
	}
	flush()
	if total > 0 {
		x.sent = append(x.sent, sending{now, total})
	}
}

// sentBytes returns the number of bytes that were sent in the last second.
func (x *Exchange) sentBytes(now time.Duration) (n int) {
	x.sent = slices.DeleteFunc(x.sent, func(s sending) bool { return now-s.at >= time.Second })
	for _, s := range x.sent {
		n += s.bytes
	}
	return n
}

// newMessage returns a report of what changed or was marked since the given time, and its encoded size. If not all
// fits, half of the message has the most informative servers, and the rest has servers with outstanding requests,
// selected at random so that receivers can estimate the others.
func (x *Exchange) newMessage(now, since time.Duration) (*Message, int) {
	m := &Message{From: x.Self, Session: x.Seed, Sequence: x.sequence + 1, Requests: x.requests}
	limit := min(maxMessageBytes,
		max(minMessageBytes, int(bytesPerSecond*roundTime/time.Second)/len(x.members)-datagramBytes))
	size := m.headerBytes(maxServers)
	add := func(o *observation, limit int) (fits bool) {
		if o.reportedIn == m.Sequence || max(o.changedAt, o.loadedAt) < since && o.outstanding == 0 {
			return true
		}
		s := o.report(now)
		if size+s.bytes() > limit || len(m.Servers) == maxServers {
			return false
		}
		o.reportedIn = m.Sequence
		size += s.bytes()
		m.Servers = append(m.Servers, s)
		return true
	}
	for _, o := range x.recent {
		if !add(o, limit/2) {
			break
		}
	}
	start := int(m.Sequence * 0x9e3779b97f4a7c15 >> 33) // The multiplier of Fibonacci hashing.
	for i := range x.recent {
		if o := x.recent[(start+i)%len(x.recent)]; o.outstanding > 0 && !add(o, limit) {
			break
		}
	}
	for _, o := range x.recent {
		if !add(o, limit) {
			break
		}
	}
	if len(m.Servers) == 0 {
		return m, 0
	}
	x.sequence++
	slices.SortFunc(m.Servers, func(a, b Server) int { return cmp.Compare(a.Token, b.Token) })
	return m, size - uintBytes(maxServers) + uintBytes(uint64(len(m.Servers)))
}
