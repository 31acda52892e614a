package fabric

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"github.com/masticspar/masticspar/internal/counter"
)

const waitTimeout = 20 * time.Second // long, because test machines can be busy

var (
	loopback4 = netip.MustParseAddrPort("127.0.0.1:0")
	loopback6 = netip.MustParseAddrPort("[::1]:0")
)

// recorder counts the datagrams that a Socket received by their content, and records their source addresses.
type recorder struct {
	mu       sync.Mutex
	received map[string]int
	sources  map[netip.AddrPort]bool
}

func (r *recorder) handle(batch []Datagram) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range batch {
		r.received[string(d.Bytes)]++
		r.sources[d.Source] = true
	}
}

func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.received)
}

func open(t testing.TB, address netip.AddrPort, handler func([]Datagram)) *Socket {
	t.Helper()
	s, stop, err := New(address, counter.New(), handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return s
}

func waitUntil(t testing.TB, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out before all datagrams arrived")
		}
	}
}

// Guards against lost, changed or repeated datagrams, and against wrong source addresses, in both families.
func TestDatagramsArriveOnceWithSource(t *testing.T) {
	for _, address := range []netip.AddrPort{loopback4, loopback6} {
		is := is.New(t)
		r := &recorder{received: map[string]int{}, sources: map[netip.AddrPort]bool{}}
		to := open(t, address, r.handle)
		from := open(t, address, func([]Datagram) {})
		const total = 500
		for i := range total {
			is.True(from.Send(to.Addr(), fmt.Appendf(nil, "datagram %d", i), uint64(i), 0))
			if i%50 == 49 { // 50 datagrams fit the default receive buffer of the kernel.
				from.Flush()
				waitUntil(t, func() bool { return r.count() == i+1 })
			}
		}
		for i := range total {
			is.Equal(r.received[fmt.Sprintf("datagram %d", i)], 1)
		}
		is.Equal(len(r.sources), poolSize)
		for source := range r.sources {
			is.Equal(source.Addr(), from.Addr().Addr())
		}
	}
}

// Guards against a flow that stays on one outer source port for more than a rotation period.
func TestSourcePortRotates(t *testing.T) {
	is := is.New(t)
	r := &recorder{received: map[string]int{}, sources: map[netip.AddrPort]bool{}}
	to := open(t, loopback4, r.handle)
	from := open(t, loopback4, func([]Datagram) {})
	for i := range 4 {
		from.Send(to.Addr(), []byte{byte(i)}, 77, time.Duration(i)*rotationPeriod/2)
	}
	from.Flush()
	waitUntil(t, func() bool { return r.count() == 4 })
	is.Equal(len(r.sources), 2)
}

// Guards against an unbounded queue and uncounted drops while the kernel accepts no datagrams, and against queued
// datagrams that are lost or reordered when it accepts some.
func TestFullQueueDropsAndCounts(t *testing.T) {
	is := is.New(t)
	c := counter.New()
	s, stop, err := New(loopback4, c, func([]Datagram) {})
	is.NoErr(err)
	defer stop()
	p := &s.pool[0]
	is.NoErr(p.open(netip.AddrPortFrom(s.Addr().Addr(), 0)))
	write, accept, order := p.write, 0, []int(nil)
	p.write = func(messages []ipv4.Message, _ int) (int, error) {
		n := min(accept, len(messages))
		accept -= n
		for _, m := range messages[:n] {
			order = append(order, int(binary.BigEndian.Uint16(m.Buffers[0])))
		}
		if n == 0 {
			return -1, unix.EAGAIN
		}
		return n, nil
	}
	defer func() { p.write = write }()
	for i := range queueSize + 10 {
		is.Equal(s.Send(loopback4, binary.BigEndian.AppendUint16(nil, uint16(i)), 0, 0), i < queueSize)
	}
	is.Equal(c.Values()["dropped-send-queue"], int64(10))
	for accept = 100; p.queued > 0; accept = 100 {
		s.Flush()
	}
	is.Equal(len(order), queueSize)
	for i, n := range order {
		is.Equal(n, i)
	}
}

// Guards against sending sockets that are opened, and never closed, after the Socket was closed.
func TestSendAfterCloseOpensNoSocket(t *testing.T) {
	is := is.New(t)
	s, stop, err := New(loopback4, nil, func([]Datagram) {})
	is.NoErr(err)
	stop()
	is.True(!s.Send(loopback4, []byte("late"), 0, 0))
	is.Equal(s.pool[0].conn, nil)
}

// Guards against losing the rest of a batch because the kernel rejects one datagram of it.
func TestRefusedDatagramIsSkipped(t *testing.T) {
	is := is.New(t)
	c := counter.New()
	s, stop, err := New(loopback4, c, func([]Datagram) {})
	is.NoErr(err)
	defer stop()
	r := &recorder{received: map[string]int{}, sources: map[netip.AddrPort]bool{}}
	to := open(t, loopback4, r.handle)
	s.Send(to.Addr(), []byte("first"), 0, 0)
	s.Send(netip.MustParseAddrPort("127.0.0.1:0"), []byte("port zero is refused"), 0, 0)
	s.Send(to.Addr(), []byte("last"), 0, 0)
	s.Flush()
	waitUntil(t, func() bool { return r.count() == 2 })
	is.Equal(c.Values()["dropped-send-error"], int64(1))
}

// Guards against a truncated datagram being passed to the handler as complete.
func TestOversizedDatagramIsDropped(t *testing.T) {
	is := is.New(t)
	c := counter.New()
	r := &recorder{received: map[string]int{}, sources: map[netip.AddrPort]bool{}}
	s, stop, err := New(loopback4, c, r.handle)
	is.NoErr(err)
	defer stop()
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(s.Addr()))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	for _, size := range []int{bufferSize + 1, bufferSize} {
		_, err = conn.Write(bytes.Repeat([]byte("x"), size))
		is.NoErr(err)
	}
	waitUntil(t, func() bool { return r.count() == 1 })
	is.Equal(c.Values()["dropped-datagram-oversized"], int64(1))
}

// Guards against allocations for each packet. golang.org/x/net takes the headers for writing from a sync.Pool, which
// the garbage collector and the race detector empty occasionally; the bound of 3 for a batch permits only that.
func TestBatchesDoNotAllocate(t *testing.T) {
	for _, address := range []netip.AddrPort{loopback4, loopback6} {
		conn, r := openReader(t, address)
		s := open(t, address, func([]Datagram) {})
		to := conn.LocalAddr().(*net.UDPAddr).AddrPort()
		datagram := make([]byte, 100)
		n := testing.AllocsPerRun(200, func() {
			for range batchSize {
				s.Send(to, datagram, 0, 0)
			}
			s.Flush()
			for got := 0; got < batchSize; {
				batch, err := r.read()
				if err != nil {
					t.Fatal(err)
				}
				got += len(batch)
			}
		})
		if n > 3 {
			t.Errorf("%s: %v allocations for a batch of %d datagrams, want at most 3", address, n, batchSize)
		}
	}
}

func openReader(t testing.TB, address netip.AddrPort) (*net.UDPConn, *reader) {
	t.Helper()
	conn, err := listen(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetReadDeadline(time.Now().Add(10 * waitTimeout)); err != nil {
		t.Fatal(err)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	return conn, newReader(raw, counter.New().Counter("oversized"))
}
