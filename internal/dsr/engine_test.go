package dsr

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/placement"
	"github.com/masticspar/masticspar/internal/registry"
)

var serviceAddress = netip.MustParseAddrPort("198.18.0.1:443")

const targetLatency = 150 * time.Millisecond

// testEngine is the engine of an entry VM with servers of one service, in virtual time.
type testEngine struct {
	Engine
	t     *testing.T
	now   time.Duration
	ports uint16
}

func newTestEngine(t *testing.T, hosts int) *testEngine {
	e := &testEngine{t: t, now: time.Second}
	e.Placement.AvailabilityZone = "wa-perth"
	e.Start()
	e.Registry.Apply(e.now, registry.Change{Configuration: &registry.Configuration{
		Version: 1, Routes: []registry.Route{{
			Name: "job-board", Address: serviceAddress, Idempotent: true, TargetLatency: targetLatency,
			Targets: []registry.Target{{Service: "standdesk", Weight: 1}},
		}},
	}}, false)
	for i := range hosts {
		e.listHost(i, "wa-perth", false)
	}
	return e
}

func (e *testEngine) listHost(i int, zone string, leaving bool) {
	e.Registry.Apply(e.now, registry.Change{
		Name: fmt.Sprint("i-", i), Revision: uint64(e.now), Created: uint64(i + 1), Host: &registry.Host{
			Name: fmt.Sprint("i-", i), Number: uint64(i), Service: "standdesk", AvailabilityZone: zone, Slots: 2, Started: 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80), Leaving: leaving,
		},
	}, false)
}

func (e *testEngine) advance(d time.Duration) {
	for end := e.now + d; e.now < end; {
		e.now = min(end, e.now+TickPeriod)
		e.Tick(e.now)
	}
}

// caller is the caller's end of one flow.
type caller struct {
	*testEngine
	conntrack.Key
	token        uint32
	sequence     uint32
	acknowledged uint32
}

func (e *testEngine) caller(address byte) *caller {
	e.ports++
	a := netip.AddrFrom4([4]byte{100, 64, 0, address})
	return &caller{
		testEngine: e, Key: conntrack.Key{Caller: netip.AddrPortFrom(a, 1024+e.ports), Service: serviceAddress},
		acknowledged: 1000,
	}
}

func (c *caller) syn() Verdict {
	return c.HandlePacket(c.now, &conntrack.Packet{Key: c.Key, SYN: true})
}

func (c *caller) open() Verdict {
	c.t.Helper()
	v := c.syn()
	if v.Action != Forward {
		c.t.Fatalf("SYN: got %+v, want action Forward", v)
	}
	c.token = v.Host.Token
	c.now += time.Millisecond
	return c.send(0)
}

// send sends length bytes of data with an acknowledgement of all responses.
func (c *caller) send(length int) Verdict {
	v := c.HandlePacket(c.now, &conntrack.Packet{
		Key: c.Key, Token: c.token, ACK: true, Sequence: c.sequence, Acknowledged: c.acknowledged, Length: length,
	})
	c.sequence += uint32(length)
	return v
}

func (c *caller) retransmit(length int) Verdict {
	c.sequence -= uint32(length)
	return c.send(length)
}

// request sends a request, to which the server responds after d.
func (c *caller) request(d time.Duration) {
	c.send(100)
	c.now += d
	c.acknowledged += 500
	c.send(0)
}

// Guards against packets of an open flow going to another server at an entry VM that has not seen the flow.
func TestTokenSelectsSameServerOnAnyEntryVM(t *testing.T) {
	is := is.New(t)
	first, second := newTestEngine(t, 8), newTestEngine(t, 8)
	for range 20 {
		c := first.caller(1)
		host := c.open().Host.Name
		c.testEngine = second
		is.Equal(c.send(100).Host.Name, host)
	}
}

