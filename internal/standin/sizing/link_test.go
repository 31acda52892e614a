package sizing

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/peer"
	"github.com/masticspar/masticspar/internal/standin/authority"
)

// ipHeaders is the size of the IPv4 and UDP headers in bytes, which the relay does not receive.
const ipHeaders = 28

// relay forwards datagrams between one client and a server and counts them.
type relay struct {
	bytes, datagrams [2]atomic.Int64 // from the client and from the server
}

// listen starts the relay. It returns the address for the client and a function that stops the relay.
func (r *relay) listen(server netip.AddrPort) (netip.AddrPort, func(), error) {
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	back, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(server))
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	var client atomic.Pointer[netip.AddrPort]
	var wg sync.WaitGroup
	pass := func(direction int, read func([]byte) (int, error), write func([]byte) (int, error)) {
		b := make([]byte, 2048)
		for {
			n, err := read(b)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				continue // The port is unreachable while the server stops.
			}
			r.bytes[direction].Add(int64(n + ipHeaders))
			r.datagrams[direction].Add(1)
			_, _ = write(b[:n])
		}
	}
	wg.Go(func() {
		pass(0, func(b []byte) (int, error) {
			n, from, err := front.ReadFromUDPAddrPort(b)
			client.Store(&from)
			return n, err
		}, back.Write)
	})
	wg.Go(func() {
		pass(1, back.Read, func(b []byte) (int, error) { return front.WriteToUDPAddrPort(b, *client.Load()) })
	})
	return front.LocalAddr().(*net.UDPAddr).AddrPort(), func() {
		_, _ = front.Close(), back.Close()
		wg.Wait()
	}, nil
}

// freeAddress returns a loopback address whose port was free at the time of the call.
func freeAddress(b *testing.B) netip.AddrPort {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// memoryInUse returns the live heap and the stacks in use, in bytes.
func memoryInUse() float64 {
	live := liveHeap()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return live + float64(m.StackInuse)
}

// BenchmarkLink measures the cost of links from one process to several others over loopback, for both ends together.
func BenchmarkLink(b *testing.B) {
	a, err := authority.New()
	if err != nil {
		b.Fatal(err)
	}
	directory, opened := b.TempDir(), 0
	var handled atomic.Int64
	open := func(at netip.AddrPort) (*peer.Link, peer.Peer, func()) {
		to := peer.Peer{Name: fmt.Sprint("entry-", opened), Address: at}
		opened++
		if err := a.Write(directory, to.Name); err != nil {
			b.Fatal(err)
		}
		files := authority.PathsIn(directory, to.Name)
		l, stop, err := peer.New(peer.Config{
			Name: to.Name, Listen: at, CAFile: files.CA, CertificateFile: files.Certificate, KeyFile: files.Key,
			BytesPerSecond: 1 << 30, // high enough that the budget does not limit the benchmark
			Counters:       counter.New(), Handle: func(peer.Message) { handled.Add(1) },
		})
		if err != nil {
			b.Fatal(err)
		}
		return l, to, stop
	}
	wait := func(n int64) {
		for end := time.Now().Add(10 * time.Second); handled.Load() < n; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				b.Fatalf("%d of %d messages arrived", handled.Load(), n)
			}
		}
	}
	links := Table{Title: "Links, both ends, by links", Size: "links", Columns: []string{"memory-B", "handshakes-CPU-ms", "goroutines"}}
	const body, rounds = 120, 50
	messages := Table{
		Title: fmt.Sprintf("Messages of %d bytes, both ends, by messages", body), Size: "messages", Columns: []string{"CPU-ms"},
	}
	for _, n := range []int{4, 16, 48} {
		from, _, stopFrom := open(freeAddress(b))
		stops := []func(){stopFrom}
		var to []peer.Peer
		for range n {
			_, p, stop := open(freeAddress(b))
			to, stops = append(to, p), append(stops, stop)
		}
		send := func(count int, body []byte) {
			for range count {
				for _, p := range to {
					from.Send(p, peer.Message{Kind: 1, Body: body})
				}
				wait(handled.Load()/int64(n)*int64(n) + int64(n))
			}
		}
		handled.Store(0)
		before, routines, start := memoryInUse(), runtime.NumGoroutine(), processorTime()
		send(1, make([]byte, body))
		handshakes := float64((processorTime() - start).Microseconds()) / 1000
		links.Add(float64(n), memoryInUse()-before, handshakes, float64(runtime.NumGoroutine()-routines))
		start = processorTime()
		send(rounds, make([]byte, body))
		messages.Add(float64(n*rounds), float64((processorTime()-start).Microseconds())/1000)
		for _, stop := range stops {
			stop()
		}
	}
	printTable(&links)
	printTable(&messages)

	at := freeAddress(b)
	from, _, stopFrom := open(freeAddress(b))
	defer stopFrom()
	_, to, stopTo := open(at)
	defer stopTo()
	var r relay
	front, stopRelay, err := r.listen(at)
	if err != nil {
		b.Fatal(err)
	}
	defer stopRelay()
	wire := Table{
		Title: "Bytes on the wire with IP and UDP headers, by size of the message (first row: handshake and one message)",
		Size:  "bytes", Columns: []string{"sent-B", "answered-B", "datagrams"},
	}
	measure := func(size, count int) (float64, float64, float64) {
		s, t, d := r.bytes[0].Load(), r.bytes[1].Load(), r.datagrams[0].Load()+r.datagrams[1].Load()
		for range count {
			before := handled.Load()
			from.Send(peer.Peer{Name: to.Name, Address: front}, peer.Message{Kind: 1, Body: make([]byte, size)})
			wait(before + 1)
			time.Sleep(30 * time.Millisecond) // includes the delayed acknowledgement of the message
		}
		each := float64(count)
		return float64(r.bytes[0].Load()-s) / each, float64(r.bytes[1].Load()-t) / each,
			float64(r.datagrams[0].Load()+r.datagrams[1].Load()-d) / each
	}
	first, answered, datagrams := measure(1, 1)
	fmt.Printf("\nHandshake and one message of 1 byte: %.0f B sent, %.0f B answered, %.0f datagrams\n", first, answered, datagrams)
	wire.Title = "Bytes on the wire with IP and UDP headers, by size of the message"
	measure(100, 20) // excludes the path MTU discovery that follows the handshake
	for _, size := range []int{20, 120, 500, 1000} {
		s, t, d := measure(size, 20)
		wire.Add(float64(size), s, t, d)
	}
	printTable(&wire)
}
