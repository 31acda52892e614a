package conntrack

import (
	"net/netip"
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
)

const (
	// DefaultCapacity is the default maximum number of flows; a flow takes about 120 bytes.
	DefaultCapacity = 200_000
	// requestTimeout is how long a request counts as outstanding on an idle flow. Callers retransmit at least once within
	// it, so a flow that is idle for longer has received a response that was not observed, or moved to another entry VM.
	requestTimeout = 1200 * time.Millisecond
	// retransmitDelay is the time after which repeated data counts as retransmitted; callers wait 200 ms. Earlier
	// repetitions are reordered packets.
	retransmitDelay = 150 * time.Millisecond
	// refusalTimeout is the time after which a SYN that was not retransmitted counts as refused by the server. Callers
	// retransmit a SYN for the first time after 200 ms.
	refusalTimeout = 300 * time.Millisecond
	// handshakeTimeout is the time after which callers stop trying to open a flow.
	handshakeTimeout = 1500 * time.Millisecond
	// idleTimeout is how long an idle flow is kept. Its next packet carries the token and can be forwarded without the
	// flow.
	idleTimeout = 20 * time.Second
)

// Key identifies a flow.
type Key struct {
	// Caller and Service are the addresses and ports of the two ends.
	Caller, Service netip.AddrPort
}

// Packet holds the header fields of a packet from a caller.
type Packet struct {
	Key
	// Token is the last token that the caller received from the backend server; 0 before the first one.
	Token uint32
	// Sequence is the sequence number of the first byte of data. Acknowledged is that of the next byte that the caller
	// expects.
	Sequence, Acknowledged uint32
	// Length is the number of data bytes.
	Length int
	// SYN, ACK, FIN and RST are flags with the same meaning as in TCP.
	SYN, ACK, FIN, RST bool
}

// Flow is the tracked state of one flow.
type Flow struct {
	// Host is the token of its backend server.
	Host uint32
	// Tried lists the tokens of the servers that received the SYN before Host and did not respond.
	Tried []uint32
	// SYNSent is the time at which the last SYN was forwarded.
	SYNSent time.Duration
	// Open reports whether a packet after the SYN was received.
	Open bool

	openedAt     time.Duration // when the first SYN was forwarded to Host
	seenAt       time.Duration // when the last packet arrived
	requestedAt  time.Duration // when the last new data of the request arrived
	dataAt       time.Duration // when data was last sent or retransmitted
	synSequence  uint32        // sequence number of the SYN; valid if synSeen is set
	synSeen      bool
	nextSequence uint32 // sequence number after the last byte of data
	acknowledged uint32
	repeats      int // retransmissions of the outstanding request
	outstanding  bool
	closed       bool
}

// Table tracks the flows whose packets reach this entry VM. The zero value is ready for use.
type Table struct {
	// Capacity is the maximum number of flows; 0 selects DefaultCapacity.
	Capacity int
	// Observe is called with each event, whose Host is the token of the server; it may be nil.
	Observe func(now time.Duration, e flowevent.Event)

	flows map[Key]*Flow
}

// Precedes reports whether the flow ended before the caller sent the given SYN, which starts another flow from the same
// port. Retransmissions of a SYN have its sequence number.
func (f *Flow) Precedes(syn *Packet) bool { return f.synSeen && f.synSequence != syn.Sequence }

// Unanswered returns when the request arrived that is outstanding, and how often it was retransmitted since. The last
// result is false if none is outstanding.
func (f *Flow) Unanswered() (since time.Duration, repeats int, ok bool) {
	return f.requestedAt, f.repeats, f.outstanding
}

// Len returns the number of flows.
func (t *Table) Len() int { return len(t.flows) }

// Get returns the flow with the given key, or nil.
func (t *Table) Get(k Key) *Flow { return t.flows[k] }

// Open records that the SYN of a flow was forwarded to the server with token host. If the SYN went to another server
// before, that server is reported as Unanswered and added to Tried. Open returns nil if the flow is new and the table
// is full.
func (t *Table) Open(now time.Duration, syn *Packet, host uint32) *Flow {
	f := t.flows[syn.Key]
	switch {
	case f == nil:
		if f = t.add(syn.Key); f == nil {
			return nil
		}
		f.synSequence, f.synSeen = syn.Sequence, true
	case f.Host == host:
		f.seenAt, f.SYNSent = now, now
		return f
	default:
		t.emit(now, flowevent.Unanswered, f.Host, now-f.openedAt)
		t.emit(now, flowevent.Closed, f.Host, 0)
		f.Tried = append(f.Tried, f.Host)
	}
	f.Host, f.openedAt, f.SYNSent, f.seenAt = host, now, now, now
	t.emit(now, flowevent.Opened, host, 0)
	return f
}

