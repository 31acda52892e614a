package flow

import (
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/packet"
)

// closeBothSides closes the flow of establish with a FIN from each side.
func (r *rig) closeBothSides() {
	r.sendAsCaller(packet.Segment{Seq: callerISN + 1, Ack: isn + 1, ACK: true, FIN: true})
	r.sendAsHost(1, packet.Segment{Seq: isn + 1, Ack: callerISN + 2, ACK: true, FIN: true})
	r.Equal(r.state(), "closed")
}

// Guards against the loss of the last packets of a flow, and against a SYN from a reused port that is sent to the host
// of the old connection.
func TestClosedPinTakesLatePacketsAndNewSYN(t *testing.T) {
	r := newRig(t, packet.TCP, 2)
	r.establish()
	r.closeBothSides()
	r.Equal(r.takeKinds(), []flowevent.Kind{flowevent.Opened, flowevent.Accepted, flowevent.Closed})
	r.wantHost(1, "")(r.sendAsCaller(packet.Segment{Seq: callerISN + 2, Ack: isn + 2, ACK: true}))
	r.s.Hosts[0].Leaving = true
	r.wantHost(2, "")(r.sendAsCaller(packet.Segment{Seq: 77, SYN: true}))
	r.Equal(r.state(), "half-open")
	r.wantHost(0, ReasonSearching)(r.data(isn + 1)) // a late packet of the first connection
	r.now += shortTimeout
	r.Equal(r.state(), "")
}

// Guards against a caller that cannot reuse its port after it has lost its old connection.
func TestSYNOnEstablishedPinProbesHost(t *testing.T) {
	for _, c := range []struct {
		reply *packet.Segment
		want  string
	}{
		{&packet.Segment{Seq: isn + 1 + 1<<30, RST: true}, "closed"},                      // The host holds nothing.
		{&packet.Segment{Seq: isn + 1<<28, Ack: 78, ACK: true}, "closed"},                 // It holds another connection.
		{&packet.Segment{Seq: isn + 1, Ack: callerISN + 1, ACK: true}, "established"},     // It still holds this one.
		{&packet.Segment{Seq: isn, Ack: callerISN + 1, ACK: true, SYN: true}, "no reply"}, // no reply to the probe
	} {
		r := newRig(t, packet.TCP, 1)
		r.establish()
		r.wantHost(0, ReasonSearching)(r.sendAsCaller(packet.Segment{Seq: 77, SYN: true}))
		r.Equal(r.lastProbe(), uint32(1))
		pass, _ := r.sendAsHost(1, *c.reply)
		r.Equal(pass, c.want != "closed") // The RST must not reach the caller; the ACK makes it reset the connection.
		if c.want == "no reply" {
			r.now += retryAfter
		} else {
			r.Equal(r.state(), c.want)
		}
		if c.want == "established" {
			r.sendAsCaller(packet.Segment{Seq: callerISN + 1, RST: true})
		}
		r.wantHost(1, "")(r.sendAsCaller(packet.Segment{Seq: 77, SYN: true}))
		r.Equal(r.state(), "half-open")
	}
}

// Guards against payload sent to the previous host after a pause in which another entry VM may have moved the flow.
func TestUnverifiedPinIsSearchedBeforeUse(t *testing.T) {
	r := newRig(t, packet.TCP, 2)
	r.establish()
	r.data(isn + 1)
	r.MarkUnverified()
	r.wantHost(0, ReasonSearching)(r.data(isn + 1))
	r.Equal([]any{r.state(), r.lastProbe()}, []any{"unverified", uint32(1)})
	r.Equal(r.takeKinds(), []flowevent.Kind{
		flowevent.Opened, flowevent.Accepted, flowevent.Requested, flowevent.Abandoned, flowevent.Closed,
	})
	r.sendAsHost(1, packet.Segment{Seq: isn + 1, Ack: callerISN + 8, ACK: true})
	r.wantHost(1, "")(r.data(isn + 1))
	r.MarkUnverified()
	r.Sweep(r.now) // also ends flows that receive no packets
	r.Equal(r.takeKinds(), []flowevent.Kind{flowevent.Opened, flowevent.Requested, flowevent.Abandoned, flowevent.Closed})
}

// Guards against pins that outlive their flows, and against an unanswered SYN that is not reported.
func TestIdlePinsAreRemoved(t *testing.T) {
	for _, c := range []struct {
		open  func(r *rig)
		after time.Duration
		want  []flowevent.Kind
	}{
		{func(r *rig) { r.syn() }, shortTimeout, []flowevent.Kind{flowevent.Opened, flowevent.Unanswered, flowevent.Closed}},
		{(*rig).establish, time.Hour, []flowevent.Kind{flowevent.Opened, flowevent.Accepted, flowevent.Closed}},
	} {
		r := newRig(t, packet.TCP, 1)
		c.open(r)
		r.Sweep(r.now + c.after - time.Millisecond)
		r.Equal(r.Len(), 1)
		r.Sweep(r.now + c.after)
		r.Equal([]any{r.Len(), r.takeKinds()}, []any{0, c.want})
	}
}

