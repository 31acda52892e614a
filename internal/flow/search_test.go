package flow

import (
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/packet"
)

const strayACK = isn + 900 // the ACK number of a caller whose flow has no pin

// resetProbe replies to a probe like a host that does not hold the connection.
func (r *rig) resetProbe(host uint32) (bool, string) {
	return r.sendAsHost(host, packet.Segment{Seq: strayACK, RST: true})
}

func (r *rig) ackProbe(host uint32) (bool, string) {
	return r.sendAsHost(host, packet.Segment{Seq: strayACK, Ack: callerISN + 1, ACK: true})
}

// Guards against a search that probes several hosts at once or in the wrong order, or that sends payload to hosts.
func TestSearchProbesOneHostAtATimeInOrder(t *testing.T) {
	r := newRig(t, packet.TCP, 4)
	r.Rank = func(s *fleet.Service, _ *packet.Key, out []*fleet.Host) []*fleet.Host {
		return append(out, s.Hosts[1], s.Hosts[0])
	}
	r.s.Hosts[3].Leaving = true
	r.Learn(r.now, r.s, &r.key, 3)
	var probed []uint32
	for i := range 4 {
		r.wantHost(0, ReasonSearching)(r.data(strayACK))
		r.data(strayACK) // A second packet sends nothing while a reply is awaited.
		r.Equal(len(r.sent), i+1)
		probed = append(probed, r.lastProbe())
		r.Equal([]any{r.sent[i].Seq, r.sent[i].Ack}, []any{uint32(callerISN), uint32(strayACK)})
		r.now += probeTimeout
	}
	r.Equal(probed, []uint32{3, 2, 1, 4}) // the hint, then the rank, then the others including the leaving host
	r.data(strayACK)
	r.Equal(r.lastProbe(), uint32(3))                    // No host replied, so the search returns to the first candidate.
	r.wantPassed(false, ReasonProbeReply)(r.ackProbe(4)) // A late reply also verifies the host.
	r.Equal(r.state(), "established")
	r.wantHost(4, "")(r.data(strayACK))
	r.Equal(r.takeKinds(), []flowevent.Kind{flowevent.Opened, flowevent.Requested})
	r.Equal(r.hints, []uint32{4})
}

// Guards against a flow that is reset or hangs when its host is one of several and the others do not hold it.
func TestSearchExcludesHostsThatReset(t *testing.T) {
	r := newRig(t, packet.TCP, 3)
	r.data(strayACK)
	// A RST of an older connection excludes no host.
	r.wantPassed(false, ReasonUnknownFlow)(r.sendAsHost(1, packet.Segment{Seq: 7, RST: true}))
	r.Equal(len(r.sent), 1)
	r.wantPassed(false, ReasonProbeReply)(r.resetProbe(1))
	r.Equal(r.lastProbe(), uint32(2))
	r.Sweep(r.now + probeTimeout - time.Millisecond)
	r.Equal(len(r.sent), 2)
	r.now += probeTimeout
	r.Sweep(r.now) // continues the search without a packet of the caller
	r.Equal(r.lastProbe(), uint32(3))
	r.resetProbe(3)
	for range 3 { // Host 2 is unresponsive: the caller is not reset, and the excluded hosts are not probed again.
		r.now += probeTimeout
		r.wantHost(0, ReasonSearching)(r.data(strayACK))
		r.Equal(r.lastProbe(), uint32(2))
	}
	r.Equal(len(r.sent), 6)
}

// Guards against a caller that hangs on a connection that no host holds, and against a RST that matches another
// connection.
func TestSearchResetsCallerWhenAllRefuse(t *testing.T) {
	r := newRig(t, packet.TCP, 2)
	for range 6 { // The publication of the host may not have arrived yet, so all hosts are probed repeatedly for 6 s.
		r.data(strayACK)
		r.wantPassed(false, ReasonProbeReply)(r.resetProbe(1))
		r.wantPassed(false, ReasonProbeReply)(r.resetProbe(2))
		r.now += time.Second
	}
	r.Equal(r.Len(), 1)
	r.data(strayACK)
	r.resetProbe(1)
	r.wantPassed(false, ReasonUnknownFlow)(r.resetProbe(2))
	r.Equal(r.Len(), 0)
	e := r.sent[len(r.sent)-1]
	r.Equal([]any{e.host, e.RST, e.ACK, e.Seq}, []any{uint32(0), true, false, uint32(strayACK)})
	r.wantPassed(false, ReasonUnknownFlow)(r.resetProbe(2)) // A duplicate must not reach the caller.
}

