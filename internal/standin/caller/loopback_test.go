package caller

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/geneve"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/standin/backend"
	"github.com/masticspar/masticspar/internal/standin/datagram"
	"github.com/masticspar/masticspar/internal/standin/fabric"
	"github.com/masticspar/masticspar/internal/timer"
)

const deadline = 60 * time.Second // long enough for busy test machines

var services = []netip.AddrPort{netip.MustParseAddrPort("198.51.100.1:80"), netip.MustParseAddrPort("[2001:db8::1]:80")}

// system is a fabric, backend servers and two forwarders in the place of the entry VMs.
type system struct {
	clock    *timer.Service
	fabric   *fabric.Fabric
	backend  *backend.Server
	counters *counter.Set
}

// start starts the system. The kernel chooses the ports, so that concurrent runs do not collide.
func start(t *testing.T, network string, hosts int) *system {
	t.Helper()
	s := &system{counters: counter.New()}
	clock, stopTimer := timer.New(5 * time.Millisecond)
	s.clock = clock
	t.Cleanup(stopTimer)
	s.fabric = &fabric.Fabric{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Hosts: netip.MustParsePrefix(network + ".0/24"),
		Random: rand.New(rand.NewPCG(1, 1)), Counters: s.counters, Timer: clock,
	}
	mustStart(t, s.fabric.Start)
	s.backend = &backend.Server{
		Name: "host", Address: netip.MustParseAddrPort(network + ".1:0"), Count: hosts, Fabric: s.fabric.Addr(),
		Services: services, ServiceTime: time.Millisecond, Seed: 1, Timer: clock,
	}
	mustStart(t, s.backend.Start)
	s.fabric.SetEntries([]netip.AddrPort{s.forwarder(t), s.forwarder(t)})
	return s
}

func mustStart(t *testing.T, start func() (func(), error)) {
	t.Helper()
	stop, err := start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
}

// forwarder starts a forwarder and returns its address. It sends each packet of a caller to the host that the flow hash
// selects, and each packet of a host to the fabric.
func (s *system) forwarder(t *testing.T) netip.AddrPort {
	t.Helper()
	var mu sync.Mutex
	var conn *datagram.Conn
	var codec geneve.Codec
	var p packet.Packet
	var hosts []netip.AddrPort
	for _, h := range s.backend.Hosts() {
		hosts = append(hosts, h.Address)
	}
	slices.SortFunc(hosts, netip.AddrPort.Compare) // both forwarders must choose the same host
	mu.Lock()
	defer mu.Unlock()
	conn, stop, err := datagram.New(netip.MustParseAddrPort("127.0.0.1:0"), func(source netip.AddrPort, b []byte) {
		mu.Lock()
		defer mu.Unlock()
		inner, err := codec.Decode(b)
		if err != nil || p.Parse(inner) != nil {
			t.Errorf("malformed datagram from %s", source)
			return
		}
		if codec.Direction == geneve.ToService {
			conn.Send(hosts[p.Key.Hash()%uint64(len(hosts))], b)
			return
		}
		if !s.fabric.Hosts.Contains(source.Addr()) {
			t.Errorf("packet to a caller has outer source %s, which is not a host", source)
		}
		conn.Send(s.fabric.Addr(), b)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return conn.Addr()
}

func (s *system) runPlan(t *testing.T, plan Plan) Report {
	t.Helper()
	plan.Services, plan.Addresses = services, 20
	plan.Source4, plan.Source6 = netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("fd00::1")
	plan.Token = t.Name()
	c := &Client{
		Caller:  Caller{Plan: plan, Random: rand.New(rand.NewPCG(2, 2))},
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Fabric: s.fabric.Addr(), Timer: s.clock,
	}
	mustStart(t, c.Start)
	for end := time.Now().Add(deadline); !c.Done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("some flows have no outcome after 60 s: %+v", c.Report())
		}
	}
	return c.Report()
}

// Guards against stand-ins that lose, change or repeat requests or responses on a path without faults.
func TestAllFlowsAreWhole(t *testing.T) {
	is := is.New(t)
	s := start(t, "127.9.1", 4)
	r := s.runPlan(t, Plan{
		Rate: 400, Total: 200, FeedShare: 0.2, UDPShare: 0.2, Bytes: 10_000, FeedCount: 5, FeedInterval: 50 * time.Millisecond,
		Exchanges: 2, ExchangeInterval: 20 * time.Millisecond,
	})
	t.Logf("%+v", r)
	is.Equal(r.Whole, 200)
	is.Equal(len(r.Hosts), 4)
	is.True(r.WholeFeeds > 0) // want at least one feed
	is.Equal(len(s.backend.Tokens(false)), 2*(200-r.WholeFeeds)+r.WholeFeeds)
	for token := range s.backend.Tokens(true) {
		is.True(strings.Contains(token, "-udp")) // only UDP requests are retransmitted by the caller
	}
}

// Guards against stand-ins whose flows break when the fabric loses, duplicates and reorders datagrams.
func TestAllFlowsAreWholeOverFaultyFabric(t *testing.T) {
	is := is.New(t)
	s := start(t, "127.9.2", 2)
	s.fabric.SetFaults(fabric.Faults{
		Loss: 0.03, Duplication: 0.03, Delay: time.Millisecond, Jitter: 5 * time.Millisecond,
	})
	r := s.runPlan(t, Plan{
		Rate: 200, Total: 100, FeedShare: 0.1, Bytes: 10_000, FeedCount: 5,
		FeedInterval: 50 * time.Millisecond,
	})
	t.Logf("%+v", r)
	is.Equal(r.Whole, 100)
	is.True(r.Retransmissions > 0) // want lost segments
	is.Equal(len(s.backend.Tokens(true)), 0)
}

// Guards against a report that counts refused flows as broken, broken ones as refused, or under the wrong cause.
func TestOutcomesAreDistinguished(t *testing.T) {
	is := is.New(t)
	s := start(t, "127.9.3", 1)
	plan := Plan{Rate: 1000, Total: 10, Bytes: 100}
	is.True(s.backend.SetMode("host-0", backend.Mode{Kind: backend.ModeRefuse}))
	is.Equal(s.runPlan(t, plan).Refused, 10)
	s.backend.SetMode("", backend.Mode{Kind: backend.ModeAbort})
	is.Equal(s.runPlan(t, plan).Broken, map[string]int{"reset-after-payload": 10})
	s.backend.SetMode("", backend.Mode{Kind: backend.ModeUnresponsive})
	plan.Timeout = 5 * time.Second // longer than a handshake on a busy machine
	is.Equal(s.runPlan(t, plan).Broken, map[string]int{"timeout": 10})
	s.backend.SetMode("", backend.Mode{Kind: backend.ModeDead})
	plan.Timeout = time.Second
	is.Equal(s.runPlan(t, plan).Broken, map[string]int{"connect-timeout": 10})
	s.backend.SetMode("", backend.Mode{})
	s.fabric.SetBlocked([]netip.Addr{netip.MustParseAddr("127.9.3.1")})
	is.Equal(s.runPlan(t, plan).Broken, map[string]int{"connect-timeout": 10})
	is.True(s.counters.Values()["dropped-blocked"] > 0) // want datagrams dropped at the blocked host
	is.Equal(len(s.backend.Tokens(false)), 0)           // no request was executed
}
