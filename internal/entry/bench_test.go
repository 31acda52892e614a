package entry

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/document"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/geneve"
	"github.com/masticspar/masticspar/internal/inventory"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/packet"
)

const (
	ownerVMs         = 8
	testFlowCapacity = 600_000
	batchSize        = 64 // datagrams that a socket delivers at once
	callerISN        = 1000
	hostISN          = 5000
	// Offsets in a datagram without Geneve options that holds IPv4 without options.
	sourceAt, destinationAt = geneve.HeaderSize + 12, geneve.HeaderSize + 16
	portsAt                 = geneve.HeaderSize + 20
)

var (
	hostsPerService = []int{14, 4}
	testFabric      = netip.MustParseAddrPort("10.0.0.100:6081")
)

// testFlow is an established flow that the engine under test owns.
type testFlow struct {
	caller  uint32 // IPv4 address
	port    uint16
	service uint8 // argument of testService
	host    uint8 // last byte of the host's address, which is the argument of testHost
}

// testEngine is an engine in an owner group of 8, with stubs for its callbacks and templates of datagrams.
type testEngine struct {
	testing.TB
	engine   Engine
	now      time.Duration
	flows    []testFlow
	to       netip.AddrPort // destination of the last datagram to a host
	toHost   int
	toCaller int
	toPeer   int
	next     uint32 // number of the last flow that unused tried

	syn, synACK, request, response []byte
}

func testService(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, 100, byte(i + 1)}), 443)
}

func testHost(service, host byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, service, host}), 6081)
}

// source returns the outer source address of return packets.
func (f *testFlow) source() netip.AddrPort { return testHost(f.service, f.host) }

func newTestEngine(t testing.TB) *testEngine {
	te := &testEngine{TB: t, now: time.Minute}
	e := &te.engine
	e.Self = testMember(0)
	e.Epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	e.MTU, e.FlowCapacity, e.Counters = 1440, testFlowCapacity, counter.New()
	e.ToFabric = func([]byte, uint64) { te.toCaller++ }
	e.ToHost = func(to netip.AddrPort, _ []byte, _ uint64) { te.toHost++; te.to = to }
	e.ToPeer = func(netip.AddrPort, []byte, uint64) { te.toPeer++ }
	e.Send = func(member.Member, Kind, []byte) {}
	e.Start(0)
	e.Tick(3 * time.Second) // No contact responds in 3 s.
	b, err := json.Marshal(testInventory())
	if err != nil {
		t.Fatal(err)
	}
	if !e.HandleDocument(te.now, fleet.Prepare(fleet.Inventory, "platform", b)) {
		t.Fatalf("inventory refused: %s", e.catalog.LastRefusal().Error)
	}
	for i := 1; i < ownerVMs; i++ {
		m := member.Message{Kind: member.Ping, From: testMember(i)}
		e.HandleMessage(te.now, &Message{From: m.From.Name, Kind: KindMembership, membership: m})
	}
	e.Tick(te.now) // The owner groups follow the members at the next tick.
	if owners, _ := e.members.Owners(); len(owners) != ownerVMs || e.stale {
		t.Fatalf("%d owners and stale is %t, want all owners and false", len(owners), e.stale)
	}
	te.syn = te.template(geneve.ToService, packet.Segment{Seq: callerISN, SYN: true})
	te.synACK = te.template(geneve.ToCaller, packet.Segment{Seq: hostISN, Ack: callerISN + 1, SYN: true, ACK: true})
	te.request = te.template(geneve.ToService, packet.Segment{Seq: callerISN + 1, Ack: hostISN + 1, ACK: true})
	te.response = te.template(geneve.ToCaller, packet.Segment{Seq: hostISN + 1, Ack: callerISN + 1, ACK: true})
	return te
}

func testMember(i int) member.Member {
	a := netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)})
	return member.Member{
		Name: fmt.Sprintf("entry-%d", i), Zone: "wa-perth", Region: "wa", Size: []uint32{100, 150, 200}[i%3], Incarnation: 1,
		Control: netip.AddrPortFrom(a, 6083), Data: netip.AddrPortFrom(a, 6082),
	}
}

func testInventory() inventory.Document {
	d := inventory.Document{Version: 1, AvailabilityZones: []string{"wa-perth"}}
	for i, n := range hostsPerService {
		name := fmt.Sprintf("service-%d", i)
		d.Services = append(d.Services, inventory.Service{
			Name: name, Protocol: "tcp", Addresses: []netip.AddrPort{testService(i)}, OwnerGroup: ownerVMs,
			WarmUp: document.Duration(inventory.DefaultWarmUp), MaxWait: document.Duration(inventory.DefaultMaxWait),
		})
		for j := range n {
			d.Hosts = append(d.Hosts, inventory.Host{
				Name: fmt.Sprintf("%s-%d", name, j), Service: name, AvailabilityZone: "wa-perth", Weight: 1, Slots: 2,
				Address:     testHost(byte(i), byte(j+1)),
				Connections: 1_000_000, // The share of this VM in the limit must allow all flows.
			})
		}
	}
	return d
}