// Guards against a reset of a flow whose host was published to another entry VM first.
func TestSearchFindsHostPublishedLater(t *testing.T) {
	r := newRig(t, packet.TCP, 2)
	r.data(strayACK)
	r.resetProbe(1)
	r.resetProbe(2)
	r.s = service(packet.TCP, 3)
	r.now += time.Second
	r.data(strayACK)
	r.resetProbe(1)
	r.resetProbe(2)
	r.Equal(r.lastProbe(), uint32(3))
	r.wantPassed(false, ReasonProbeReply)(r.sendAsHost(3, packet.Segment{Seq: strayACK, Ack: callerISN + 1, ACK: true}))
	r.wantHost(3, "")(r.data(strayACK))
	for _, e := range r.sent {
		r.True(e.host != 0) // the caller is not reset
	}
}

// Guards against a search that never ends or that resets a caller whose host cannot be reached.
func TestSearchEnds(t *testing.T) {
	r := newRig(t, packet.TCP, 2)
	r.data(strayACK)
	r.resetProbe(1)
	for range 29 {
		r.now += time.Second
		r.Sweep(r.now)
		r.wantHost(0, ReasonSearching)(r.data(strayACK))
	}
	r.Equal(r.Len(), 1)
	r.now += time.Second
	r.Sweep(r.now)
	r.Equal(r.Len(), 0)
	r.data(strayACK)
	r.Equal(r.lastProbe(), uint32(1)) // The next search probes all hosts again.
}

// Guards against packets of unknown flows that fill the table or exceed the probe budget.
func TestSearchIsBounded(t *testing.T) {
	r := newRig(t, packet.TCP, 2)
	r.PendingLimit = 1
	allow := false
	r.AllowProbe = func(time.Duration) bool { return allow }
	r.wantHost(0, ReasonSearching)(r.data(strayACK))
	r.Equal([]any{r.Len(), len(r.sent)}, []any{0, 0})
	allow = true
	r.data(strayACK)
	r.key = flowKey(packet.TCP, 4001)
	r.wantHost(0, ReasonSearching)(r.data(strayACK))
	r.Equal([]any{r.Len(), len(r.sent)}, []any{1, 1})
	r.wantHost(1, "")(r.syn()) // New flows are accepted without a saved SYN.
	r.wantPassed(true, ReasonHostRefused)(r.resetSYN(1))
	r.wantHost(0, ReasonUnknownFlow)(r.sendAsCaller(packet.Segment{Seq: 1, RST: true}))
}

// Guards against a flow that stays at the wrong host because another entry VM opened it on a second host while this one
// kept its pin.
func TestSearchMovesMismatchedPin(t *testing.T) {
	r := newRig(t, packet.TCP, 3)
	r.establish()
	r.takeKinds()
	const other = isn + 1<<28
	r.wantHost(0, ReasonSearching)(r.data(other))
	r.Equal(r.lastProbe(), uint32(1)) // The pinned host is probed first, but it holds another connection.
	r.wantPassed(true, "")(r.sendAsHost(1, packet.Segment{Seq: isn + 1, Ack: callerISN + 1, ACK: true}))
	r.wantHost(1, "")(r.data(isn + 1))
	r.data(other) // The packet that matches the pin has ended the first search.
	r.now += probeTimeout
	r.data(other)
	r.Equal(r.lastProbe(), uint32(2))
	r.sendAsHost(2, packet.Segment{Seq: other, Ack: callerISN + 1, ACK: true})
	r.wantHost(2, "")(r.data(other))
	r.Equal(r.takeKinds(), []flowevent.Kind{
		flowevent.Requested, flowevent.Abandoned, flowevent.Closed, flowevent.Opened, flowevent.Requested,
	})
}

// Guards against a search that misses the host because earlier payload was lost. The host does not reply to a probe
// inside its window.
func TestProbePrecedesLostPayload(t *testing.T) {
	r := newRig(t, packet.TCP, 1)
	r.sendAsCaller(packet.Segment{Seq: callerISN + 500, Ack: strayACK, ACK: true})
	r.now += probeTimeout
	r.data(strayACK)
	r.sendAsCaller(packet.Segment{Seq: callerISN + 600, Ack: strayACK + 9, ACK: true})
	r.now += probeTimeout
	r.Sweep(r.now)
	r.sendAsCaller(packet.Segment{Seq: callerISN + 700, Ack: strayACK + 9, ACK: true})
	e := r.sent[len(r.sent)-1]
	r.Equal([]any{len(r.sent), e.Seq, e.Ack}, []any{3, uint32(callerISN), uint32(strayACK + 9)})
}

