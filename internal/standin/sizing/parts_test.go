package sizing

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/capacity"
	"github.com/masticspar/masticspar/internal/docsync"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/flow"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/packet"
)

// perCall returns the mean processor time of a call of f in µs. It calls f for at least 200 ms.
func perCall(f func()) float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start, calls := threadTime(), 0
	for threadTime()-start < 200*time.Millisecond {
		f()
		calls++
	}
	return float64((threadTime() - start).Nanoseconds()) / 1000 / float64(calls)
}

// BenchmarkDocument measures the cost of decoding a document, of making it active, and of keeping it in memory.
func BenchmarkDocument(b *testing.B) {
	t := Table{
		Title: "Inventory, by hosts", Size: "hosts",
		Columns: []string{"document-B", "prepare-µs", "prepare+accept-µs", "accept-µs", "heap-B"},
	}
	for _, s := range []scale{current, tenth, target} {
		before := liveHeap()
		p := &fleet.Catalog{}
		version := uint64(1)
		accept := func(c *fleet.Candidate) {
			if changed, err := p.Accept(c); !changed || err != nil {
				b.Fatal(changed, err)
			}
		}
		accept(fleet.Prepare(fleet.Rules, "platform", encodeRules(s, 1)))
		accept(fleet.Prepare(fleet.Inventory, "platform", encodeInventory(s, 1)))
		held := liveHeap() - before
		document := encodeInventory(s, 1)
		prepare := perCall(func() { fleet.Prepare(fleet.Inventory, "platform", document) })
		var candidates []*fleet.Candidate
		for range 20 {
			version++
			candidates = append(candidates, fleet.Prepare(fleet.Inventory, "platform", encodeInventory(s, version)))
		}
		runtime.LockOSThread()
		start := threadTime()
		for _, c := range candidates {
			accept(c)
		}
		took := float64((threadTime() - start).Nanoseconds()) / 1000 / float64(len(candidates))
		runtime.UnlockOSThread()
		t.Add(float64(s.hosts), float64(len(document)), prepare, prepare+took, took, held)
		runtime.KeepAlive(p)
	}
	printTable(&t)
}

// BenchmarkClaims measures the time that the syncer takes to handle the versions in one message of a peer, by the
// number of peers whose versions it has received.
func BenchmarkClaims(b *testing.B) {
	t := Table{Title: "Versions of a peer", Size: "VMs", Columns: []string{"equal-µs", "newer-µs", "tick-µs"}}
	for _, size := range []int{8, 64, 167, 500} {
		p := &fleet.Catalog{}
		if _, err := p.AcceptBytes(fleet.Rules, "platform", encodeRules(current, 1)); err != nil {
			b.Fatal(err)
		}
		s := docsync.Syncer{Catalog: p, Send: func(string, docsync.Message) {}}
		s.Start(0, 1)
		s.Tick(4 * time.Second)
		names := make([]string, size)
		sendVersions := func(i int, v fleet.Versions) {
			s.Handle(4*time.Second, names[i%size], docsync.Message{Digest: &docsync.Digest{Versions: v, Ready: true}})
		}
		equal := p.Versions()
		for i := range names {
			names[i] = fmt.Sprintf("entry-%04d", i)
			sendVersions(i, equal)
		}
		i := 0
		same := perCall(func() { sendVersions(i, equal); i++ })
		tick := perCall(func() { s.Tick(4 * time.Second) })
		newer := equal
		newer.Rules.Number++
		for j := range names {
			sendVersions(j, newer)
		}
		t.Add(float64(size), same, perCall(func() { sendVersions(i, newer); i++ }), tick)
	}
	printTable(&t)
}

// serviceOf returns a service with n hosts.
func serviceOf(id, n int) *fleet.Service {
	s := &fleet.Service{ID: uint32(id + 1), Name: serviceName(id), Protocol: packet.TCP, IdleTimeout: time.Hour}
	for i := range n {
		number := id*n + i
		s.Hosts = append(s.Hosts, &fleet.Host{
			ID: uint32(number + 1), Name: fmt.Sprintf("host-%05d", number), Address: hostAddress(number), Weight: 1, Slots: 2,
			Connections: 2000,
		})
	}
	return s
}