// template returns the datagram of a segment, whose addresses and ports are set before each use.
func (te *testEngine) template(direction int, s packet.Segment) []byte {
	s.Key = packet.NewKey(packet.TCP, netip.MustParseAddrPort("10.9.0.1:1024"), testService(0))
	if !s.SYN {
		s.Payload = make([]byte, 100)
	}
	b, err := s.Bytes()
	if err != nil {
		te.Fatal(err)
	}
	return geneve.Append(nil, b, direction, 0, netip.Addr{})
}

// setAddresses writes the addresses and ports of the flow into a datagram and returns it.
func (f *testFlow) setAddresses(b []byte) []byte {
	service := testService(int(f.service))
	v4 := service.Addr().As4()
	if b[6] == geneve.ToService {
		binary.BigEndian.PutUint32(b[sourceAt:], f.caller)
		copy(b[destinationAt:], v4[:])
		binary.BigEndian.PutUint16(b[portsAt:], f.port)
		binary.BigEndian.PutUint16(b[portsAt+2:], service.Port())
		return b
	}
	copy(b[sourceAt:], v4[:])
	binary.BigEndian.PutUint32(b[destinationAt:], f.caller)
	binary.BigEndian.PutUint16(b[portsAt:], service.Port())
	binary.BigEndian.PutUint16(b[portsAt+2:], f.port)
	return b
}

// unused returns the next unopened flow that the engine owns if own is true, or else that another VM owns.
func (te *testEngine) unused(own bool) testFlow {
	for {
		te.next++
		f := testFlow{caller: 10<<24 | 9<<16 | te.next>>12, port: uint16(1024 + te.next&0xfff)}
		if te.next%18 >= 14 {
			f.service = 1
		}
		caller := netip.AddrFrom4([4]byte(binary.BigEndian.AppendUint32(nil, f.caller)))
		k := packet.NewKey(packet.TCP, netip.AddrPortFrom(caller, f.port), testService(int(f.service)))
		s := te.engine.catalog.Lookup(&k)
		if _, _, o := te.engine.groups.owner(s.ID, &k); o == own {
			return f
		}
	}
}

// open establishes the flow.
func (te *testEngine) open(f *testFlow) {
	before := te.toHost
	te.engine.HandleDatagram(te.now, testFabric, false, f.setAddresses(te.syn))
	f.host = te.to.Addr().As4()[3]
	te.engine.HandleDatagram(te.now, f.source(), false, f.setAddresses(te.synACK))
	te.engine.HandleDatagram(te.now, testFabric, false, f.setAddresses(te.request))
	if te.toHost != before+2 {
		te.Fatalf("flow %+v was not established: its SYN and its ACK must both go to a host; counters: %v",
			*f, te.engine.Counters.Values())
	}
}

// fill opens flows until n are open.
func (te *testEngine) fill(n int) {
	for len(te.flows) < n {
		f := te.unused(true)
		te.open(&f)
		te.flows = append(te.flows, f)
	}
}

// Guards against allocations for each packet of an established flow, in both directions and between entry VMs.
func TestDatagramDoesNotAllocate(t *testing.T) {
	te := newTestEngine(t)
	te.fill(100)
	foreign := te.unused(false)
	i := 0
	n := testing.AllocsPerRun(1000, func() {
		f := &te.flows[i%len(te.flows)]
		te.engine.HandleDatagram(te.now, testFabric, false, f.setAddresses(te.request))
		te.engine.HandleDatagram(te.now, f.source(), false, f.setAddresses(te.response))
		te.engine.HandleDatagram(te.now, testFabric, false, foreign.setAddresses(te.request))
		te.engine.HandleDatagram(te.now, f.source(), false, foreign.setAddresses(te.syn))
		i++
	})
	if n != 0 {
		t.Errorf("%v allocations for 4 packets, want 0", n)
	}
	if te.toHost < 1000 || te.toCaller < 1000 || te.toPeer < 2000 {
		t.Errorf("%d datagrams to hosts, %d to callers, %d to peers, want at least 1000, 1000 and 2000: %v",
			te.toHost, te.toCaller, te.toPeer, te.engine.Counters.Values())
	}
}

