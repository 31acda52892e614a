package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/document"
	"github.com/masticspar/masticspar/internal/fabric"
	"github.com/masticspar/masticspar/internal/geneve"
	"github.com/masticspar/masticspar/internal/inventory"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/settings"
	"github.com/masticspar/masticspar/internal/standin/authority"
	"github.com/masticspar/masticspar/internal/standin/platform"
	"github.com/masticspar/masticspar/internal/standin/relay"
)

const (
	benchHosts  = 18
	benchFlows  = 20_000
	callerISN   = 1000 // initial sequence number of callers
	hostISN     = 5000 // initial sequence number of hosts
	callerPorts = 1000 // flows of each caller address
	// readyTimeout bounds the start of the daemon.
	readyTimeout = 20 * time.Second
)

var benchService = netip.MustParseAddrPort("198.51.100.1:443")

// testbed is a daemon with a stand-in of the platform, and sockets in place of the fabric and the hosts.
type testbed struct {
	testing.TB
	daemon *daemon
	hosts  []*reader
	caller *reader
	pinned []int // index of the host, by flow
}

type reader = relay.Reader[fabric.Datagram]

func newReader(t testing.TB, address string) *reader {
	t.Helper()
	r, err := relay.NewReader[fabric.Datagram](netip.MustParseAddrPort(address))
	must(t, err)
	t.Cleanup(r.Close)
	return r
}