// Guards against open flows being reset or moved when their server starts to leave.
func TestOpenFlowStaysWithLeavingServer(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, 1)
	c := e.caller(1)
	c.open()
	e.advance(time.Second)
	e.listHost(0, "wa-perth", true)
	v := c.send(100)
	is.Equal(v.Action, Forward)
	is.Equal(v.Host.State, registry.StateLeaving)
	is.Equal(e.caller(2).syn(), Verdict{Action: Reset, Reason: placement.ReasonNoHost})
}

// Guards against a wrong statement of masticsparctl check, which says that open flows of a removed route are forwarded.
func TestOpenFlowOfRemovedRouteIsForwarded(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, 1)
	c := e.caller(1)
	c.open()
	e.Registry.Apply(e.now, registry.Change{Configuration: &registry.Configuration{Version: 2}}, false)
	is.Equal(c.send(100).Action, Forward)
	is.Equal(e.caller(2).syn(), Verdict{Action: Reset, Reason: ReasonNoRoute})
}

// Guards against a caller waiting for its timeout because its address has no route.
func TestSYNWithoutRouteIsReset(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, 1)
	c := e.caller(1)
	c.Service = netip.MustParseAddrPort("198.18.0.9:443")
	is.Equal(c.syn(), Verdict{Action: Reset, Reason: ReasonNoRoute})
}

// Guards against an entry VM resetting SYNs before it has a configuration. Callers would conclude that the route was
// removed.
func TestSYNIsHeldWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	e := &testEngine{t: t}
	e.Start()
	is.Equal(e.caller(1).syn(), Verdict{Action: Hold, Reason: ReasonNoConfiguration})
}

// Guards against resetting a flow whose server this entry VM has not learned of yet.
func TestUnknownTokenIsHeld(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, 1)
	c := e.caller(1)
	c.token = 12345
	is.Equal(c.send(100), Verdict{Action: Hold, Reason: ReasonUnknownToken})
}

// Guards against all three SYNs of a caller going to the same dead server.
func TestRetransmittedSYNGoesToAnotherServer(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, 4)
	c := e.caller(1)
	seen := map[string]bool{c.syn().Host.Name: true}
	e.advance(200 * time.Millisecond)
	v := c.syn()
	is.True(v.Retried)
	seen[v.Host.Name] = true
	e.advance(400 * time.Millisecond)
	seen[c.syn().Host.Name] = true
	is.Equal(len(seen), 3)
}

// Guards against two servers responding to one flow, when a SYN and its retransmission were queued at the entry VM and
// are read within a few milliseconds.
func TestEarlyRetransmissionGoesToSameServer(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, 8)
	c := e.caller(1)
	host := c.syn().Host.Name
	e.now += 5 * time.Millisecond
	is.Equal(c.syn().Host.Name, host)
}

// Guards against a delayed retransmission of a SYN opening a second flow after the first server has responded.
func TestLateSYNIsDropped(t *testing.T) {
	is := is.New(t)
	c := newTestEngine(t, 4).caller(1)
	c.open()
	is.Equal(c.syn(), Verdict{Reason: ReasonLateSYN})
}

// Guards against a caller that uses a port again, for example after its own restart, and whose SYNs are all taken for
// late retransmissions of the earlier flow; and against its packets reaching the server of that flow. Late packets of
// the earlier flow carry its token and still reach its own server, so neither server gets data of the other flow.
func TestPortIsUsedAgain(t *testing.T) {
	for _, closed := range []bool{false, true} {
		is := is.New(t)
		e := newTestEngine(t, 8)
		c := e.caller(1)
		c.open()
		c.request(10 * time.Millisecond)
		if closed {
			e.HandlePacket(e.now, &conntrack.Packet{Key: c.Key, Token: c.token, FIN: true, Sequence: c.sequence})
		}
		e.advance(100 * time.Millisecond)
		earlier := c.token
		syn := conntrack.Packet{Key: c.Key, SYN: true, Sequence: 1 << 30}
		v := e.HandlePacket(e.now, &syn)
		is.Equal(v.Action, Forward)
		later := *c
		later.token, later.sequence = v.Host.Token, 1<<30+1
		is.Equal(later.send(100).Host.Token, later.token)
		is.Equal(c.retransmit(100).Host.Token, earlier)
		is.Equal(later.send(100).Host.Token, later.token)
		is.Equal(later.send(0).Action, Forward)
		is.Equal(e.HandlePacket(e.now, &syn).Reason, ReasonLateSYN) // A late retransmission of the second SYN.
	}
}

