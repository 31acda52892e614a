package flow

import (
	"bytes"
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/packet"
)

// Guards against payload sent to a host whose SYN-ACK the caller did not acknowledge. The request could run twice.
func TestFirstPayloadNeedsExactACK(t *testing.T) {
	for _, ack := range []uint32{isn, isn + 2, isn + 1 + sequenceWindow, 0} {
		r := newRig(t, packet.TCP, 3)
		r.syn()
		r.wantHost(0, ReasonSearching)(r.data(isn + 1)) // before the SYN-ACK
		r.wantPassed(true, "")(r.synACK(1))
		r.wantHost(0, ReasonSearching)(r.data(ack))
		r.Equal(r.state(), "half-open")
		r.wantHost(1, "")(r.data(isn + 1))
		r.Equal(r.state(), "established")
	}
}

// Guards against payload of another connection sent to the pinned host, and against a search that is started by the
// ACKs of a fast download.
func TestLaterPayloadNeedsACKNearHostSequence(t *testing.T) {
	r := newRig(t, packet.TCP, 3)
	r.establish()
	const seen = isn + 5000
	r.wantPassed(true, "")(r.sendAsHost(1, packet.Segment{
		Seq: seen - 3, Ack: callerISN + 1, ACK: true, Payload: []byte("abc"),
	}))
	for ack, want := range map[uint32]uint32{
		seen: 1, seen - sequenceWindow: 1, seen + ackAhead: 1, seen - sequenceWindow - 1: 0, seen + ackAhead + 1: 0,
	} {
		host, _ := r.data(ack)
		r.Equal(host, want)
	}
	r.Equal(r.state(), "established") // A stray packet does not end the flow.
}

// Guards against a SYN sent to a second host when the retransmission is early or the first host has responded.
func TestUnansweredSYNMovesOnRetransmission(t *testing.T) {
	r := newRig(t, packet.TCP, 3)
	budget := 0
	r.AllowRetry = func(time.Duration) bool { budget--; return budget >= 0 }
	r.wantHost(1, "")(r.syn())
	r.now += retryAfter - time.Millisecond
	budget = 1
	r.wantHost(1, "")(r.syn())
	r.Equal(budget, 1) // early
	budget = 0
	r.now += time.Millisecond
	r.wantHost(1, "")(r.syn()) // no budget
	budget = 1
	r.wantHost(2, ReasonRetryUnanswered)(r.syn())
	r.Equal(r.takeKinds(), []flowevent.Kind{flowevent.Opened, flowevent.Unanswered, flowevent.Closed, flowevent.Opened})
	r.wantPassed(false, ReasonCrossedReply)(r.synACK(1))
	r.synACK(2)
	r.now += 3 * time.Second
	budget = 1
	r.wantHost(2, "")(r.syn()) // The host has responded.
	r.Equal(r.takeKinds(), []flowevent.Kind{flowevent.Accepted})
}

// Guards against new flows to an unresponsive host. A flow that cannot move for lack of retry budget must still report
// the unanswered SYN.
func TestUnansweredSYNIsReportedWithoutRetryBudget(t *testing.T) {
	r := newRig(t, packet.TCP, 2)
	r.AllowRetry = func(time.Duration) bool { return false }
	r.syn()
	for range 4 { // Two of them are a second or more after the previous event.
		r.now += retryAfter * 6 / 10
		r.wantHost(1, "")(r.syn())
	}
	r.Equal(r.takeKinds(), []flowevent.Kind{flowevent.Opened, flowevent.Unanswered, flowevent.Unanswered})
}

// Guards against a retransmitted SYN sent to a leaving host because the retry budget is empty.
func TestSYNMovesFromLeavingHost(t *testing.T) {
	r := newRig(t, packet.TCP, 2)
	r.AllowRetry = func(time.Duration) bool { return false }
	r.syn()
	r.s.Hosts[0].Leaving = true
	r.now += retryAfter
	r.wantHost(2, ReasonRetryUnanswered)(r.syn())
}

// Guards against a caller that is refused because one host has no listener.
func TestRefusedSYNGoesToNextHost(t *testing.T) {
	r := newRig(t, packet.TCP, 3)
	r.syn()
	// A late reply to a probe is not a refusal.
	r.wantPassed(false, ReasonUnknownFlow)(r.sendAsHost(1, packet.Segment{Seq: isn, RST: true}))
	r.Equal(len(r.sent), 0)
	r.wantPassed(false, ReasonRetryRefused)(r.resetSYN(1))
	want := parse(r.I, packet.Segment{Key: r.key, Seq: callerISN, SYN: true})
	r.True(bytes.Equal(r.sent[0].Bytes, want.Bytes))
	r.Equal(r.sent[0].host, uint32(2))
	r.Equal(r.takeKinds(), []flowevent.Kind{flowevent.Opened, flowevent.Refused, flowevent.Closed, flowevent.Opened})
	r.synACK(2)
	r.wantHost(2, "")(r.data(isn + 1))
}