// Guards against a search that never reaches the host of a flow, because hosts with older connections of the port reply
// to the probes and restart the search.
func TestSearchContinuesAfterMismatchedReplies(t *testing.T) {
	r := newRig(t, packet.TCP, 3)
	older := packet.Segment{Seq: 5, Ack: 6, ACK: true}
	r.sendAsHost(1, older)
	for host := range uint32(3) {
		r.data(strayACK)
		r.Equal(r.lastProbe(), host+1)
		if host < 2 {
			r.sendAsHost(host+1, older)
			r.now += probeTimeout
		}
	}
	r.ackProbe(3)
	r.wantHost(3, "")(r.data(strayACK))
}

// Guards against a flow that stays blocked because its sequence numbers advanced through another entry VM.
func TestSearchRefreshesSequence(t *testing.T) {
	r := newRig(t, packet.TCP, 2)
	r.establish()
	const far = isn + 1<<28
	r.data(far)
	r.sendAsHost(1, packet.Segment{Seq: far, Ack: callerISN + 1, ACK: true})
	r.wantHost(1, "")(r.data(far))
	r.wantPassed(true, "")(r.sendAsHost(1, packet.Segment{
		Seq: far + 1<<28, Ack: callerISN + 8, ACK: true, Payload: []byte("push"),
	}))
	r.wantHost(1, "")(r.data(far + 1<<28 + 4))
}

// Guards against a change of owner that interrupts a flow in which only the host sends.
func TestLearnFromReturnTraffic(t *testing.T) {
	r := newRig(t, packet.TCP, 3)
	for _, s := range []packet.Segment{{Seq: strayACK, RST: true}, {Seq: isn, Ack: callerISN + 1, SYN: true, ACK: true}} {
		r.wantPassed(false, ReasonUnknownFlow)(r.sendAsHost(2, s))
		r.Equal(r.Len(), 0)
	}
	r.wantPassed(true, "")(r.ackProbe(1)) // A bare ACK can come from a host that never received the caller's ACK.
	r.wantPassed(true, "")(r.sendAsHost(2, packet.Segment{
		Seq: strayACK + 1<<28, Ack: callerISN + 1, ACK: true, Payload: []byte("push"),
	}))
	r.wantHost(0, ReasonSearching)(r.data(strayACK))
	r.wantHost(2, "")(r.data(strayACK + 1<<28 + 4))
	r.Equal(r.state(), "established")
	r.wantPassed(false, ReasonCrossedReply)(r.ackProbe(1)) // The caller has confirmed host 2.
}

// Guards against a handshake that stays half-open because the caller's ACK went through another entry VM.
func TestHostPayloadEndsHandshake(t *testing.T) {
	r := newRig(t, packet.TCP, 2)
	r.syn()
	r.synACK(1)
	pass, _ := r.sendAsHost(1, packet.Segment{Seq: isn + 1, Ack: callerISN + 1, ACK: true, Payload: []byte("hello")})
	r.Equal([]any{pass, r.state()}, []any{true, "established"})
}

// Guards against payload sent to a host that has only received the SYN, from another entry VM, and whose initial
// sequence number is near that of the host that serves the flow. A host with payload in flight still verifies the pin,
// by retransmitting the payload.
func TestSearchIgnoresBareACKWithOtherNumber(t *testing.T) {
	r := newRig(t, packet.TCP, 3)
	r.wantHost(0, ReasonSearching)(r.data(isn + 1))
	r.Equal(r.lastProbe(), uint32(1))
	r.wantPassed(false, ReasonProbeReply)(r.sendAsHost(1, packet.Segment{Seq: isn + 5000, Ack: callerISN + 1, ACK: true}))
	r.now += probeTimeout
	r.wantHost(0, ReasonSearching)(r.data(isn + 1))
	r.Equal(r.lastProbe(), uint32(2))
	r.wantPassed(true, "")(r.sendAsHost(2, packet.Segment{
		Seq: isn + 1, Ack: callerISN + 1, ACK: true, Payload: []byte("push"),
	}))
	r.wantHost(2, "")(r.data(isn + 1))
}
