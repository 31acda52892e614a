package conntrack

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/flowevent"
)

var key = Key{Caller: netip.MustParseAddrPort("100.64.0.1:4000"), Service: netip.MustParseAddrPort("198.18.0.1:443")}

type recorder struct {
	Table
	events []flowevent.Event
}

func newRecorder() *recorder {
	r := &recorder{}
	r.Observe = func(_ time.Duration, e flowevent.Event) { r.events = append(r.events, e) }
	return r
}

func (r *recorder) kinds() (list []flowevent.Kind) {
	for _, e := range r.events {
		list = append(list, e.Kind)
	}
	r.events = nil
	return list
}

func packet(sequence, acknowledged uint32, length int) *Packet {
	return &Packet{Key: key, Token: 1, ACK: true, Sequence: sequence, Acknowledged: acknowledged, Length: length}
}

const ms = time.Millisecond

// Guards against responses that are not detected or whose response time is wrong.
func TestResponseTimeIsMeasured(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	r.Open(0, &Packet{Key: key, SYN: true}, 1)
	r.HandlePacket(2*ms, packet(100, 500, 0), 1)
	r.HandlePacket(3*ms, packet(100, 500, 200), 1)
	r.HandlePacket(4*ms, packet(300, 500, 50), 1) // Remainder of the request.
	r.HandlePacket(34*ms, packet(350, 1700, 0), 1)
	is.Equal(r.events[2].Kind, flowevent.Requested)
	is.Equal(r.events[3], flowevent.Event{Kind: flowevent.Answered, Host: 1, Route: key.Service, Elapsed: 30 * ms})
	is.Equal(r.kinds(), []flowevent.Kind{flowevent.Opened, flowevent.Accepted, flowevent.Requested, flowevent.Answered})
}

// Guards against a response time that includes idle time of a caller that acknowledges a response only with its next
// request.
func TestResponseAcknowledgedByNextRequest(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	r.HandlePacket(0, packet(100, 500, 0), 1)
	r.HandlePacket(0, packet(100, 500, 200), 1)
	r.kinds()
	r.HandlePacket(900*ms, packet(300, 600, 200), 1)
	is.Equal(r.events[0], flowevent.Event{Kind: flowevent.Answered, Host: 1, Route: key.Service})
	is.Equal(r.kinds(), []flowevent.Kind{flowevent.Answered, flowevent.Requested})
}

// Guards against a server being suspected because packets were reordered in the network.
func TestReorderedDataIsNotRetransmission(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	r.HandlePacket(0, packet(100, 500, 0), 1)
	r.HandlePacket(0, packet(1300, 500, 1200), 1)
	r.kinds()
	is.True(!r.HandlePacket(1*ms, packet(100, 500, 1200), 1))
	is.Equal(len(r.kinds()), 0)
	is.True(r.HandlePacket(201*ms, packet(100, 500, 1200), 1))
	is.Equal(r.kinds(), []flowevent.Kind{flowevent.Repeated})
}

// Guards against servers that refuse flows going undetected. Their resets go directly to the caller, so the entry VM
// only sees that no packet follows the SYN.
func TestSYNWithoutFurtherPacketsIsRefused(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	r.Open(0, &Packet{Key: key, SYN: true}, 1)
	r.Sweep(200 * ms)
	is.Equal(r.kinds(), []flowevent.Kind{flowevent.Opened})
	r.Sweep(400 * ms)
	is.Equal(r.kinds(), []flowevent.Kind{flowevent.Refused, flowevent.Closed})
	is.Equal(r.Len(), 0)
}

// Guards against an unresponsive server being counted as one that refuses flows. A caller retransmits its SYN only if
// it received no reset.
func TestRetransmittedSYNMeansUnanswered(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	r.Open(0, &Packet{Key: key, SYN: true}, 1)
	r.Open(200*ms, &Packet{Key: key, SYN: true}, 2)
	is.Equal(r.events[1], flowevent.Event{Kind: flowevent.Unanswered, Host: 1, Elapsed: 200 * ms})
	r.kinds()
	r.Sweep(1800 * ms)
	is.Equal(r.kinds(), []flowevent.Kind{flowevent.Unanswered, flowevent.Closed})
}

// Guards against requests that stay outstanding forever after their flow moved to another entry VM.
func TestIdleRequestIsAbandoned(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	r.HandlePacket(0, packet(100, 500, 0), 1)
	r.HandlePacket(0, packet(100, 500, 200), 1)
	r.kinds()
	r.Sweep(requestTimeout)
	is.Equal(r.kinds(), []flowevent.Kind{flowevent.Abandoned})
	r.Sweep(idleTimeout)
	is.Equal(r.kinds(), []flowevent.Kind{flowevent.Closed})
}

// Guards against unbounded memory use.
func TestFullTableAddsNoFlow(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	r.Capacity = 1
	is.True(r.Open(0, &Packet{Key: key, SYN: true}, 1) != nil)
	other := key
	other.Caller = netip.MustParseAddrPort("100.64.0.2:4000")
	is.Equal(r.Open(0, &Packet{Key: other, SYN: true}, 1), nil)
	p := packet(1, 1, 10)
	p.Key = other
	is.True(!r.HandlePacket(0, p, 1))
	is.Equal(r.Len(), 1)
}

// Guards against drifting counts: each flow must be opened and closed exactly once, and each request started and ended
// exactly once.
func TestEventsArePaired(t *testing.T) {
	is := is.New(t)
	count := map[flowevent.Kind]int{}
	l := &Table{Observe: func(_ time.Duration, e flowevent.Event) { count[e.Kind]++ }}
	now := time.Duration(0)
	for i := range 200 {
		k := key
		k.Caller = netip.AddrPortFrom(key.Caller.Addr(), uint16(i))
		now += 10 * ms
		if i%3 > 0 {
			l.Open(now, &Packet{Key: k, SYN: true}, uint32(i%4))
		}
		for j := range i % 5 {
			p := packet(uint32(100*j), uint32(500*(j/2)), 100)
			p.Key, p.FIN = k, i%7 == 0 && j == 3
			l.HandlePacket(now+time.Duration(j)*ms, p, uint32(i%4+j/3))
		}
		l.Sweep(now)
	}
	l.Sweep(now + time.Minute)
	l.Sweep(now + 2*time.Minute)
	is.Equal(count[flowevent.Opened]+count[flowevent.Joined], count[flowevent.Closed])
	is.Equal(count[flowevent.Requested], count[flowevent.Answered]+count[flowevent.Abandoned])
	is.Equal(l.Len(), 0)
}
