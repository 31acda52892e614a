package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// probe is a pending ping; without a reply to it the member is suspected.
type probe struct {
	sequence    uint64
	name        string
	incarnation uint64
	sentAt      time.Duration
	indirect    bool     // Set when the ping requests were sent.
	helpers     []string // Names of the members that received a ping request.
}

// relay is a pending ping on behalf of another member.
type relay struct {
	sequence      uint64 // Of the ping to the target.
	name          string // Of the target, as is the incarnation.
	incarnation   uint64
	requester     Member
	replySequence uint64 // Of the ping request, and so of the ack to the requester.
	expires       time.Duration
}

// Tick sends the messages and applies the timeouts that are due; it must be called at least every 100 ms.
func (l *List) Tick(now time.Duration) {
	l.Settled(now)
	l.checkProbes(now)
	l.checkRecords(now)
	if !l.settled && now >= l.exchangeDue {
		l.requestExchange(now)
	}
	if now >= l.pingDue {
		l.pingDue = max(l.pingDue+pingPeriod, now)
		l.pingNext(now)
	}
	if now >= l.retryDue {
		l.retryDue = now + pingPeriod
		l.retryDead(now)
	}
	if now >= l.platformPingDue {
		l.pingPlatformAddress(now)
	}
}

func (l *List) checkProbes(now time.Duration) {
	l.probes = slices.DeleteFunc(l.probes, func(p *probe) bool {
		r := l.records[p.name]
		if r == nil || r.Incarnation != p.incarnation {
			return true
		}
		if now-p.sentAt >= suspectAfter {
			l.suspect(now, r)
			return true
		}
		if now-p.sentAt >= indirectAfter && !p.indirect {
			p.indirect = true
			target := r.Member
			for _, h := range l.randomPeers(fanout, p.name) {
				p.helpers = append(p.helpers, h.Name)
				l.send(h, Message{Kind: PingRequest, Sequence: p.sequence, Target: &target})
			}
		}
		return false
	})
	l.relays = slices.DeleteFunc(l.relays, func(y relay) bool {
		if now < y.expires {
			return false
		}
		// The relayed ping had no reply, either. A suspicion that starts at several members spreads faster.
		if r := l.records[y.name]; r != nil && r.Incarnation == y.incarnation {
			l.suspect(now, r)
		}
		return true
	})
}

func (l *List) checkRecords(now time.Duration) {
	for _, name := range slices.Clone(l.names) {
		r := l.records[name]
		switch {
		case r.suspected && now-r.stateSince >= deadAfter:
			u := r.Member
			u.State = StateDead
			l.set(now, r, u)
		case r.State == StateDead && now-r.stateSince >= forgetAfter:
			l.forget(r)
		}
	}
}

// pingNext pings the member with the oldest last message among those that are not yet pinged in this round, in random
// order among equals. In a purely random order, 6 of 4,000 deaths take longer than 6 s to reach all of 8 members.
func (l *List) pingNext(now time.Duration) {
	if l.pruneOrder(); len(l.order) == 0 {
		l.order = l.nextRound()
		l.rand.Shuffle(len(l.order), func(i, j int) { l.order[i], l.order[j] = l.order[j], l.order[i] })
		l.pruneOrder()
	}
	if len(l.order) == 0 {
		return
	}
	next := 0
	for i, name := range l.order {
		if l.records[name].lastMessageAt < l.records[l.order[next]].lastMessageAt {
			next = i
		}
	}
	r := l.records[l.order[next]]
	l.order = slices.Delete(l.order, next, next+1)
	l.lastSequence++
	l.probes = append(l.probes, &probe{sequence: l.lastSequence, name: r.Name, incarnation: r.Incarnation, sentAt: now})
	l.send(r.Member, Message{Kind: Ping, Sequence: l.lastSequence})
}

