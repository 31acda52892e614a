package flow

import (
	"runtime"
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/packet"
)

const openFlows = 500_000

var firstKey = flowKey(packet.TCP, 0)

// portKey returns one of many different keys.
func portKey(i int) packet.Key {
	k := firstKey
	k.SourcePort = uint16(i)
	k.Source[13] = byte(i >> 16)
	return k
}

// Guards against a pin that is lost or found under another key after the removal of others from its probe sequence.
func TestStoreMatchesMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var s store
		s.init(20)
		want := map[int]*pin{}
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, 39), 0, 300).Draw(rt, "keys") {
			k := portKey(i)
			n := s.find(&k, k.Hash())
			switch {
			case n != want[i]:
				rt.Fatalf("key %d: found %p, want %p", i, n, want[i])
			case n != nil:
				s.remove(n)
				delete(want, i)
			case len(want) < 20:
				want[i] = s.insert(&k, k.Hash())
			case s.insert(&k, k.Hash()) != nil:
				rt.Fatal("insert succeeded beyond the capacity of 20 pins")
			}
		}
		if s.count != len(want) {
			rt.Fatalf("%d pins, want %d", s.count, len(want))
		}
	})
}

// Guards against a prefetch that fails on a table without pins, for unknown keys or for a large batch.
func TestPrefetchDoesNotChangeTable(t *testing.T) {
	is := is.New(t)
	table := &Table{Capacity: 10}
	keys := make([]packet.Key, 2*prefetchBatch+1)
	table.Prefetch(keys)
	table.Learn(time.Minute, service(packet.TCP, 1), &keys[0], 1)
	is.Equal(testing.AllocsPerRun(10, func() { table.Prefetch(keys) }), 0.0)
	is.Equal(table.Len(), 1)
}

// fill returns a table with 500,000 established flows.
func fill(t testing.TB) *Table {
	table := &Table{Capacity: openFlows + 1}
	s := service(packet.TCP, 14)
	var p packet.Packet
	for i := range openFlows {
		p.Key = portKey(i)
		p.SYN, p.ACK, p.Seq, p.Bytes = true, false, callerISN, make([]byte, 40)
		v := table.FromCaller(time.Minute, s, &p)
		p.Key, p.ACK, p.Seq, p.Ack = p.Key.Reverse(), true, isn, callerISN+1
		table.FromHost(time.Minute, s, v.Host, &p)
		p.Key, p.SYN, p.Seq, p.Ack = p.Key.Reverse(), false, callerISN+1, isn+1
		if table.FromCaller(time.Minute, s, &p).Action != ToHost {
			t.Fatal("ACK of a new flow was not forwarded to its host")
		}
	}
	return table
}

// Guards against pins that need more memory than an entry VM has: at most 128 bytes for each open flow.
func TestBytesForEachOpenFlow(t *testing.T) {
	is := is.New(t)
	is.Equal(unsafe.Sizeof(pin{}), uintptr(80))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := fill(t)
	runtime.GC()
	runtime.ReadMemStats(&after)
	each := float64(after.HeapAlloc-before.HeapAlloc) / openFlows
	t.Logf("%.1f bytes for each of %d open flows", each, openFlows)
	is.True(each <= 128) // bytes
	runtime.KeepAlive(table)
}

// openFlow returns a table with one established flow and a packet of it.
func openFlow(t *testing.T) (*rig, *packet.Packet) {
	r := newRig(t, packet.TCP, 14)
	r.establish()
	return r, parse(r.I, packet.Segment{Key: r.key, Seq: callerISN + 1, Ack: isn + 1, ACK: true, Payload: []byte("x")})
}

// Guards against allocations for each packet on the data path.
func TestEstablishedPacketsDoNotAllocate(t *testing.T) {
	r, p := openFlow(t)
	back := parse(r.I, packet.Segment{
		Key: r.key.Reverse(), Seq: isn + 1, Ack: callerISN + 2, ACK: true, Payload: []byte("y"),
	})
	r.Observe = nil // Recording the events allocates.
	n := testing.AllocsPerRun(1000, func() {
		p.Seq++ // Each packet of the caller is a new request, and each packet of the host responds to it.
		if r.FromCaller(r.now, r.s, p).Action != ToHost || r.FromHost(r.now, r.s, r.s.Hosts[0], back).Action != ToCaller {
			t.Fatal("packet of an established flow was not forwarded, want one to the host and one to the caller")
		}
		r.now += 100 * time.Millisecond // The run also covers the periodic check of the rank.
	})
	if n != 0 {
		t.Errorf("%v allocations for each packet, want 0", n)
	}
}

// BenchmarkEstablishedPacket handles packets of one flow, and of 500,000 flows in batches of 32.
func BenchmarkEstablishedPacket(b *testing.B) {
	table := fill(b)
	s := service(packet.TCP, 14)
	p := packet.Packet{ACK: true, Seq: callerISN + 1, Ack: isn + 1, Payload: make([]byte, 100)}
	for _, c := range []struct {
		name     string
		step     int
		prefetch bool
	}{{"one-flow", 0, false}, {"all-flows", 7919, false}, {"all-flows-prefetched", 7919, true}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			var keys [32]packet.Key
			i := 0
			for n := 0; n < b.N; n += len(keys) {
				for j := range keys {
					i = (i + c.step) % openFlows // A prime step distributes the packets over the whole table.
					keys[j] = portKey(i)
				}
				if c.prefetch {
					table.Prefetch(keys[:])
				}
				for j := range keys {
					p.Key = keys[j]
					table.FromCaller(time.Minute, s, &p)
				}
			}
		})
	}
}

// BenchmarkNewFlow opens and closes one flow with 500,000 others open: SYN, SYN-ACK, ACK, both FINs and the removal.
func BenchmarkNewFlow(b *testing.B) {
	table := fill(b)
	s := service(packet.TCP, 14)
	syn := packet.Packet{Key: portKey(openFlows), SYN: true, Seq: callerISN, Bytes: make([]byte, 40)}
	synACK := packet.Packet{Key: syn.Key.Reverse(), SYN: true, ACK: true, Seq: isn, Ack: callerISN + 1}
	caller := packet.Packet{Key: syn.Key, ACK: true, FIN: true, Seq: callerISN + 1, Ack: isn + 1}
	host := packet.Packet{Key: synACK.Key, ACK: true, FIN: true, Seq: isn + 1, Ack: callerISN + 2}
	var h *fleet.Host
	b.ReportAllocs()
	for b.Loop() {
		h = table.FromCaller(time.Minute, s, &syn).Host
		table.FromHost(time.Minute, s, h, &synACK)
		table.FromCaller(time.Minute, s, &caller)
		table.FromHost(time.Minute, s, h, &host)
		table.removePin(time.Minute, table.pins.find(&syn.Key, syn.Key.Hash()))
	}
	if table.Len() != openFlows {
		b.Fatalf("%d flows, want %d", table.Len(), openFlows)
	}
}