// Guards against a panic in the decision about a packet, whatever its fields are and in whatever order packets and
// changes of the registry arrive.
func FuzzHandlePacket(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23})
	f.Fuzz(func(t *testing.T, b []byte) {
		e := newTestEngine(t, 3)
		tokens := []uint32{0, 1}
		for _, h := range e.Registry.Hosts("standdesk") {
			tokens = append(tokens, h.Token)
		}
		for ; len(b) >= 6; b = b[6:] {
			p := conntrack.Packet{
				Key: e.caller(b[0] % 4).Key, Token: tokens[int(b[1])%len(tokens)], Sequence: uint32(b[2]) << 24,
				Acknowledged: uint32(b[3]) << 24, Length: int(b[4]),
				SYN: b[5]&1 != 0, ACK: b[5]&2 != 0, FIN: b[5]&4 != 0, RST: b[5]&8 != 0,
			}
			p.Caller = netip.AddrPortFrom(p.Caller.Addr(), uint16(b[0]>>2))
			if v := e.HandlePacket(e.now, &p); v.Action == Forward && v.Host == nil {
				t.Fatalf("packet %+v is forwarded to no server", p)
			}
			switch b[5] >> 4 {
			case 1:
				e.removeHost(int(b[0])%3, b[1]&1 != 0)
			case 2:
				e.listHost(int(b[0])%3, "wa-perth", b[1]&1 != 0)
			case 3:
				e.advance(time.Duration(b[0]) * 20 * time.Millisecond)
			}
		}
	})
}

// Guards against counting a flow at the wrong server, when the SYN went to one server, its retransmission to another,
// and the first one responds after all. Packets follow the token that the caller returns.
func TestFirstServerRespondsAfterRetransmission(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, 4)
	c := e.caller(1)
	first := c.syn().Host
	e.advance(200 * time.Millisecond)
	second := c.syn().Host
	c.token = first.Token
	is.Equal(c.send(100).Host.Name, first.Name)
	is.Equal(e.Flows.Get(c.Key).Host, first.Token)
	is.Equal(e.Placement.Load(e.now, second.Token).Open, 0)
	is.Equal(e.Placement.Load(e.now, first.Token).Outstanding, 1)
}

// Guards against a server without a process attracting all new flows: it refuses each SYN immediately, so it has no
// outstanding requests and appears idle. Callers retry from a new port within milliseconds, twice.
func TestRefusingServerDoesNotAttractFlows(t *testing.T) {
	e := newTestEngine(t, 4)
	lost := 0
	for i := range 300 {
		for attempt := range 3 {
			c := e.caller(byte(i % 30))
			if c.syn().Host.Name != "i-0" {
				e.now += time.Millisecond
				v := c.syn() // Too early to be a retransmission: it returns the same server.
				c.token = v.Host.Token
				c.send(0)
				c.request(20 * time.Millisecond)
				break
			}
			e.now += 6 * time.Millisecond
			if attempt == 2 {
				lost++
			}
		}
		e.advance(10 * time.Millisecond)
	}
	if lost > 0 {
		t.Fatalf("%d requests reached the refusing server in all three attempts, want 0", lost)
	}
	if load := e.Placement.Load(e.now, e.Registry.Hosts("standdesk")[0].Token); load.Failures == 0 {
		t.Fatal("the refusing server has 0 failures, want at least 1")
	}
}