// nextRound returns the members to ping in a new round.
func (l *List) nextRound() []string {
	l.round++
	if l.CrossZoneRounds < 2 || l.round%l.CrossZoneRounds == 1 {
		return slices.Clone(l.names)
	}
	var order []string
	for _, name := range l.names {
		if l.records[name].Zone == l.Self.Zone {
			order = append(order, name)
		}
	}
	return order
}

// pruneOrder removes the members that are not to be probed: removed, dead and suspected ones.
func (l *List) pruneOrder() {
	l.order = slices.DeleteFunc(l.order, func(name string) bool {
		r := l.records[name]
		return r == nil || !r.Live() || r.suspected
	})
}

// retryDead pings the dead member whose retry is due for the longest time, among those that this process retries.
func (l *List) retryDead(now time.Duration) {
	var oldest *record
	for _, name := range l.names {
		r := l.records[name]
		if r.State != StateDead || now < r.retryDue || l.byAddr[r.Control] != r.Name {
			continue
		}
		if oldest == nil || r.retryDue < oldest.retryDue {
			if l.isRetrier(name) {
				oldest = r
			} else {
				r.retryDue = now + retryPeriod
			}
		}
	}
	if oldest != nil {
		oldest.retryDue = now + retryPeriod
		l.ping(oldest.Member)
	}
}

// isRetrier reports whether this process is one of the members in StateAlive that retry a dead one. If all members did,
// each of them would attempt a handshake with the dead member every 5 s, and its successor would receive all these
// handshakes.
func (l *List) isRetrier(dead string) bool {
	own := xxhash.Sum64String(l.Self.Name + "\x00" + dead)
	before := 0
	for _, name := range l.names {
		if l.records[name].State == StateAlive && xxhash.Sum64String(name+"\x00"+dead) < own {
			before++
		}
	}
	return before < maxRetriers
}

// pingPlatformAddress pings the next address from the platform that belongs to no member. While the list has no other
// live members, it includes the contacts.
func (l *List) pingPlatformAddress(now time.Duration) {
	l.platformPingDue = now + platformPingPeriod
	addresses := l.platformAddresses
	if len(l.randomPeers(1, "")) == 0 {
		l.platformPingDue = now + pingPeriod
		addresses = slices.Concat(addresses, l.contacts)
	}
	for range addresses {
		address := addresses[l.nextPlatformAddress%len(addresses)]
		l.nextPlatformAddress++
		if _, known := l.byAddr[address]; !known {
			l.ping(Member{Control: address})
			return
		}
	}
}

func (l *List) requestExchange(now time.Duration) {
	l.exchangeDue = now + exchangePeriod
	var to Member
	if peers := l.randomPeers(1, ""); len(peers) > 0 {
		to = peers[0]
	} else if addresses := slices.Concat(l.contacts, l.platformAddresses); len(addresses) > 0 {
		to = Member{Control: addresses[l.rand.IntN(len(addresses))]}
	} else {
		return
	}
	l.requestPage(to)
}

func (l *List) requestPage(to Member) {
	l.lastSequence++
	l.exchange = l.lastSequence
	l.send(to, Message{Kind: ExchangeRequest, Sequence: l.lastSequence, After: l.cursor})
}

// randomPeers returns up to n live members that are not suspected, without the named one.
func (l *List) randomPeers(n int, except string) []Member {
	var live []Member
	for _, name := range l.names {
		if r := l.records[name]; r.State != StateDead && !r.suspected && name != except {
			live = append(live, r.Member)
		}
	}
	l.rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}

// sendNotices immediately sends the latest updates and the state of this process to some members.
func (l *List) sendNotices() {
	for _, p := range l.randomPeers(fanout, "") {
		l.send(p, Message{Kind: Notice})
	}
}

func (l *List) ping(to Member) {
	l.lastSequence++
	l.send(to, Message{Kind: Ping, Sequence: l.lastSequence})
}

// send adds the sender, digests and updates to m and sends it.
func (l *List) send(to Member, m Message) {
	m.From = l.Self
	if l.Digests != nil {
		m.Digests = l.Digests()
	}
	if m.Kind != Exchange {
		room := MaxMessage - m.encodedSize()
		if l.CrossZoneRounds > 1 && to.Name != "" && to.Zone != l.Self.Zone {
			room = min(room, maxCrossZoneBytes)
		}
		m.Updates = l.takeUpdates(room, l.correction(to))
	}
	l.Send(to, m)
}

