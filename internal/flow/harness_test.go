package flow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/packet"
)

const (
	isn       = 1 << 31 // initial sequence number of the host; the comparison of sequence numbers changes sign nearby
	callerISN = 1000
)

// emitted is a packet that the table created and sent.
type emitted struct {
	host uint32 // zero is the caller
	packet.Packet
}

// rig is a test harness for one table. Pick returns the first host that is not avoided and Rank returns the hosts in
// the order of their IDs.
type rig struct {
	*is.I
	Table
	s      *fleet.Service
	now    time.Duration
	key    packet.Key
	sent   []emitted
	events []flowevent.Event
	hints  []uint32
}

func flowKey(protocol uint8, port uint16) packet.Key {
	return packet.NewKey(protocol, netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port),
		netip.MustParseAddrPort("198.51.100.1:443"))
}

func service(protocol uint8, hosts int) *fleet.Service {
	s := &fleet.Service{ID: 1, Name: "standdesk", Protocol: protocol, IdleTimeout: time.Hour}
	for i := range hosts {
		s.Hosts = append(s.Hosts, &fleet.Host{ID: uint32(i + 1), Name: string(rune('a' + i)), Weight: 1})
	}
	return s
}

func newRig(t *testing.T, protocol uint8, hosts int) *rig {
	r := &rig{I: is.New(t), s: service(protocol, hosts), now: time.Minute, key: flowKey(protocol, 4000)}
	r.Capacity = 1000
	r.Pick = func(_ time.Duration, s *fleet.Service, _ *packet.Key, avoid []uint32) (*fleet.Host, string) {
		for _, h := range s.Hosts {
			used := h.Leaving
			for _, id := range avoid {
				used = used || id == h.ID
			}
			if !used {
				return h, ""
			}
		}
		return nil, "overload"
	}
	r.Rank = func(s *fleet.Service, _ *packet.Key, out []*fleet.Host) []*fleet.Host { return append(out, s.Hosts...) }
	r.Observe = func(_ time.Duration, e flowevent.Event) { r.events = append(r.events, e) }
	r.Hint = func(_ time.Duration, _ *fleet.Service, _ *packet.Key, h *fleet.Host) { r.hints = append(r.hints, h.ID) }
	r.Emit = func(_ time.Duration, to *fleet.Host, b []byte) {
		var e emitted
		r.NoErr(e.Parse(append([]byte(nil), b...)))
		if to != nil {
			e.host = to.ID
		}
		r.sent = append(r.sent, e)
	}
	return r
}

func parse(r *is.I, s packet.Segment) *packet.Packet {
	b, err := s.Bytes()
	r.NoErr(err)
	p := new(packet.Packet)
	r.NoErr(p.Parse(b))
	return p
}

// sendAsCaller passes a packet of the caller to the table. It returns the host that the packet goes to, or zero, and
// the reason.
func (r *rig) sendAsCaller(s packet.Segment) (uint32, string) {
	r.Helper()
	s.Key = r.key
	v := r.FromCaller(r.now, r.s, parse(r.I, s))
	r.Equal(v.Action == ToHost, v.Host != nil)
	if v.Host == nil {
		return 0, v.Reason
	}
	return v.Host.ID, v.Reason
}

// sendAsHost passes a packet of a host to the table. It returns whether the packet goes to the caller, and the reason.
func (r *rig) sendAsHost(host uint32, s packet.Segment) (bool, string) {
	r.Helper()
	s.Key = r.key.Reverse()
	v := r.FromHost(r.now, r.s, r.s.Hosts[host-1], parse(r.I, s))
	return v.Action == ToCaller, v.Reason
}

// wantHost returns a function that checks the results of sendAsCaller.
func (r *rig) wantHost(host uint32, reason string) func(uint32, string) {
	return func(gotHost uint32, gotReason string) {
		r.Helper()
		r.Equal([]any{gotHost, gotReason}, []any{host, reason})
	}
}

// wantPassed returns a function that checks the results of sendAsHost.
func (r *rig) wantPassed(pass bool, reason string) func(bool, string) {
	return func(gotPass bool, gotReason string) {
		r.Helper()
		r.Equal([]any{gotPass, gotReason}, []any{pass, reason})
	}
}

func (r *rig) syn() (uint32, string) {
	return r.sendAsCaller(packet.Segment{Seq: callerISN, SYN: true})
}

func (r *rig) synACK(host uint32) (bool, string) {
	return r.sendAsHost(host, packet.Segment{Seq: isn, Ack: callerISN + 1, SYN: true, ACK: true})
}

// data sends payload of the caller with the given ACK number.
func (r *rig) data(ack uint32) (uint32, string) {
	return r.sendAsCaller(packet.Segment{Seq: callerISN + 1, Ack: ack, ACK: true, Payload: []byte("request")})
}

// resetSYN replies to a SYN like a host without a listener.
func (r *rig) resetSYN(host uint32) (bool, string) {
	return r.sendAsHost(host, packet.Segment{Ack: callerISN + 1, RST: true, ACK: true})
}

// establish opens a flow on host 1.
func (r *rig) establish() {
	r.syn()
	r.synACK(1)
	host, _ := r.sendAsCaller(packet.Segment{Seq: callerISN + 1, Ack: isn + 1, ACK: true})
	r.Equal(host, uint32(1))
}

func (r *rig) state() string {
	p, ok := r.Get(r.now, &r.key)
	if !ok {
		return ""
	}
	return p.State
}

// lastProbe checks that the last packet that the table sent is a bare keep-alive and returns its host.
func (r *rig) lastProbe() uint32 {
	r.Helper()
	r.True(len(r.sent) > 0)
	e := r.sent[len(r.sent)-1]
	r.True(e.ACK && !e.SYN && !e.RST && !e.FIN && len(e.Payload) == 0)
	return e.host
}

// takeKinds returns and clears the kinds of the recorded events.
func (r *rig) takeKinds() []flowevent.Kind {
	var out []flowevent.Kind
	for _, e := range r.events {
		out = append(out, e.Kind)
	}
	r.events = nil
	return out
}
