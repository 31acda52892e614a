package relay

import (
	"encoding/binary"
	"net"
	"net/netip"
	"syscall"
	"unsafe"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// Batch is the maximum number of datagrams per system call, the same as in the daemon.
	Batch        = 64
	bufferSize   = 2048    // bytes; longer datagrams are truncated
	socketBuffer = 4 << 20 // bytes requested from the kernel, which may grant less
)

// Datagram is a received UDP payload. The type parameter D of this package has these fields, so that the tests of
// package fabric can use the package without an import cycle.
type Datagram = struct {
	Source netip.AddrPort
	Bytes  []byte
}

// Reader reads batches with recvmmsg like the daemon, but in the goroutine of the caller, so that its processor time
// can be measured. It supports only IPv4.
type Reader[D ~Datagram] struct {
	conn    *net.UDPConn
	raw     syscall.RawConn
	headers [Batch]struct {
		header unix.Msghdr
		length uint32
	}
	vectors [Batch]unix.Iovec
	names   [Batch]unix.RawSockaddrInet4
	buffers [Batch][bufferSize]byte
	batch   [Batch]D
	count   int
	receive func(fd uintptr) bool
}

// NewReader opens a socket on address.
func NewReader[D ~Datagram](address netip.AddrPort) (*Reader[D], error) {
	conn, err := listen(address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, errors.Trace(err)
	}
	r := &Reader[D]{conn: conn, raw: raw}
	for i := range r.headers {
		r.vectors[i].Base = &r.buffers[i][0]
		r.vectors[i].SetLen(bufferSize)
		h := &r.headers[i].header
		h.Iov = &r.vectors[i]
		h.SetIovlen(1)
		h.Name = (*byte)(unsafe.Pointer(&r.names[i]))
	}
	// The closure is created once, because a closure for each call would allocate.
	r.receive = func(fd uintptr) bool {
		n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&r.headers[0])),
			Batch, unix.MSG_DONTWAIT, 0, 0)
		r.count = int(n)
		if errno != 0 {
			r.count = 0
		}
		return true
	}
	return r, nil
}

// Close closes the socket.
func (r *Reader[D]) Close() { _ = r.conn.Close() }

// Addr returns the address that the Reader receives on.
func (r *Reader[D]) Addr() netip.AddrPort { return r.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Read returns the datagrams that have arrived, without waiting for any. The batch is valid until the next call.
func (r *Reader[D]) Read() ([]D, error) {
	for i := range r.headers {
		r.headers[i].header.Namelen = unix.SizeofSockaddrInet4
	}
	if err := r.raw.Read(r.receive); err != nil {
		return nil, errors.Trace(err)
	}
	for i := range r.count {
		port := binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&r.names[i].Port))[:])
		r.batch[i] = D{
			Source: netip.AddrPortFrom(netip.AddrFrom4(r.names[i].Addr), port), Bytes: r.buffers[i][:r.headers[i].length],
		}
	}
	return r.batch[:r.count], nil
}

func listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	// The kernel limits the sizes without an error; smaller buffers only drop datagrams earlier.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}
