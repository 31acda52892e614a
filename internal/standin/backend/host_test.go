package backend

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/geneve"
	"github.com/masticspar/masticspar/internal/packet"
)

var (
	service = netip.MustParseAddrPort("198.51.100.1:80")
	source  = netip.MustParseAddrPort("127.2.0.1:6081")
)

// newHost returns a host and the list that its sent packets are appended to.
func newHost(t *testing.T) (*Host, *[]packet.Packet) {
	sent := &[]packet.Packet{}
	return &Host{
		Name: "h", Services: []netip.AddrPort{service}, ServiceTime: 10 * time.Millisecond,
		Random: rand.New(rand.NewPCG(1, 1)),
		Emit: func(inner []byte, _ *packet.Key) {
			var p packet.Packet
			if err := p.Parse(inner); err != nil {
				t.Error(err)
			}
			*sent = append(*sent, p)
		},
	}, sent
}

func deliver(t *testing.T, h *Host, now time.Duration, s packet.Segment) {
	t.Helper()
	b, err := s.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	h.HandleDatagram(now, source, geneve.Append(nil, b, geneve.ToService, 0, netip.Addr{}))
}

func key(protocol uint8, n int) packet.Key {
	return packet.NewKey(protocol, netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+n)), service)
}

// countResponses keeps a host busy with UDP requests from one time to another and returns the number of responses.
func countResponses(t *testing.T, h *Host, from, until time.Duration, sent *[]packet.Packet) int {
	t.Helper()
	*sent = nil
	for now := from; now < until; now += 7 * time.Millisecond { // not a divisor of the service time
		for len(h.queue) < 50 { // more requests than the fastest host completes in a step
			line := fmt.Sprintf("GET 1 t%d\n", h.Statistics.Requests+len(h.queue))
			deliver(t, h, now, packet.Segment{Key: key(packet.UDP, 1), Payload: []byte(line)})
		}
		h.Tick(now)
	}
	return len(*sent)
}

// Guards against a host that executes more or fewer requests than Capacity returns. Load imbalance is measured against
// that value.
func TestCapacityMatchesSlotsSpeedAndMode(t *testing.T) {
	for _, c := range []struct {
		speed float64
		mode  Mode
		want  float64 // requests per second
	}{
		{1, Mode{}, 200},
		{4, Mode{}, 800},
		{4, Mode{Kind: ModeSlow, Factor: 2}, 400},
		{1, Mode{Kind: ModeCold, WarmUp: 100 * time.Hour}, 20},
	} {
		is := is.New(t)
		h, sent := newHost(t)
		h.Speed = c.speed
		h.SetMode(0, c.mode)
		is.True(math.Abs(h.Capacity(time.Second)/c.want-1) < 0.001) // want the capacity within 0.1%
		const requests = 2000                                       // standard deviation 2.2%
		period := time.Duration(requests / c.want * float64(time.Second))
		got := countResponses(t, h, 0, period, sent)
		t.Logf("capacity %v: %d responses in %s", c.want, got, period)
		is.True(math.Abs(float64(got)/requests-1) < 0.1)                               // want the responses within 10%
		is.True(math.Abs(float64(h.Snapshot(period).Busy)/float64(2*period)-1) < 0.01) // want both slots busy
	}
}

// Guards against a host that accepts more connections than its limit, and against closed connections that still count
// towards the limit.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	h, sent := newHost(t)
	h.MaxConnections = 3
	for n := range 5 {
		deliver(t, h, 0, packet.Segment{Key: key(packet.TCP, n), Seq: 10, SYN: true})
	}
	for n, p := range *sent {
		is.Equal(p.RST, n >= 3)
		is.Equal(p.SYN, n < 3)
	}
	deliver(t, h, 0, packet.Segment{Key: key(packet.TCP, 0), Seq: 11, RST: true})
	*sent = nil
	deliver(t, h, 0, packet.Segment{Key: key(packet.TCP, 9), Seq: 10, SYN: true})
	is.True((*sent)[0].SYN)
	is.Equal(h.Snapshot(0).OpenConnections, 3)
	is.Equal(h.Statistics.Refused, 2)
}

// Guards against a host that creates a connection for a keep-alive of an unknown flow, or that accepts connections for
// another service.
func TestUnknownSegmentsAreReset(t *testing.T) {
	is := is.New(t)
	h, sent := newHost(t)
	deliver(t, h, 0, packet.Segment{Key: key(packet.TCP, 1), Seq: 10, Ack: 77, ACK: true})
	is.True((*sent)[0].RST && (*sent)[0].Seq == 77)
	other := key(packet.TCP, 1)
	other.DestinationPort++
	deliver(t, h, 0, packet.Segment{Key: other, Seq: 10, SYN: true})
	is.True((*sent)[1].RST && (*sent)[1].Ack == 11)
	is.Equal(len(h.connections), 0)
	is.Equal(h.Statistics.Foreign, 1)
}