// HandlePacket records a packet after the SYN of a flow whose server has the token host, and reports whether the packet
// retransmits data. If the flow is new and the table is full, the packet is ignored.
func (t *Table) HandlePacket(now time.Duration, p *Packet, host uint32) (retransmitted bool) {
	f := t.flows[p.Key]
	if f == nil {
		if f = t.add(p.Key); f == nil {
			return false
		}
		t.join(now, f, p, host)
	} else if f.Host != host { // A server that received an earlier SYN responded after all.
		t.closeFlow(now, f)
		t.join(now, f, p, host)
	}
	f.seenAt = now
	if !f.Open {
		t.emit(now, flowevent.Accepted, host, now-f.openedAt)
		f.Open, f.nextSequence, f.acknowledged = true, p.Sequence, p.Acknowledged
	}
	retransmitted = t.handleData(now, f, p)
	if (p.FIN || p.RST) && !f.closed {
		t.closeFlow(now, f)
	}
	return retransmitted
}

// join starts tracking a flow whose handshake with host was not observed.
func (t *Table) join(now time.Duration, f *Flow, p *Packet, host uint32) {
	f.Host, f.closed, f.Open = host, false, true
	f.nextSequence, f.acknowledged = p.Sequence, p.Acknowledged
	t.emit(now, flowevent.Joined, host, 0)
}

func (t *Table) handleData(now time.Duration, f *Flow, p *Packet) (retransmitted bool) {
	advanced := p.ACK && int32(p.Acknowledged-f.acknowledged) > 0
	if advanced {
		f.acknowledged = p.Acknowledged
	}
	end := p.Sequence + uint32(p.Length)
	fresh := p.Length > 0 && int32(end-f.nextSequence) > 0
	if advanced && f.outstanding {
		f.outstanding = false
		elapsed := now - f.requestedAt
		if fresh { // The acknowledgement was sent with the next request, so the response time is unknown.
			elapsed = 0
		}
		t.emitEvent(now, flowevent.Event{
			Kind: flowevent.Answered, Host: f.Host, Route: p.Service, Elapsed: elapsed, Repeats: f.repeats,
		})
	}
	switch {
	case fresh:
		f.nextSequence, f.requestedAt, f.dataAt, f.repeats = end, now, now, 0
		if !f.outstanding && !f.closed {
			f.outstanding = true
			t.emit(now, flowevent.Requested, f.Host, 0)
		}
	case p.Length > 0 && now-f.dataAt >= retransmitDelay: // Earlier ones were reordered.
		t.emit(now, flowevent.Repeated, f.Host, now-f.dataAt)
		f.dataAt = now
		f.repeats++
		return true
	}
	return false
}

// Forget removes a flow, for example one that was reset.
func (t *Table) Forget(now time.Duration, k Key) {
	if f := t.flows[k]; f != nil {
		t.closeFlow(now, f)
		delete(t.flows, k)
	}
}

// Sweep abandons requests and removes flows that have been idle for too long.
func (t *Table) Sweep(now time.Duration) {
	for k, f := range t.flows {
		if f.outstanding && now-f.seenAt >= requestTimeout {
			f.outstanding = false
			t.emit(now, flowevent.Abandoned, f.Host, now-f.requestedAt)
		}
		if now-f.seenAt >= f.timeout() {
			t.closeFlow(now, f)
			delete(t.flows, k)
		}
	}
}

// timeout returns how long the flow is kept while idle.
func (f *Flow) timeout() time.Duration {
	switch {
	case f.Open && !f.closed:
		return idleTimeout
	case f.Open || len(f.Tried) > 0:
		return handshakeTimeout
	}
	return refusalTimeout
}

func (t *Table) add(k Key) *Flow {
	capacity := t.Capacity
	if capacity == 0 {
		capacity = DefaultCapacity
	}
	if len(t.flows) >= capacity {
		return nil
	}
	if t.flows == nil {
		t.flows = map[Key]*Flow{}
	}
	f := &Flow{}
	t.flows[k] = f
	return f
}

func (t *Table) closeFlow(now time.Duration, f *Flow) {
	if f.closed {
		return
	}
	f.closed = true
	if !f.Open {
		kind := flowevent.Refused
		if len(f.Tried) > 0 || f.SYNSent > f.openedAt {
			kind = flowevent.Unanswered
		}
		t.emit(now, kind, f.Host, now-f.openedAt)
	}
	if f.outstanding {
		f.outstanding = false
		t.emit(now, flowevent.Abandoned, f.Host, now-f.requestedAt)
	}
	t.emit(now, flowevent.Closed, f.Host, 0)
}

func (t *Table) emit(now time.Duration, kind flowevent.Kind, host uint32, elapsed time.Duration) {
	t.emitEvent(now, flowevent.Event{Kind: kind, Host: host, Elapsed: elapsed})
}

func (t *Table) emitEvent(now time.Duration, e flowevent.Event) {
	if t.Observe != nil {
		t.Observe(now, e)
	}
}
