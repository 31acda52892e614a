package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/standin/trace"
)

// replay runs the events of a counterexample to model/pins.pml against tables, one for each entry VM. Its methods use
// the numbers of the trace: e is an entry VM and f is a flow.
type replay struct {
	*is.I
	now        time.Duration
	tables     [3]*Table
	services   [2]*fleet.Service
	pickedHost uint32             // host ID that Pick returns; zero refuses the flow
	open       [2]uint32          // host ID that each flow is connected to; zero when there is none
	refused    [2]bool            // flows that the caller saw refused
	executedOn [2]map[uint32]bool // hosts that executed payload of each flow
}

// hostISN returns the initial sequence number of a host, which is far from those of the others.
func hostISN(id uint32) uint32 { return id << 28 }

func newReplay(t *testing.T) *replay {
	r := &replay{I: is.New(t), now: time.Minute}
	// Flow 0 belongs to the service on hosts 1 and 2, flow 1 to the service on host 3.
	first, second := service(packet.TCP, 2), service(packet.TCP, 3)
	second.ID, second.Hosts = 2, second.Hosts[2:]
	r.services = [2]*fleet.Service{first, second}
	for f := range r.executedOn {
		r.executedOn[f] = map[uint32]bool{}
	}
	for e := range r.tables {
		r.restart(e)
	}
	return r
}

// restart replaces the table of entry VM e by an empty one.
func (r *replay) restart(e int) {
	table := &Table{Capacity: 100}
	table.Pick = func(_ time.Duration, s *fleet.Service, _ *packet.Key, _ []uint32) (*fleet.Host, string) {
		if r.pickedHost == 0 {
			return nil, "overload"
		}
		for _, h := range s.Hosts {
			if h.ID == r.pickedHost {
				return h, ""
			}
		}
		return s.Hosts[0], "" // The event names a host of another service.
	}
	table.Rank = func(s *fleet.Service, _ *packet.Key, out []*fleet.Host) []*fleet.Host { return append(out, s.Hosts...) }
	table.Emit = func(_ time.Duration, to *fleet.Host, b []byte) {
		var p packet.Packet
		r.NoErr(p.Parse(append([]byte(nil), b...)))
		r.receive(e, to, &p)
	}
	r.tables[e] = table
}

func replayKey(f int) packet.Key { return flowKey(packet.TCP, uint16(5000+f)) }

// receive handles a packet that a table sent to a host, or to the caller when the host is nil.
func (r *replay) receive(e int, to *fleet.Host, p *packet.Packet) {
	if to == nil {
		return
	}
	f := int(p.Key.SourcePort) - 5000
	if len(p.Payload) > 0 {
		r.executedOn[f][to.ID] = true
		return
	}
	if p.SYN {
		return
	}
	reply := packet.Segment{Key: p.Key.Reverse(), Seq: p.Ack, RST: true}
	if r.open[f] == to.ID {
		reply = packet.Segment{Key: p.Key.Reverse(), Seq: hostISN(to.ID) + 1, Ack: callerISN + 1, ACK: true}
	}
	r.tables[e].FromHost(r.now, r.services[f], to, parse(r.I, reply))
}

func (r *replay) call(e, f int, s packet.Segment) Verdict {
	s.Key = replayKey(f)
	p := parse(r.I, s)
	v := r.tables[e].FromCaller(r.now, r.services[f], p)
	if v.Action == ToHost {
		r.receive(e, v.Host, p)
	}
	return v
}

func (r *replay) syn(e, f int, host uint32) {
	r.pickedHost = host
	r.call(e, f, packet.Segment{Seq: callerISN, SYN: true})
}

// accept sends the SYN-ACK of a host to the caller through every entry VM that forwards it.
func (r *replay) accept(f int, host uint32) {
	for _, h := range r.services[f].Hosts {
		if h.ID != host {
			continue
		}
		p := parse(r.I, packet.Segment{
			Key: replayKey(f).Reverse(), Seq: hostISN(host), Ack: callerISN + 1, SYN: true, ACK: true,
		})
		for _, table := range r.tables {
			table.FromHost(r.now, r.services[f], h, p)
		}
		r.open[f] = host
	}
}

func (r *replay) payload(e, f int) {
	r.call(e, f, packet.Segment{
		Seq: callerISN + 1, Ack: hostISN(r.open[f]) + 1, ACK: true, Payload: []byte("request"),
	})
}

func (r *replay) event(e trace.Event) {
	a, b, c := e.Numbers[0], e.Numbers[1], e.Numbers[2]
	r.now += 10 * time.Millisecond
	switch e.Name {
	case "syn":
		r.syn(a, b, uint32(c)+1)
	case "resend":
		r.syn(a, b, 0)
	case "refuse":
		r.syn(a, b, 0)
	case "forget":
		r.now += shortTimeout
		r.tables[a].Sweep(r.now)
	case "payload":
		r.payload(a, b)
	case "pause":
		r.tables[a].MarkUnverified()
	case "kill":
		r.restart(a)
	case "accept":
		r.accept(a, uint32(b)+1)
	case "refused":
		r.refused[a] = r.open[a] == 0
	default:
		r.Fail() // unknown event
	}
}

func (r *replay) check() {
	for f, hosts := range r.executedOn {
		r.True(len(hosts) <= 1)                     // payload of one flow reaches one host only
		r.True(!r.refused[f] || len(hosts) == 0)    // no payload of a refused flow runs
		r.True(len(hosts) == 0 || hosts[r.open[f]]) // payload runs only on the host that the caller is connected to
	}
}

// Guards against code that lacks a rule that the model checker found to be necessary. Each trace violates the
// specification if one rule is left out.
func TestReplayOfModelTraces(t *testing.T) {
	traces, err := trace.ReadAll("testdata/traces")
	is.New(t).NoErr(err)
	is.New(t).Equal(len(traces), 6)
	for _, x := range traces {
		t.Run(x.Name, func(t *testing.T) {
			r := newReplay(t)
			for _, e := range x.Events {
				r.event(e)
				r.check()
			}
			r.checkDelivery()
		})
	}
}

// checkDelivery checks that the payload of each open flow eventually reaches its host through one entry VM.
func (r *replay) checkDelivery() {
	for f, host := range r.open {
		if host == 0 || r.refused[f] {
			continue
		}
		for range 10 {
			r.now += probeTimeout
			r.payload(0, f)
		}
		r.True(r.executedOn[f][host])
		r.check()
	}
}