func newRelay(t testing.TB, to netip.AddrPort) *relay.Relay[fabric.Datagram] {
	t.Helper()
	r, err := relay.New[fabric.Datagram](to)
	must(t, err)
	t.Cleanup(r.Close)
	return r
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func newTestbed(t testing.TB) *testbed {
	t.Helper()
	r := &testbed{TB: t, caller: newReader(t, "127.0.0.1:0")}
	for i := range benchHosts {
		r.hosts = append(r.hosts, newReader(t, fmt.Sprintf("127.1.0.%d:0", i+1)))
	}
	publisher := &platform.Server{}
	server := httptest.NewServer(publisher.Handler())
	t.Cleanup(server.Close)
	b, err := json.Marshal(r.inventory())
	if err != nil {
		t.Fatal(err)
	}
	if err := publisher.Publish("inventory", b); err != nil {
		t.Fatal(err)
	}
	d, stop, err := newDaemon(testSettings(t, server.URL, r.caller.Addr()), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	r.daemon = d
	for end := time.Now().Add(readyTimeout); !r.ready(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("daemon did not become ready before the timeout")
		}
	}
	return r
}

func testSettings(t testing.TB, platform string, callers netip.AddrPort) *settings.Settings {
	t.Helper()
	directory := t.TempDir()
	ca, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	if err := ca.Write(directory, "entry-1"); err != nil {
		t.Fatal(err)
	}
	s := &settings.Settings{}
	s.SetDefaults()
	s.Name, s.Region, s.AvailabilityZone = "entry-1", "wa", "wa-perth"
	// The kernel chooses free ports.
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	s.FabricAddress, s.DataAddress, s.ControlAddress, s.OperatorAddress = loopback, loopback, loopback, loopback
	s.Fabric, s.Platform = []netip.AddrPort{callers}, platform
	files := authority.PathsIn(directory, s.Name)
	s.CAFile, s.CertificateFile, s.KeyFile = files.CA, files.Certificate, files.Key
	return s
}

func (r *testbed) ready() bool {
	r.daemon.mu.Lock()
	defer r.daemon.mu.Unlock()
	return r.daemon.engine.Ready()
}

func (r *testbed) inventory() inventory.Document {
	d := inventory.Document{Version: 1, AvailabilityZones: []string{"wa-perth"}, Services: []inventory.Service{{
		Name: "standdesk", Protocol: "tcp", Addresses: []netip.AddrPort{benchService},
		OwnerGroup: inventory.DefaultOwnerGroup, WarmUp: document.Duration(inventory.DefaultWarmUp),
		MaxWait: document.Duration(inventory.DefaultMaxWait),
	}}}
	for i, h := range r.hosts {
		d.Hosts = append(d.Hosts, inventory.Host{
			Name: fmt.Sprintf("host-%d", i), Service: "standdesk", AvailabilityZone: "wa-perth", Address: h.Addr(), Weight: 1,
			Slots: 2, Connections: 100_000,
		})
	}
	return d
}

func flowKey(i int) packet.Key {
	a := netip.AddrFrom4([4]byte(binary.BigEndian.AppendUint32(nil, 10<<24+uint32(i/callerPorts))))
	return packet.NewKey(packet.TCP, netip.AddrPortFrom(a, uint16(1024+i%callerPorts)), benchService)
}

func (r *testbed) datagram(direction int, s packet.Segment) []byte {
	b, err := s.Bytes()
	if err != nil {
		r.Fatal(err)
	}
	return geneve.Append(nil, b, direction, 0, netip.Addr{})
}

// openFlows establishes the flows from to to-1.
func (r *testbed) openFlows(from, to int) {
	r.Helper()
	handle := r.daemon.handler(false)
	for i := from; i < to; i++ {
		k := flowKey(i)
		handle([]fabric.Datagram{{
			Source: r.caller.Addr(), Bytes: r.datagram(geneve.ToService, packet.Segment{Key: k, Seq: callerISN, SYN: true}),
		}})
		host := r.hostOf(i)
		handle([]fabric.Datagram{{
			Source: r.hosts[host].Addr(),
			Bytes: r.datagram(geneve.ToCaller,
				packet.Segment{Key: k.Reverse(), Seq: hostISN, Ack: callerISN + 1, SYN: true, ACK: true}),
		}})
		handle([]fabric.Datagram{{
			Source: r.caller.Addr(),
			Bytes:  r.datagram(geneve.ToService, packet.Segment{Key: k, Seq: callerISN + 1, Ack: hostISN + 1, ACK: true}),
		}})
		must(r, relay.Gather(2, relay.Discard, r.hosts[host]))
		must(r, relay.Gather(1, relay.Discard, r.caller))
		r.pinned = append(r.pinned, host)
	}
}

// hostOf returns the index of the host that a flow is pinned to.
func (r *testbed) hostOf(i int) int {
	r.Helper()
	k := flowKey(i)
	r.daemon.mu.Lock()
	defer r.daemon.mu.Unlock()
	f, err := r.daemon.engine.Flow(r.daemon.timer.Now(), "tcp", k.SourceAddr(), k.DestinationAddr())
	if err != nil {
		r.Fatal(err)
	}
	host := -1
	if _, err := fmt.Sscanf(f.Host, "host-%d", &host); err != nil {
		r.Fatalf("flow %d has no host: %+v %v", i, f, r.daemon.counters.Values())
	}
	return host
}

// BenchmarkDaemon compares the daemon, from reading a batch to sending its last datagram, with a bare relay in
// alternating rounds. All packets belong to established flows. Each round sends one batch in each direction.
func BenchmarkDaemon(b *testing.B) {
	r := newTestbed(b)
	r.openFlows(0, benchFlows)
	in, sink := newReader(b, "127.0.0.1:0"), newReader(b, "127.0.0.1:0")
	source, bare := newRelay(b, in.Addr()), newRelay(b, sink.Addr())
	handle := r.daemon.handler(false)
	requests, responses := make([][]byte, benchFlows), make([][]byte, benchFlows)
	for i := range requests {
		k, payload := flowKey(i), make([]byte, 100)
		requests[i] = r.datagram(geneve.ToService,
			packet.Segment{Key: k, Seq: callerISN + 1, Ack: hostISN + 1, ACK: true, Payload: payload})
		responses[i] = r.datagram(geneve.ToCaller,
			packet.Segment{Key: k.Reverse(), Seq: hostISN + 1, Ack: callerISN + 1, ACK: true, Payload: payload})
	}
	var bareTime, daemonTime time.Duration
	position, packets := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		batch := make([]fabric.Datagram, relay.Batch)
		for direction, sources := range [][]netip.AddrPort{nil, r.addresses()} {
			for i := range batch {
				// The prime stride visits all flows, so that consecutive packets belong to distant ones.
				position = (position + 7919) % benchFlows
				batch[i].Bytes = requests[position]
				if direction == 1 {
					batch[i] = fabric.Datagram{Bytes: responses[position], Source: sources[r.pinned[position]]}
				}
			}
			must(b, source.Send(batch))
			started := time.Now()
			must(b, relay.Gather(relay.Batch, bare.Send, in))
			bareTime += time.Since(started)
			must(b, relay.Gather(relay.Batch, relay.Discard, sink))

			must(b, source.Send(batch))
			started = time.Now()
			n := 0
			must(b, relay.Gather(relay.Batch, func(received []fabric.Datagram) error {
				if direction == 1 { // The source socket does not have the addresses of the hosts.
					for i := range received {
						received[i].Source = batch[n+i].Source
					}
				}
				n += len(received)
				handle(received)
				return nil
			}, in))
			daemonTime += time.Since(started)
			if direction == 0 {
				must(b, relay.Gather(relay.Batch, relay.Discard, r.hosts...))
			} else {
				must(b, relay.Gather(relay.Batch, relay.Discard, r.caller))
			}
			packets += relay.Batch
		}
	}
	b.ReportMetric(float64(bareTime)/float64(packets), "bare-ns")
	b.ReportMetric(float64(daemonTime)/float64(packets), "daemon-ns")
	b.ReportMetric(float64(bareTime)/float64(daemonTime), "throughput-ratio")
}

func (r *testbed) addresses() []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(r.hosts))
	for _, h := range r.hosts {
		list = append(list, h.Addr())
	}
	return list
}
