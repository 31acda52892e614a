package dsr

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/placement"
	"github.com/masticspar/masticspar/internal/registry"
)

func benchEngine(hosts int) *Engine {
	e := &Engine{Placement: placement.Model{AvailabilityZone: "zone-0"}}
	e.Start()
	e.Registry.Apply(0, registry.Change{Configuration: &registry.Configuration{Version: 1, Routes: []registry.Route{{
		Address: serviceAddress, TargetLatency: targetLatency,
		Targets: []registry.Target{{Service: "standdesk", Weight: 1}},
	}}}}, false)
	for i := range hosts {
		name := fmt.Sprintf("i-%08x", i)
		e.Registry.Apply(0, registry.Change{Name: name, Revision: 1, Created: 1, Host: &registry.Host{
			Name: name, Service: "standdesk", AvailabilityZone: fmt.Sprint("zone-", i%3), Started: 1, Slots: 2,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		}}, false)
	}
	return e
}

func benchKey(i int) conntrack.Key {
	a := netip.AddrFrom4([4]byte{100, byte(64 + i>>22), byte(i >> 14), byte(i >> 6)})
	return conntrack.Key{Caller: netip.AddrPortFrom(a, uint16(1024+i&63)), Service: serviceAddress}
}

// BenchmarkPacket handles a request and the acknowledgement of its response on an open flow.
func BenchmarkPacket(b *testing.B) {
	e := benchEngine(20)
	c := conntrack.Packet{Key: benchKey(1), ACK: true, Token: e.Registry.Hosts("standdesk")[0].Token}
	now := time.Second
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		c.Length = 100
		e.HandlePacket(now, &c)
		c.Sequence, c.Acknowledged, c.Length = c.Sequence+100, c.Acknowledged+500, 0
		e.HandlePacket(now, &c)
	}
}

// BenchmarkNewFlow chooses a server and ends the flow, for several numbers of servers of the service.
func BenchmarkNewFlow(b *testing.B) {
	for _, hosts := range []int{5, 50, 500} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			e := benchEngine(hosts)
			now, i := time.Second, 0
			b.ReportAllocs()
			for b.Loop() {
				now += time.Millisecond
				i++
				p := conntrack.Packet{Key: benchKey(i % 4096), SYN: true}
				v := e.HandlePacket(now, &p)
				p = conntrack.Packet{Key: p.Key, ACK: true, FIN: true, Token: v.Host.Token}
				e.HandlePacket(now, &p)
				e.Flows.Forget(now, p.Key)
			}
		})
	}
}

// BenchmarkMemory reports the heap bytes per flow and per server.
func BenchmarkMemory(b *testing.B) {
	const flows, hosts = 100_000, 5_700
	for b.Loop() {
		before := heapBytes()
		e := benchEngine(hosts)
		withHosts := heapBytes()
		token := e.Registry.Hosts("standdesk")[0].Token
		for i := range flows {
			e.HandlePacket(time.Second, &conntrack.Packet{Key: benchKey(i), ACK: true, Token: token})
		}
		withFlows := heapBytes()
		b.ReportMetric(float64(withHosts-before)/hosts, "B/server")
		b.ReportMetric(float64(withFlows-withHosts)/flows, "B/flow")
		runtime.KeepAlive(e)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
