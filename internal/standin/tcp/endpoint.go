package tcp

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticspar/masticspar/internal/packet"
)

const (
	segmentSize       = 1200 // bytes of payload; with all headers it fits the MTU
	maxInFlight       = 4    // segments
	initialTimeout    = 200 * time.Millisecond
	maxTimeout        = 3200 * time.Millisecond // several retries within the 30 s search for the host of a flow
	defaultMaxRetries = 15                      // about 38 s without progress
	windowSize        = 65535                   // bytes
)

type state int

const (
	listen state = iota
	synSent
	synReceived
	established
	closed
)

// Cause is the reason why a connection ended.
type Cause string

// Causes of the end of a connection; the zero value means that it has not ended.
const (
	CauseFinished Cause = "finished" // both sides closed and everything was acknowledged
	CauseRefused  Cause = "refused"  // the SYN was rejected with a reset
	CauseReset    Cause = "reset"    // reset by the peer after the handshake
	CauseTimeout  Cause = "timeout"  // no progress after all retries
	CauseAborted  Cause = "aborted"  // reset by this side
)

// Endpoint is one side of a TCP connection. Key, ISN and Emit must be set before use; it then listens for one SYN until
// Connect is called.
type Endpoint struct {
	// Key is the key of the flow in the direction of sent segments.
	Key packet.Key
	// ISN is the initial sequence number of this side.
	ISN uint32
	// MaxRetries is the number of timeouts without progress after which the connection ends; zero selects 15.
	MaxRetries int
	// Emit is called with each segment to send; its payload is valid only during the call.
	Emit func(packet.Segment)
	// Cause is the reason why the connection ended, empty before the end.
	Cause Cause
	// Retransmissions counts the timeouts that caused a retransmission.
	Retransmissions int
	// Acknowledged is the number of sent payload bytes that the peer acknowledged.
	Acknowledged int

	state             state
	una, nxt, highest uint32 // oldest unacknowledged, next to send, one above the highest sent
	rcvNxt            uint32
	pending           []byte // payload from una on
	received          []byte
	finQueued         bool
	finAcked          bool
	finReceived       bool
	retries           int           // timeouts since the last progress
	retransmitAt      time.Duration // time of the next retransmission while something is unacknowledged
}

// ISN returns an initial sequence number derived from a seed, the flow and the time.
func ISN(seed uint64, key *packet.Key, now time.Duration) uint32 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], seed)
	binary.LittleEndian.PutUint64(b[8:], key.Hash())
	binary.LittleEndian.PutUint64(b[16:], uint64(now))
	return uint32(xxhash.Sum64(b[:]))
}

// Reject returns the reset for a segment that belongs to no connection. The result is false if the segment is itself a
// reset, which gets no reply.
func Reject(p *packet.Packet) (packet.Segment, bool) {
	if p.RST {
		return packet.Segment{}, false
	}
	if p.ACK {
		return packet.Segment{Key: p.Key.Reverse(), Seq: p.Ack, RST: true}, true
	}
	return p.Refusal(), true
}

// Connect sends the SYN of an active open.
func (e *Endpoint) Connect(now time.Duration) {
	e.state = synSent
	e.initSequence(now)
	e.sendSYN()
}

// Established reports whether the handshake has completed and the connection has not ended.
func (e *Endpoint) Established() bool { return e.state == established }

// Done reports whether the connection has ended.
func (e *Endpoint) Done() bool { return e.state == closed }

// PeerClosed reports whether the FIN of the peer, and so all of its payload, was received.
func (e *Endpoint) PeerClosed() bool { return e.finReceived }

// Unacknowledged returns the number of queued or sent bytes that the peer has not acknowledged.
func (e *Endpoint) Unacknowledged() int { return len(e.pending) }

// Write queues payload and sends what may be in flight. It is ignored after Close and after the end of the connection.
func (e *Endpoint) Write(now time.Duration, b []byte) {
	if e.finQueued || e.state == closed {
		return
	}
	e.pending = append(e.pending, b...)
	e.push(now)
}

// Read returns the bytes received since the last call.
func (e *Endpoint) Read() []byte {
	b := e.received
	e.received = nil
	return b
}

// Close sends a FIN after the queued payload.
func (e *Endpoint) Close(now time.Duration) {
	if e.state == closed || e.finQueued {
		return
	}
	e.finQueued = true
	e.push(now)
}

// Abort ends the connection. It sends a reset if the SYN of the peer was received.
func (e *Endpoint) Abort() {
	if e.state == synReceived || e.state == established {
		e.Emit(packet.Segment{Key: e.Key, Seq: e.highest, Ack: e.rcvNxt, RST: true, ACK: true})
	}
	e.end(CauseAborted)
}

// Tick retransmits what was not acknowledged in time, and ends the connection after the last retry.
func (e *Endpoint) Tick(now time.Duration) {
	if e.state == listen || e.state == closed || e.una == e.highest || now < e.retransmitAt {
		return
	}
	e.retries++
	if e.retries > cmp.Or(e.MaxRetries, defaultMaxRetries) {
		e.end(CauseTimeout)
		return
	}
	e.Retransmissions++
	e.retransmitAt = now + e.timeout()
	if e.state != established {
		e.sendSYN()
		return
	}
	e.nxt = e.una
	e.push(now)
}

// Handle processes a packet of this flow.
func (e *Endpoint) Handle(now time.Duration, p *packet.Packet) {
	switch e.state {
	case listen:
		e.handleListen(now, p)
	case synSent:
		e.handleSYNSent(now, p)
	case closed:
		// A peer that missed the last ACK retransmits its FIN.
		if e.Cause == CauseFinished && !p.RST && !p.SYN && p.End() != p.Seq {
			e.sendACK()
		}
	default:
		e.handleOpen(now, p)
	}
}