// BenchmarkPins measures the cost of the flow table of an owner for each open flow, each new flow, each packet and each
// sweep.
func BenchmarkPins(b *testing.B) {
	t := Table{
		Title: "Flow table with 5 hosts a service, by open flows", Size: "flows",
		Columns: []string{"heap-B", "open-µs", "packet-µs", "sweep-µs"},
	}
	for _, flows := range []int{10_000, 100_000, 500_000} {
		before := liveHeap()
		table := &flow.Table{Capacity: flows}
		s := serviceOf(0, 5)
		key := func(i int) packet.Key {
			return packet.NewKey(packet.TCP, netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 16), byte(i >> 8)}),
				uint16(1024+i&255)), listener(0))
		}
		runtime.LockOSThread()
		start := threadTime()
		for i := range flows {
			k := key(i)
			h := table.FromCaller(time.Second, s, &packet.Packet{Key: k, SYN: true, Seq: 1000, Bytes: make([]byte, 40)}).Host
			table.FromHost(time.Second, s, h, &packet.Packet{Key: k.Reverse(), SYN: true, ACK: true, Seq: 5000, Ack: 1001})
			table.FromCaller(time.Second, s, &packet.Packet{Key: k, ACK: true, Seq: 1001, Ack: 5001})
		}
		open := float64((threadTime() - start).Nanoseconds()) / 1000 / float64(flows)
		runtime.UnlockOSThread()
		held := liveHeap() - before
		i := 0
		send := perCall(func() {
			i = (i + 7919) % flows
			table.FromCaller(time.Minute, s, &packet.Packet{Key: key(i), ACK: true, Seq: 1001, Ack: 5001, Payload: []byte("x")})
		})
		if table.Len() != flows {
			b.Fatalf("table has %d flows, want %d", table.Len(), flows)
		}
		t.Add(float64(flows), held, open, send, perCall(func() { table.Sweep(time.Minute) }))
		runtime.KeepAlive(table)
	}
	printTable(&t)
}

// BenchmarkReports measures the cost of the capacity model of an owner group member for each host of its services. Each
// host has open flows and one request per second. In a second of the model, the member sends one report to each of its
// 7 partners and merges one report from each.
func BenchmarkReports(b *testing.B) {
	t := Table{
		Title: "Owner group of 8 VMs, services of 5 hosts, by hosts", Size: "hosts",
		Columns: []string{"part-B", "part-µs", "merge-µs", "second-µs", "heap-B"},
	}
	for _, hosts := range []int{20, 90, 275, 570, 5700} {
		var assignments []capacity.Assignment
		var owners []capacity.Owner
		for i := range 8 {
			owners = append(owners, capacity.Owner{Name: fmt.Sprintf("entry-%04d", i), Size: 300})
		}
		for i := range hosts / 5 {
			assignments = append(assignments, capacity.Assignment{Service: serviceOf(i, 5), Owners: owners})
		}
		before := liveHeap()
		m := &capacity.Model{Self: owners[0].Name, Incarnation: 1_764_000_000_000}
		m.Configure(0, assignments)
		now := time.Duration(0)
		send := func(k flowevent.Kind, at time.Duration, host int) {
			m.Observe(at, flowevent.Event{Kind: k, Service: uint32(host/5 + 1), Host: uint32(host + 1), Elapsed: responseTime})
		}
		for h := range hosts {
			for range 130 {
				send(flowevent.Opened, 0, h)
			}
		}
		var part capacity.Report
		var size, partTime, mergeTime float64
		seconds := 0
		runtime.LockOSThread()
		for start := threadTime(); threadTime()-start < 400*time.Millisecond; seconds++ {
			for h := range hosts {
				send(flowevent.Requested, now, h)
				send(flowevent.Answered, now+responseTime, h)
			}
			now += time.Second
			before := threadTime()
			r := m.Report(now)
			for _, o := range owners[1:] {
				part = m.FilterReport(r, o.Name)
				encoded, err := part.Encode()
				if err != nil {
					b.Fatal(err)
				}
				size = float64(len(encoded))
			}
			middle := threadTime()
			encoded, _ := part.Encode()
			for _, o := range owners[1:] {
				received, err := capacity.Decode(encoded)
				if err != nil {
					b.Fatal(err)
				}
				m.Merge(now, o.Name, received)
			}
			m.Tick(now)
			partTime += float64((middle - before).Nanoseconds()) / 1000
			mergeTime += float64((threadTime() - middle).Nanoseconds()) / 1000
		}
		runtime.UnlockOSThread()
		n := float64(seconds)
		t.Add(float64(hosts), size, partTime/n, mergeTime/n, (partTime+mergeTime)/n, liveHeap()-before)
		runtime.KeepAlive(m)
	}
	printTable(&t)
}
