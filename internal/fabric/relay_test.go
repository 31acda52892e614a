package fabric

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/standin/relay"
)

// bareRelay is a relay, as the baseline of the benchmarks, with the reader that it receives from.
type bareRelay struct {
	in  *relay.Reader[Datagram]
	out *relay.Relay[Datagram]
}

// newRelay opens a relay on loopback that sends to the given address.
func newRelay(t testing.TB, to netip.AddrPort) *bareRelay {
	t.Helper()
	in, err := relay.NewReader[Datagram](loopback4)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(in.Close)
	out, err := relay.New[Datagram](to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(out.Close)
	return &bareRelay{in: in, out: out}
}

// relayBatch relays a batch.
func (r *bareRelay) relayBatch(t testing.TB) {
	if err := relay.Gather(batchSize, r.out.Send, r.in); err != nil {
		t.Fatal(err)
	}
}

// bench provides a source and a sink for the measured code. Both run only between the measured sections, so that the
// results do not depend on other goroutines.
type bench struct {
	testing.TB
	source *Socket
	sink   *reader
	to     netip.AddrPort // the sink
	data   []byte
}

func newBench(t testing.TB) *bench {
	conn, sink := openReader(t, loopback4)
	return &bench{
		TB: t, source: open(t, loopback4, func([]Datagram) {}), sink: sink,
		to: conn.LocalAddr().(*net.UDPAddr).AddrPort(), data: make([]byte, 128),
	}
}

// sendBatch sends a batch to the given address.
func (b *bench) sendBatch(to netip.AddrPort) {
	for range batchSize {
		b.source.Send(to, b.data, 0, 0)
	}
	b.source.Flush()
}

// receiveBatch reads a batch from the sink.
func (b *bench) receiveBatch() { b.readBatch(b.sink) }

func (b *bench) readBatch(r *reader) {
	for got := 0; got < batchSize; {
		batch, err := r.read()
		if err != nil {
			b.Fatal(err)
		}
		got += len(batch)
	}
}

func elapsed(f func()) time.Duration {
	start := time.Now()
	f()
	return time.Since(start)
}

// perDatagram returns the nanoseconds per datagram over all rounds of a benchmark.
func perDatagram(b *testing.B, total time.Duration) float64 {
	return float64(total) / float64(b.N) / batchSize
}

// BenchmarkBatch compares batches with single system calls in alternate rounds.
func BenchmarkBatch(b *testing.B) {
	x := newBench(b)
	single, err := listen(loopback4)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = single.Close() }()
	to := single.LocalAddr().(*net.UDPAddr).AddrPort()
	buffer := make([]byte, bufferSize)
	var singleWrite, batchWrite, singleRead, batchRead time.Duration
	b.ReportAllocs()
	for b.Loop() {
		batchWrite += elapsed(func() { x.sendBatch(x.to) })
		batchRead += elapsed(x.receiveBatch)
		singleWrite += elapsed(func() {
			for range batchSize {
				if _, err := single.WriteToUDPAddrPort(x.data, to); err != nil {
					b.Fatal(err)
				}
			}
		})
		singleRead += elapsed(func() {
			for range batchSize {
				if _, _, err := single.ReadFromUDPAddrPort(buffer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.ReportMetric(perDatagram(b, batchWrite), "batch-write-ns")
	b.ReportMetric(perDatagram(b, batchRead), "batch-read-ns")
	b.ReportMetric(float64(singleWrite)/float64(batchWrite), "write-speedup")
	b.ReportMetric(float64(singleRead)/float64(batchRead), "read-speedup")
}

// BenchmarkRelay compares relaying through the queues of a Socket with the bare relay in alternate rounds.
func BenchmarkRelay(b *testing.B) {
	x := newBench(b)
	bare := newRelay(b, x.to)
	conn, in := openReader(b, loopback4)
	address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	out := open(b, loopback4, func([]Datagram) {})
	var bareTime, socketTime time.Duration
	hash := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		x.sendBatch(bare.in.Addr())
		bareTime += elapsed(func() { bare.relayBatch(b) })
		x.receiveBatch()
		x.sendBatch(address)
		socketTime += elapsed(func() {
			for got := 0; got < batchSize; {
				batch, err := in.read()
				if err != nil {
					b.Fatal(err)
				}
				for i := range batch {
					hash++
					out.Send(x.to, batch[i].Bytes, hash, 0)
				}
				out.Flush()
				got += len(batch)
			}
		})
		x.receiveBatch()
	}
	b.ReportMetric(perDatagram(b, bareTime), "bare-ns")
	b.ReportMetric(perDatagram(b, socketTime), "socket-ns")
	b.ReportMetric(float64(bareTime)/float64(socketTime), "throughput-ratio")
}

// Guards against a relay that loses datagrams, which would make every throughput ratio to it too small.
func TestRelayPassesEveryDatagram(t *testing.T) {
	x := newBench(t)
	r := newRelay(t, x.to)
	for range 20 {
		x.sendBatch(r.in.Addr())
		r.relayBatch(t)
		x.receiveBatch()
	}
}