func (e *Endpoint) handleListen(now time.Duration, p *packet.Packet) {
	if !p.SYN || p.ACK || p.RST {
		return
	}
	e.state = synReceived
	e.rcvNxt = p.Seq + 1
	e.initSequence(now)
	e.sendSYN()
}

func (e *Endpoint) handleSYNSent(now time.Duration, p *packet.Packet) {
	switch {
	case p.RST:
		// Any other reset belongs to an older connection.
		if p.ACK && p.Ack == e.highest {
			e.end(CauseRefused)
		}
	case p.ACK && p.Ack != e.highest:
		e.Emit(packet.Segment{Key: e.Key, Seq: p.Ack, RST: true})
	case p.SYN && p.ACK:
		e.rcvNxt = p.Seq + 1
		e.state = established
		e.acknowledge(now, p.Ack)
		e.sendACK()
		e.push(now)
	}
}

func (e *Endpoint) handleOpen(now time.Duration, p *packet.Packet) {
	switch {
	case p.RST:
		if p.Seq-e.rcvNxt < windowSize {
			e.end(CauseReset)
		}
		return
	case p.SYN && e.state == synReceived && !p.ACK:
		e.sendSYN()
		return
	case p.SYN || !p.ACK:
		e.sendACK() // challenge ACK (RFC 5961), which does not reset the connection
		return
	case int32(p.Ack-e.highest) > 0:
		if e.state == synReceived {
			e.Emit(packet.Segment{Key: e.Key, Seq: p.Ack, RST: true})
		} else {
			e.sendACK()
		}
		return
	case int32(p.Seq-e.rcvNxt) < 0 && int32(p.End()-e.rcvNxt) <= 0:
		// A duplicate or a keep-alive; its acknowledgement can still be new.
		e.acknowledge(now, p.Ack)
		e.sendACK()
		e.push(now)
		e.endIfFinished()
		return
	}
	if e.state == synReceived {
		if p.Ack != e.highest {
			return
		}
		e.state = established
	}
	e.acknowledge(now, p.Ack)
	e.receivePayload(p)
	e.push(now)
	e.endIfFinished()
}

func (e *Endpoint) receivePayload(p *packet.Packet) {
	if p.End() == p.Seq {
		return
	}
	// A segment beyond a gap is dropped, because the peer retransmits from the oldest missing byte.
	if int32(p.Seq-e.rcvNxt) <= 0 && !e.finReceived {
		e.received = append(e.received, p.Payload[min(int(e.rcvNxt-p.Seq), len(p.Payload)):]...)
		e.rcvNxt = p.End()
		e.finReceived = p.FIN
	}
	e.sendACK()
}

// initSequence sets the sequence numbers so that only the SYN is outstanding.
func (e *Endpoint) initSequence(now time.Duration) {
	e.una, e.nxt, e.highest = e.ISN, e.ISN+1, e.ISN+1
	e.retransmitAt = now + e.timeout()
}

func (e *Endpoint) timeout() time.Duration {
	return min(initialTimeout<<min(e.retries, 8), maxTimeout)
}

func (e *Endpoint) acknowledge(now time.Duration, ack uint32) {
	advance := ack - e.una
	if int32(advance) <= 0 || int32(ack-e.highest) > 0 {
		return
	}
	if e.una == e.ISN {
		advance-- // the SYN takes a sequence number but is no payload
	}
	e.una = ack
	if int32(e.nxt-e.una) < 0 {
		e.nxt = e.una
	}
	payload := min(int(advance), len(e.pending))
	e.pending = e.pending[payload:]
	e.Acknowledged += payload
	e.finAcked = e.finAcked || int(advance) > payload
	e.retries = 0
	e.retransmitAt = now + e.timeout()
}

// push sends payload and FIN up to the limit of segments in flight.
func (e *Endpoint) push(now time.Duration) {
	if e.state != established {
		return
	}
	if e.una == e.highest {
		e.retransmitAt = now + e.timeout()
	}
	for {
		offset := int(e.nxt - e.una)
		if offset >= maxInFlight*segmentSize || offset > len(e.pending) || e.finAcked {
			return
		}
		part := e.pending[offset:min(offset+segmentSize, len(e.pending))]
		fin := e.finQueued && offset+len(part) == len(e.pending)
		if len(part) == 0 && !fin {
			return
		}
		e.Emit(packet.Segment{Key: e.Key, Seq: e.nxt, Ack: e.rcvNxt, ACK: true, FIN: fin, Payload: part})
		e.nxt += uint32(len(part))
		if fin {
			e.nxt++
		}
		if int32(e.nxt-e.highest) > 0 {
			e.highest = e.nxt
		}
		if fin {
			return
		}
	}
}

func (e *Endpoint) sendSYN() {
	e.Emit(packet.Segment{Key: e.Key, Seq: e.ISN, Ack: e.rcvNxt, SYN: true, ACK: e.state == synReceived})
}

// sendACK uses the highest sequence number, because a peer replies to an older one with an ACK.
func (e *Endpoint) sendACK() {
	e.Emit(packet.Segment{Key: e.Key, Seq: e.highest, Ack: e.rcvNxt, ACK: true})
}

func (e *Endpoint) endIfFinished() {
	if e.finAcked && e.finReceived {
		e.end(CauseFinished)
	}
}

func (e *Endpoint) end(cause Cause) {
	if e.state != closed {
		e.state = closed
		e.Cause = cause
	}
}