// Guards against a tick that delays packets because it checks the whole table.
func TestSweepAndReleaseAreBounded(t *testing.T) {
	r := newRig(t, packet.TCP, 1)
	r.ScanLimit = 10
	for port := range uint16(25) {
		r.key = flowKey(packet.TCP, port)
		r.syn()
	}
	r.now += shortTimeout
	for _, want := range []int{15, 5, 0} {
		r.Sweep(r.now)
		r.Equal(r.Len(), want)
	}
	for port := range uint16(25) {
		r.key = flowKey(packet.TCP, port)
		r.syn()
	}
	from := 0
	none := func(uint32, *packet.Key) bool { return false }
	for _, want := range []int{10, 20, 0} {
		from = r.Release(r.now, from, none, nil)
		r.Equal(from, want)
	}
	r.Equal(r.Len(), 0)
	r.Equal(r.Table.pendingFlows[0].pin, (*pin)(nil))
}

// Guards against a new owner that receives no hints for exceptions, and against hints that the backup loses.
func TestReleaseHandsOverExceptions(t *testing.T) {
	r := newRig(t, packet.TCP, 4)
	r.Learn(r.now, r.s, &r.key, 2) // another owner's flow
	keys := []packet.Key{flowKey(packet.TCP, 1), flowKey(packet.TCP, 2), flowKey(packet.TCP, 3)}
	r.key = keys[0]
	r.establish() // on the first host of the rank
	for _, k := range keys[1:] {
		r.key = k
		r.data(strayACK)
		r.ackProbe(4)
	}
	r.Equal(r.hints, []uint32{4, 4})
	var handedOver []packet.Key
	owns := func(_ uint32, k *packet.Key) bool { return *k == keys[2] }
	r.Release(r.now, 0, owns, func(k *packet.Key, service, host uint32) {
		r.Equal([]any{service, host}, []any{uint32(1), uint32(4)})
		handedOver = append(handedOver, *k)
	})
	r.Equal([]any{handedOver, r.Len()}, []any{keys[1:2], 2})
}

// Guards against a pin of one service that is used for another service with the same address.
func TestPinIsNotUsedForAnotherService(t *testing.T) {
	r := newRig(t, packet.TCP, 2)
	r.establish()
	r.s = service(packet.TCP, 2)
	r.s.ID = 2
	r.wantPassed(false, ReasonForeign)(r.sendAsHost(1, packet.Segment{Seq: isn + 1, Ack: callerISN + 1, ACK: true}))
	r.wantHost(0, ReasonSearching)(r.data(isn + 1))
}

// Guards against a UDP flow that changes its host when the fleet changes, and against owners that choose different
// hosts.
func TestDatagramsKeepTheirHost(t *testing.T) {
	r := newRig(t, packet.UDP, 5)
	other := newRig(t, packet.UDP, 5)
	request := packet.Segment{Payload: []byte("ask")}
	first, _ := r.sendAsCaller(request)
	otherFirst, _ := other.sendAsCaller(request)
	r.Equal(first, otherFirst)
	r.s.Hosts[first-1].Leaving = true
	r.now += datagramCheckSeconds * time.Second
	r.wantHost(first, "")(r.sendAsCaller(request))
	r.Equal(r.hints, []uint32{first}) // Others would now choose differently.
	wrong := first%5 + 1
	r.wantPassed(false, ReasonCrossedReply)(r.sendAsHost(wrong, request))
	r.wantPassed(true, "")(r.sendAsHost(first, request))
	r.Equal(r.takeKinds(), []flowevent.Kind{flowevent.Opened, flowevent.Requested, flowevent.Answered})

	newOwner := newRig(t, packet.UDP, 5) // takes over one flow with a hint and another from return traffic
	newOwner.s.Hosts[first-1].Leaving = true
	newOwner.Learn(newOwner.now, newOwner.s, &r.key, first)
	newOwner.wantHost(first, "")(newOwner.sendAsCaller(request))
	newOwner.MarkUnverified()
	newOwner.wantHost(first, "")(newOwner.sendAsCaller(request))
	newOwner.wantPassed(true, "")(newOwner.sendAsHost(first, request))
	r.Equal(newOwner.state(), "established")
	newOwner.key = flowKey(packet.UDP, 2)
	newOwner.wantPassed(true, "")(newOwner.sendAsHost(2, request))
	newOwner.wantHost(2, "")(newOwner.sendAsCaller(request))
	newOwner.now += datagramIdleTimeout
	newOwner.Sweep(newOwner.now)
	r.Equal(newOwner.Len(), 0)
	r.Equal(newOwner.takeKinds(), []flowevent.Kind{
		flowevent.Opened, flowevent.Requested, flowevent.Abandoned, flowevent.Closed,
		flowevent.Opened, flowevent.Requested, flowevent.Answered,
		flowevent.Opened, flowevent.Requested, flowevent.Abandoned, flowevent.Closed, flowevent.Closed,
	})
	newOwner.s = &fleet.Service{ID: 1}
	newOwner.wantHost(0, ReasonNoHost)(newOwner.sendAsCaller(request))
}