// BenchmarkDatagram measures the handling of packets of established flows. The packets are spread over all flows and
// arrive in batches, as the sockets deliver them.
func BenchmarkDatagram(b *testing.B) {
	te := newTestEngine(b)
	for _, n := range []int{1, 10_000, 500_000} {
		te.fill(n)
		for _, c := range []struct {
			name     string
			template []byte
		}{{"caller", te.request}, {"return", te.response}} {
			b.Run(fmt.Sprintf("%s/%d", c.name, n), func(b *testing.B) {
				var batch [batchSize][]byte
				var sources [batchSize]netip.AddrPort
				for i := range batch {
					batch[i] = slices.Clone(c.template)
				}
				b.ReportAllocs()
				i, sent := 0, te.toHost+te.toCaller
				var elapsed time.Duration // without the time for writing the datagrams
				b.ResetTimer()
				for done := 0; done < b.N; done += batchSize {
					for j := range batch {
						i = (i + 7919) % n // A prime step spreads the packets over the whole table.
						f := &te.flows[i]
						f.setAddresses(batch[j])
						sources[j] = testFabric
						if c.template[6] == geneve.ToCaller {
							sources[j] = f.source()
						}
					}
					started := time.Now()
					for j := range min(batchSize, b.N-done) {
						te.engine.QueueDatagram(te.now, sources[j], false, batch[j])
					}
					te.engine.HandleQueued(te.now)
					elapsed += time.Since(started)
				}
				b.ReportMetric(float64(elapsed)/float64(b.N), "ns/packet")
				b.ReportMetric(float64(b.N)/elapsed.Seconds(), "packets/s")
				if te.toHost+te.toCaller-sent != b.N {
					b.Fatalf("%d of %d packets sent to hosts and callers, want all: %v",
						te.toHost+te.toCaller-sent, b.N, te.engine.Counters.Values())
				}
			})
		}
	}
}

// BenchmarkForward measures the forwarding of packets of flows that another entry VM owns.
func BenchmarkForward(b *testing.B) {
	te := newTestEngine(b)
	f := te.unused(false)
	b.ReportAllocs()
	for b.Loop() {
		te.engine.HandleDatagram(te.now, testFabric, false, f.setAddresses(te.request))
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
	if te.toPeer != b.N {
		b.Fatalf("%d of %d packets forwarded to the owner, want all", te.toPeer, b.N)
	}
}

// BenchmarkNewFlow measures the opening of flows while 500,000 are open: SYN, SYN-ACK and the first segment of the
// caller. The reset of the caller and the removal of the pin keep the number of open flows the same.
func BenchmarkNewFlow(b *testing.B) {
	te := newTestEngine(b)
	te.fill(500_000)
	reset := te.template(geneve.ToService, packet.Segment{Seq: callerISN + 101, RST: true})
	reset = reset[:len(reset)-100]
	binary.BigEndian.PutUint16(reset[geneve.HeaderSize+2:], uint16(len(reset)-geneve.HeaderSize))
	waiting := make([]testFlow, 50_000)
	for i := range waiting {
		waiting[i] = te.unused(true)
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		f := waiting[i%len(waiting)]
		te.open(&f)
		te.engine.HandleDatagram(te.now, testFabric, false, f.setAddresses(reset))
		i++
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "flows/s")
	if n := te.engine.flows.Len(); n < 500_000 || n > 500_000+len(waiting) {
		b.Fatalf("%d flows open, want 500,000 to 550,000", n)
	}
}

// Guards against packets in a batch that are handled in another way or order than one by one.
func TestQueuedDatagramsMatchSingleOnes(t *testing.T) {
	single, batch := newTestEngine(t), newTestEngine(t)
	var sent [2][]string
	for i, te := range []*testEngine{single, batch} {
		record := func(to any, b []byte, hash uint64) { sent[i] = append(sent[i], fmt.Sprintf("%v %d %x", to, hash, b)) }
		te.fill(40)
		te.engine.ToFabric = func(b []byte, hash uint64) { record("fabric", b, hash) }
		te.engine.ToHost = func(to netip.AddrPort, b []byte, hash uint64) { record(to, b, hash) }
		te.engine.ToPeer = func(netip.AddrPort, []byte, uint64) {}
	}
	fresh := single.unused(true)
	templates := [][]byte{single.request, single.response, single.syn, single.synACK, single.request[:20]}
	for n := range 5 * queueSize / 2 {
		f := &single.flows[n%len(single.flows)]
		if n%9 == 0 {
			fresh.host = f.host
			f = &fresh
		}
		datagram := slices.Clone(templates[n%len(templates)])
		if len(datagram) > 20 {
			f.setAddresses(datagram)
		}
		single.engine.HandleDatagram(single.now, f.source(), false, datagram)
		batch.engine.QueueDatagram(batch.now, f.source(), false, datagram)
	}
	batch.engine.HandleQueued(batch.now)
	if len(sent[0]) == 0 || !slices.Equal(sent[0], sent[1]) {
		t.Errorf("%d datagrams sent one by one and %d in batches, want the same ones and at least 1",
			len(sent[0]), len(sent[1]))
	}
	if a, b := single.engine.Counters.Values(), batch.engine.Counters.Values(); !maps.Equal(a, b) {
		t.Errorf("counters %v one by one and %v in batches, want equal ones", a, b)
	}
}
