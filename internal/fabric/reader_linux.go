package fabric

import (
	"encoding/binary"
	"net/netip"
	"os"
	"syscall"
	"unsafe"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
)

// messageHeader is struct mmsghdr of recvmmsg(2).
type messageHeader struct {
	header unix.Msghdr
	length uint32
}

// reader reads batches with recvmmsg directly, because ReadBatch of golang.org/x/net allocates a net.UDPAddr and
// its net.IP for each datagram.
type reader struct {
	raw       syscall.RawConn
	oversized metrics.Counter
	headers   [batchSize]messageHeader
	vectors   [batchSize]unix.Iovec
	names     [batchSize]unix.RawSockaddrInet6
	buffers   [batchSize][bufferSize]byte
	batch     [batchSize]Datagram
	count     int
	errno     syscall.Errno
	receive   func(fd uintptr) bool
}

func newReader(raw syscall.RawConn, oversized metrics.Counter) *reader {
	r := &reader{raw: raw, oversized: oversized}
	for i := range r.headers {
		r.vectors[i].Base = &r.buffers[i][0]
		r.vectors[i].SetLen(bufferSize)
		h := &r.headers[i].header
		h.Iov = &r.vectors[i]
		h.SetIovlen(1)
		h.Name = (*byte)(unsafe.Pointer(&r.names[i]))
	}
	// The reader uses a single closure, because a closure for each call would allocate.
	r.receive = func(fd uintptr) bool {
		for {
			n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&r.headers[0])),
				batchSize, unix.MSG_DONTWAIT, 0, 0)
			if errno == unix.EINTR {
				continue
			}
			r.count, r.errno = int(n), errno
			return errno != unix.EAGAIN
		}
	}
	return r
}

// read waits for datagrams and returns them; they are valid until the next call.
func (r *reader) read() ([]Datagram, error) {
	for i := range r.headers {
		r.headers[i].header.Namelen = unix.SizeofSockaddrInet6
	}
	if err := r.raw.Read(r.receive); err != nil {
		return nil, err
	}
	if r.errno != 0 {
		return nil, os.NewSyscallError("recvmmsg", r.errno)
	}
	kept := 0
	for i := range r.count {
		if r.headers[i].header.Flags&unix.MSG_TRUNC != 0 {
			r.oversized.Inc(1)
			continue
		}
		r.batch[kept] = Datagram{Source: source(&r.names[i]), Bytes: r.buffers[i][:r.headers[i].length]}
		kept++
	}
	return r.batch[:kept], nil
}

func source(name *unix.RawSockaddrInet6) netip.AddrPort {
	// The port has the same place in both families and is in network byte order.
	port := binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&name.Port))[:])
	if name.Family == unix.AF_INET {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(name))
		return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16(name.Addr).Unmap(), port)
}