// Guards against a caller that receives no refusal when its SYN cannot be sent to another host.
func TestRefusalReachesCaller(t *testing.T) {
	for _, c := range []struct {
		hosts  int
		budget bool
		reason string
	}{{1, true, ReasonNoHost}, {3, false, ReasonRetryBudget}} {
		r := newRig(t, packet.TCP, c.hosts)
		r.AllowRetry = func(time.Duration) bool { return c.budget }
		r.syn()
		pass, reason := r.resetSYN(1)
		r.Equal([]any{pass, reason, len(r.sent)}, []any{false, c.reason, 1})
		e := r.sent[0]
		r.Equal([]any{e.host, e.RST, e.ACK, e.Seq, e.Ack}, []any{uint32(0), true, true, uint32(0), uint32(callerISN + 1)})
		r.Equal(r.takeKinds(), []flowevent.Kind{flowevent.Opened, flowevent.Refused, flowevent.Closed})
		r.Equal(r.Len(), 0)
	}
}

// Guards against new flows that are neither refused nor counted when the table is full or no host is available, and
// against packets with impossible flags that reach a host.
func TestNewFlowWithoutRoomOrHostIsRefused(t *testing.T) {
	r := newRig(t, packet.TCP, 1)
	r.Capacity = 1
	host, reason := r.sendAsCaller(packet.Segment{Seq: callerISN, SYN: true, Payload: []byte("x")})
	r.Equal([]any{host, reason, len(r.sent)}, []any{uint32(0), ReasonSYNWithData, 0})
	r.establish()
	r.key = flowKey(packet.TCP, 4001)
	_, reason = r.syn()
	r.Equal([]any{reason, len(r.sent), r.sent[0].RST, r.sent[0].Seq}, []any{ReasonTableFull, 1, true, uint32(0)})
	_, reason = r.data(5)
	r.Equal([]any{reason, len(r.sent)}, []any{ReasonTableFull, 1}) // no reset for an established connection
	r.pins.capacity = 2
	r.s.Hosts[0].Leaving = true
	_, reason = r.syn()
	r.Equal([]any{reason, len(r.sent)}, []any{"overload", 2})
	for _, s := range []packet.Segment{{SYN: true, ACK: true}, {SYN: true, FIN: true}, {FIN: true}} {
		r.wantHost(0, ReasonForeign)(r.sendAsCaller(s))
	}
	r.wantPassed(false, ReasonForeign)(r.sendAsHost(1, packet.Segment{FIN: true}))
}

// Guards against a pin that is not freed when its caller gives up during the handshake.
func TestCallerResetsHandshake(t *testing.T) {
	r := newRig(t, packet.TCP, 1)
	r.syn()
	r.synACK(1)
	r.wantHost(1, "")(r.sendAsCaller(packet.Segment{Seq: 5, RST: true})) // resets an older connection
	r.Equal(r.state(), "half-open")
	r.wantHost(1, "")(r.sendAsCaller(packet.Segment{Seq: callerISN + 1, RST: true}))
	r.Equal(r.Len(), 0)
	r.Equal(r.takeKinds(), []flowevent.Kind{flowevent.Opened, flowevent.Accepted, flowevent.Closed})
}

// Guards against requests that are counted twice or never completed, which would distort the learned capacity.
func TestRequestEventsAreBalanced(t *testing.T) {
	r := newRig(t, packet.TCP, 1)
	r.establish()
	r.takeKinds()
	r.data(isn + 1)
	r.data(isn + 1) // a retransmission
	r.sendAsHost(1, packet.Segment{Seq: isn + 1, Ack: callerISN + 8, ACK: true})
	r.Equal(r.takeKinds(), []flowevent.Kind{flowevent.Requested})
	r.now += 30 * time.Millisecond
	r.sendAsHost(1, packet.Segment{Seq: isn + 1, Ack: callerISN + 8, ACK: true, Payload: []byte("response")})
	r.Equal(r.events[0].Elapsed, 30*time.Millisecond)
	r.data(isn + 9) // the retransmission of an answered request
	r.sendAsCaller(packet.Segment{Seq: callerISN + 8, Ack: isn + 9, ACK: true, Payload: []byte("next")})
	r.Equal(r.takeKinds(), []flowevent.Kind{flowevent.Answered, flowevent.Requested})
	r.wantPassed(true, "")(r.sendAsHost(1, packet.Segment{Seq: isn + 9, RST: true}))
	r.True(r.events[0].Reset)
	r.Equal(r.takeKinds(), []flowevent.Kind{flowevent.Abandoned, flowevent.Closed})
}
