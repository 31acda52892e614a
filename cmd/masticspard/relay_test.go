package main

import (
	"encoding/binary"
	"net"
	"net/netip"
	"runtime"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"github.com/masticspar/masticspar/internal/fabric"
)

const (
	relayBatch    = 64 // as in the daemon
	relayBuffer   = 2048
	relayDeadline = 20 * time.Second
)

// batchReader reads batches with recvmmsg as the daemon does, but in the goroutine of its caller, so that its time can
// be measured.
type batchReader struct {
	testing.TB
	conn    *net.UDPConn
	raw     syscall.RawConn
	headers [relayBatch]struct {
		header unix.Msghdr
		length uint32
	}
	vectors [relayBatch]unix.Iovec
	names   [relayBatch]unix.RawSockaddrInet4
	buffers [relayBatch][relayBuffer]byte
	batch   [relayBatch]fabric.Datagram
	count   int
	receive func(fd uintptr) bool
}

func newBatchReader(t testing.TB, address string) *batchReader {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadBuffer(4 << 20)
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	r := &batchReader{TB: t, conn: conn, raw: raw}
	for i := range r.headers {
		r.vectors[i].Base = &r.buffers[i][0]
		r.vectors[i].SetLen(relayBuffer)
		h := &r.headers[i].header
		h.Iov = &r.vectors[i]
		h.SetIovlen(1)
		h.Name = (*byte)(unsafe.Pointer(&r.names[i]))
	}
	r.receive = func(fd uintptr) bool {
		n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&r.headers[0])),
			relayBatch, unix.MSG_DONTWAIT, 0, 0)
		r.count = int(n)
		if errno != 0 {
			r.count = 0
		}
		return true
	}
	return r
}

func (r *batchReader) addr() netip.AddrPort { return r.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// read returns what has arrived, which may be nothing.
func (r *batchReader) read() []fabric.Datagram {
	for i := range r.headers {
		r.headers[i].header.Namelen = unix.SizeofSockaddrInet4
	}
	if err := r.raw.Read(r.receive); err != nil {
		r.Fatal(err)
	}
	for i := range r.count {
		port := binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&r.names[i].Port))[:])
		r.batch[i] = fabric.Datagram{
			Source: netip.AddrPortFrom(netip.AddrFrom4(r.names[i].Addr), port), Bytes: r.buffers[i][:r.headers[i].length],
		}
	}
	return r.batch[:r.count]
}

// gather calls take with batches of the readers until n datagrams have come.
func gather(t testing.TB, n int, take func([]fabric.Datagram), readers ...*batchReader) {
	t.Helper()
	end := time.Now().Add(relayDeadline)
	for got := 0; got < n; {
		before := got
		for _, r := range readers {
			batch := r.read()
			got += len(batch)
			if len(batch) > 0 {
				take(batch)
			}
		}
		if got == before {
			if time.Now().After(end) {
				t.Fatalf("%d of %d datagrams arrived", got, n)
			}
			runtime.Gosched()
		}
	}
}

// bareRelay sends the datagrams that it is given on to one address without looking at them.
type bareRelay struct {
	testing.TB
	out      *ipv4.PacketConn
	messages [relayBatch]ipv4.Message
}

func newBareRelay(t testing.TB, to netip.AddrPort) *bareRelay {
	t.Helper()
	out, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = out.Close() })
	_ = out.SetWriteBuffer(4 << 20)
	r := &bareRelay{TB: t, out: ipv4.NewPacketConn(out)}
	for i := range r.messages {
		r.messages[i] = ipv4.Message{Buffers: make([][]byte, 1), Addr: net.UDPAddrFromAddrPort(to)}
	}
	return r
}

func (r *bareRelay) relay(batch []fabric.Datagram) {
	for i := range batch {
		r.messages[i].Buffers[0] = batch[i].Bytes
	}
	for sent := 0; sent < len(batch); {
		n, err := r.out.WriteBatch(r.messages[sent:len(batch)], 0)
		if err != nil {
			r.Fatal(err)
		}
		sent += n
	}
}

// send relays the batch to the given address.
func (r *bareRelay) send(to netip.AddrPort, batch []fabric.Datagram) {
	for i := range r.messages {
		r.messages[i].Addr = net.UDPAddrFromAddrPort(to)
	}
	r.relay(batch)
}
