package conntrack

import (
	"net/netip"
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
)

const (
	// DefaultCapacity bounds the number of flows; a flow takes about 120 bytes.
	DefaultCapacity = 200_000
	// requestTimeout is how long an unanswered request counts as outstanding. Callers resend at least once in it, so a
	// flow that is silent for longer was answered in a way that does not show or goes through another entry VM.
	requestTimeout = 1200 * time.Millisecond
	// retransmitDelay is the time after which data that comes again was sent again; callers wait 200 ms.
	retransmitDelay = 150 * time.Millisecond
	// refusalTimeout is the time after which a SYN without a copy was refused by the server; callers send the first copy
	// after 200 ms.
	refusalTimeout = 300 * time.Millisecond
	// handshakeTimeout is how long callers try to open a flow.
	handshakeTimeout = 1500 * time.Millisecond
	// idleTimeout is how long a flow without packets is kept; its token is in its next packet in any case.
	idleTimeout = 20 * time.Second
)

// Key names a flow.
type Key struct {
	// Caller and Service are the two ends as addresses and ports.
	Caller, Service netip.AddrPort
}

// Packet is what a packet of a caller says.
type Packet struct {
	Key
	// Token is what the backend server sent last on the flow; 0 before that.
	Token uint32
	// Sequence is the number of the first byte, and Acknowledged the number of the next byte that the caller expects.
	Sequence, Acknowledged uint32
	// Length is the number of data bytes.
	Length int
	// SYN, ACK, FIN and RST are the flags as in TCP.
	SYN, ACK, FIN, RST bool
}

// Flow is what is known of one flow.
type Flow struct {
	// Host is the token of its backend server.
	Host uint32
	// Tried are the hosts that got the SYN before Host and did not answer.
	Tried []uint32
	// SYNSent is when the last SYN was forwarded.
	SYNSent time.Duration
	// Open says that a packet followed the handshake.
	Open bool

	openedAt     time.Duration // when the first SYN went to Host
	seenAt       time.Duration
	requestedAt  time.Duration // arrival of the last new data of the request
	dataAt       time.Duration // arrival of the last packet with data
	nextSequence uint32        // number after the last data byte
	acknowledged uint32
	outstanding  bool
	closed       bool
}

// Table keeps the flows whose packets reach this entry VM; the zero value is ready for use.
type Table struct {
	// Capacity bounds the number of flows; zero selects DefaultCapacity.
	Capacity int
	// Observe takes each event; Event.Host is a token.
	Observe func(now time.Duration, e flowevent.Event)

	flows map[Key]*Flow
}

// Len returns the number of flows.
func (t *Table) Len() int { return len(t.flows) }

// Get returns the flow or nil.
func (t *Table) Get(k Key) *Flow { return t.flows[k] }

// Open notes that the SYN of a flow was forwarded to a host. It returns nil when the table is full.
func (t *Table) Open(now time.Duration, k Key, host uint32) *Flow {
	f := t.flows[k]
	switch {
	case f == nil:
		if f = t.add(k); f == nil {
			return nil
		}
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

// HandlePacket notes a packet after the SYN of a flow that goes to host, and reports whether it was seen before.
func (t *Table) HandlePacket(now time.Duration, p *Packet, host uint32) (repeated bool) {
	f := t.flows[p.Key]
	if f == nil {
		if f = t.add(p.Key); f == nil {
			return false
		}
		t.join(now, f, p, host)
	} else if f.Host != host { // A host that was tried earlier answered after all.
		t.closeFlow(now, f)
		t.join(now, f, p, host)
	}
	f.seenAt = now
	if !f.Open {
		t.emit(now, flowevent.Accepted, host, now-f.openedAt)
		f.Open, f.nextSequence, f.acknowledged = true, p.Sequence, p.Acknowledged
	}
	repeated = t.handleData(now, f, p)
	if (p.FIN || p.RST) && !f.closed {
		t.closeFlow(now, f)
	}
	return repeated
}

// join starts to follow a flow whose handshake was not seen.
func (t *Table) join(now time.Duration, f *Flow, p *Packet, host uint32) {
	f.Host, f.closed, f.Open = host, false, true
	f.nextSequence, f.acknowledged = p.Sequence, p.Acknowledged
	t.emit(now, flowevent.Joined, host, 0)
}

func (t *Table) handleData(now time.Duration, f *Flow, p *Packet) (repeated bool) {
	advanced := p.ACK && int32(p.Acknowledged-f.acknowledged) > 0
	if advanced {
		f.acknowledged = p.Acknowledged
	}
	end := p.Sequence + uint32(p.Length)
	fresh := p.Length > 0 && int32(end-f.nextSequence) > 0
	if advanced && f.outstanding {
		f.outstanding = false
		elapsed := now - f.requestedAt
		if fresh { // The acknowledgement waited for the next request.
			elapsed = 0
		}
		t.emit(now, flowevent.Answered, f.Host, elapsed)
	}
	switch {
	case fresh:
		f.nextSequence, f.requestedAt, f.dataAt = end, now, now
		if !f.outstanding && !f.closed {
			f.outstanding = true
			t.emit(now, flowevent.Requested, f.Host, 0)
		}
	case p.Length > 0 && now-f.dataAt >= retransmitDelay: // Earlier ones were only overtaken.
		t.emit(now, flowevent.Repeated, f.Host, now-f.dataAt)
		f.dataAt = now
		return true
	}
	return false
}

// Forget drops a flow, such as one that was reset.
func (t *Table) Forget(now time.Duration, k Key) {
	if f := t.flows[k]; f != nil {
		t.closeFlow(now, f)
		delete(t.flows, k)
	}
}

// Sweep ends requests and flows that were silent for too long.
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

// timeout returns how long the flow is kept without packets.
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
	bound := t.Capacity
	if bound == 0 {
		bound = DefaultCapacity
	}
	if len(t.flows) >= bound {
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
	if t.Observe != nil {
		t.Observe(now, flowevent.Event{Kind: kind, Host: host, Elapsed: elapsed})
	}
}