// Guards against a server receiving no flows for seconds after it was listed again, because of packets that it did not
// answer before its entry lapsed.
func TestRelistedServerIsNotSuspected(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, 2)
	host := e.Registry.Hosts("standdesk")[0]
	e.Placement.Observe(e.now, flowevent.Event{Kind: flowevent.Unanswered, Host: host.Token})
	is.Equal(e.Placement.Load(e.now, host.Token).Failures, 1)
	e.Registry.Apply(e.now, registry.Change{Name: host.Name, Revision: uint64(e.now)}, true)
	is.Equal(host.State, registry.StateLapsed)
	e.listHost(0, "wa-perth", false)
	is.Equal(host.State, registry.StateReady)
	is.Equal(e.Placement.Load(e.now, host.Token).Failures, 0)
}

// Guards against a flow waiting for a server whose address now belongs to another server.
func TestFlowOfReplacedServerIsReset(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, 1)
	c := e.caller(1)
	c.open()
	e.Registry.Apply(e.now, registry.Change{Name: "i-9", Revision: uint64(e.now), Created: uint64(e.now), Host: &registry.Host{
		Name: "i-9", Service: "photointake", Address: netip.MustParseAddrPort("10.0.0.1:80"), Started: 2,
	}}, false)
	v := c.send(100)
	is.Equal(v.Action, Reset)
	is.Equal(v.Reason, ReasonHostReplaced)
}

// Guards against resetting a flow that a server accepted after it had started again under its name, but before this was
// listed: its SYN carried the token of the former start.
func TestFlowOpenedBeforeRestartIsListedIsNotReset(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, 1)
	c := e.caller(1)
	former := c.open().Host
	h := former.Host
	h.Started++
	e.Registry.Apply(e.now, registry.Change{Name: h.Name, Revision: uint64(e.now), Created: 1, Host: &h}, false)
	is.True(e.Registry.Hosts("standdesk")[0] != former)
	v := c.send(100)
	is.Equal(v.Action, Forward) // The server itself resets the flows that it does not hold.
	is.Equal(v.Host, former)
}

// Guards against resetting a retransmitted SYN, whose flow a server may still open, also if this entry VM has not seen
// the first one, and against requests that do not reach the gate.
func TestOnlyFirstSYNIsRefused(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, 1)
	e.Gate.Random = func() float64 { return 0 }
	e.EntryVMs = 2 // One slot for each.
	choice := &placement.Choice{Host: e.Registry.Hosts("standdesk")[0], Expected: 2 * targetLatency, Known: true, Overloaded: true}
	refused := func(c *caller, retransmissions uint32) bool {
		p := &conntrack.Packet{Key: c.Key, SYN: true, Acknowledged: retransmissions}
		return e.refusal(e.now, p, e.Registry.Route(serviceAddress), choice) != nil
	}
	is.True(!refused(e.caller(1), 0)) // No answer has been observed.
	open := e.caller(2)
	open.open()
	for range 3 {
		open.request(targetLatency)
	}
	is.True(!refused(e.caller(3), 0)) // Nothing is in flight.
	sent := e.caller(5)
	is.Equal(sent.syn().Action, Forward)
	is.True(refused(e.caller(3), 0))
	is.True(!refused(e.caller(3), 1))
	choice.Overloaded = false
	is.True(!refused(e.caller(4), 0))
	choice.Overloaded = true
	is.True(!refused(sent, 0))
	e.advance(600 * time.Millisecond)
	is.Equal(e.Flows.Get(sent.Key), nil) // The flow table has forgotten the SYN.
	is.True(!refused(sent, 0))
}

// Guards against the targets of a route receiving shares of flows that differ from their weights or between entry VMs,
// because the choice must depend only on the flow. A target with a weight of 10% must receive 5% to 15% of 5000 flows.
func TestTargetSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	r := &registry.Route{Targets: []registry.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := 0
	const flows = 5000
	for i := range flows {
		k := conntrack.Key{Caller: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), uint16(i)), Service: serviceAddress}
		if targetService(r, flowHash(k)) == "b" {
			count++
		}
	}
	is.True(count > flows/20 && count < flows*3/20)
}