// Handle processes a received message; from is the name in the certificate of the sender.
func (l *List) Handle(now time.Duration, from string, m Message) {
	if from != m.From.Name {
		l.Counters.Add("member-refused-sender", 1)
		return
	}
	before := l.Self.Incarnation
	trusted := m.Kind == Exchange && m.Sequence == l.exchange && !l.settled
	l.apply(now, m.From, true, false)
	if r := l.records[from]; r != nil {
		r.lastMessageAt = now
	}
	for _, u := range m.Updates {
		l.apply(now, u, false, trusted)
	}
	if from == l.Self.Name { // A second process with this name is not a member to reply to.
		return
	}
	if l.HandleDigests != nil && len(m.Digests) > 0 {
		l.HandleDigests(m.From, m.Digests)
	}
	l.handleKind(now, m, trusted)
	replied := m.Kind == Ping || m.Kind == ExchangeRequest && l.settled
	if !replied && (l.Self.Incarnation > before || l.correction(m.From) != nil) {
		l.send(m.From, Message{Kind: Notice})
	}
}

// handleKind processes the part of a message that depends on its kind. The argument trusted reports whether the message
// is the reply to the outstanding request for an exchange.
func (l *List) handleKind(now time.Duration, m Message, trusted bool) {
	switch m.Kind {
	case Ping:
		l.send(m.From, Message{Kind: Ack, Sequence: m.Sequence})
	case PingRequest:
		if len(l.relays) == maxRelays {
			l.Counters.Add("member-refused-relay", 1)
			return
		}
		l.lastSequence++
		l.relays = append(l.relays, relay{
			sequence: l.lastSequence, name: m.Target.Name, incarnation: m.Target.Incarnation,
			requester: m.From, replySequence: m.Sequence, expires: now + suspectAfter,
		})
		l.send(*m.Target, Message{Kind: Ping, Sequence: l.lastSequence})
	case Ack:
		l.handleAck(m)
	case ExchangeRequest:
		if !l.Settled(now) { // An outdated view must not be sent to others.
			return
		}
		l.send(m.From, l.page(m))
	case Exchange:
		if !trusted {
			return
		}
		if m.More && len(m.Updates) > 0 {
			l.cursor = m.Updates[len(m.Updates)-1].Name
			l.exchangeDue = now + exchangePeriod
			l.requestPage(m.From)
			return
		}
		l.settled = true
	}
}

func (l *List) handleAck(m Message) {
	l.probes = slices.DeleteFunc(l.probes, func(p *probe) bool {
		return p.sequence == m.Sequence && (p.name == m.From.Name || slices.Contains(p.helpers, m.From.Name))
	})
	for i, r := range l.relays {
		if r.sequence == m.Sequence && r.name == m.From.Name {
			l.relays = slices.Delete(l.relays, i, i+1)
			l.send(r.requester, Message{Kind: Ack, Sequence: r.replySequence})
			return
		}
	}
}

// page returns an Exchange with the members whose names sort after the cursor of the request, as many as fit.
func (l *List) page(request Message) Message {
	m := Message{Kind: Exchange, Sequence: request.Sequence}
	room := MaxMessage - l.exchangeOverhead()
	i, found := slices.BinarySearch(l.names, request.After)
	if found {
		i++
	}
	for ; i < len(l.names); i++ {
		r := l.records[l.names[i]]
		room -= r.encodedSize()
		if room < 0 || len(m.Updates) == maxUpdates {
			m.More = true
			break
		}
		m.Updates = append(m.Updates, r.Member)
	}
	return m
}

func (l *List) exchangeOverhead() int {
	m := Message{From: l.Self}
	if l.Digests != nil {
		m.Digests = l.Digests()
	}
	return m.encodedSize()
}
