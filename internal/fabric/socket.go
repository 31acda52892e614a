package fabric

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
	"golang.org/x/sys/unix"
	"gopkg.in/tomb.v2"

	"github.com/masticspar/masticspar/internal/counter"
)

const (
	poolSize         = 8                // sending sockets of a Socket
	rotationPeriod   = 5 * time.Second  // bounds the time that a flow stays on a silently dropping path
	batchSize        = 64               // datagrams per system call; larger batches gain little and add latency
	queueSize        = 4 * batchSize    // datagrams that each sending socket queues while its send buffer is full
	readErrorDelay   = time.Millisecond // delays the next read after an error
	bufferSize       = 2048             // bytes; holds a datagram of every permitted inner MTU
	socketBufferSize = 4 << 20          // bytes requested from the kernel, which may grant less
)

// Datagram is one received UDP payload.
type Datagram struct {
	// Source is the outer source address and port.
	Source netip.AddrPort
	// Bytes is the payload; it is valid only during the call of the handler.
	Bytes []byte
}

// Socket receives from one address and sends from a pool of ports on the same IP address.
// Send and Flush are safe for concurrent use.
type Socket struct {
	conn       *net.UDPConn
	tb         tomb.Tomb
	mu         sync.Mutex
	pool       [poolSize]sender
	closed     bool
	queueFull  metrics.Counter
	sendErrors metrics.Counter
	readErrors metrics.Counter
	oversized  metrics.Counter
}

// New opens the receiving socket on address and starts the reader, which calls handler for each batch. The second
// result closes the sockets after the last call of handler. The handler can run before New returns, so a handler that
// uses the Socket must take a lock that the caller of New holds until it has stored the Socket. counters may be nil.
func New(address netip.AddrPort, counters *counter.Set, handler func(batch []Datagram)) (*Socket, func(), error) {
	s := &Socket{
		queueFull: counters.Counter("dropped-send-queue"), sendErrors: counters.Counter("dropped-send-error"),
		readErrors: counters.Counter("fabric-read-errors"), oversized: counters.Counter("dropped-datagram-oversized"),
	}
	conn, err := listen(address)
	if err != nil {
		return nil, nil, errors.Annotatef(err, "opening the receiving socket on %s", address)
	}
	s.conn = conn
	raw, err := conn.SyscallConn()
	if err != nil {
		s.closeAll()
		return nil, nil, errors.Trace(err)
	}
	s.tb.Go(func() error {
		r := newReader(raw, s.oversized)
		for s.tb.Alive() {
			batch, err := r.read()
			switch {
			case err == nil:
				handler(batch)
			case errors.Is(err, net.ErrClosed):
				return nil
			default:
				// Kernel errors such as a lack of memory are usually temporary; the delay prevents a lasting one from
				// using a whole core.
				s.readErrors.Inc(1)
				time.Sleep(readErrorDelay)
			}
		}
		return nil
	})
	return s, func() {
		s.tb.Kill(nil)
		_ = conn.Close()
		_ = s.tb.Wait()
		s.closeAll()
	}, nil
}

// Addr returns the address and port that the Socket receives on.
func (s *Socket) Addr() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Send queues a copy of datagram for the address to. The flow hash and the time now select the sending socket. Send
// reports whether the datagram was queued: it is dropped and counted if it is too large, if the sending socket cannot be
// opened, or if the queue is full because the kernel accepts no datagrams.
func (s *Socket) Send(to netip.AddrPort, datagram []byte, hash uint64, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(datagram) > bufferSize {
		s.sendErrors.Inc(1)
		return false
	}
	p := &s.pool[poolIndex(hash, now)]
	if p.conn == nil { // Opened at first use, because a process that starts must forward packets as early as possible.
		if s.closed || p.open(netip.AddrPortFrom(s.Addr().Addr(), 0)) != nil {
			s.sendErrors.Inc(1)
			return false
		}
	}
	if p.queued == queueSize {
		p.flush(s.sendErrors)
	}
	if p.queued == queueSize {
		s.queueFull.Inc(1)
		return false
	}
	p.put(to, datagram)
	if p.queued%batchSize == 0 {
		p.flush(s.sendErrors)
	}
	return true
}

// Flush writes the queued datagrams. Those that the kernel does not accept stay queued for the next Flush.
func (s *Socket) Flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.pool {
		if s.pool[i].queued > 0 {
			s.pool[i].flush(s.sendErrors)
		}
	}
}

func (s *Socket) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.conn.Close()
	for i := range s.pool {
		if s.pool[i].conn != nil {
			_ = s.pool[i].conn.Close()
		}
	}
}

func poolIndex(hash uint64, now time.Duration) int {
	return int((hash + uint64(now/rotationPeriod)) % poolSize)
}

func listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	// The kernel limits the sizes silently; smaller buffers only cause earlier drops.
	_ = conn.SetReadBuffer(socketBufferSize)
	_ = conn.SetWriteBuffer(socketBufferSize)
	return conn, nil
}

// sender is a sending socket with its output queue.
type sender struct {
	conn     *net.UDPConn
	write    func(messages []ipv4.Message, flags int) (int, error)
	messages []ipv4.Message // the first ones are queued; the others keep buffers for reuse
	queued   int            // messages
}

func (p *sender) open(address netip.AddrPort) error {
	conn, err := listen(address)
	if err != nil {
		return err
	}
	p.conn = conn
	if address.Addr().Unmap().Is4() {
		p.write = ipv4.NewPacketConn(conn).WriteBatch
	} else {
		p.write = ipv6.NewPacketConn(conn).WriteBatch
	}
	p.messages = make([]ipv4.Message, queueSize)
	return nil
}

func (p *sender) put(to netip.AddrPort, datagram []byte) {
	m := &p.messages[p.queued]
	if m.Buffers == nil { // Allocated at first use, because most queues stay short.
		m.Buffers = [][]byte{make([]byte, 0, bufferSize)}
		m.Addr = &net.UDPAddr{IP: make(net.IP, net.IPv6len)}
	}
	m.Buffers[0] = append(m.Buffers[0][:0], datagram...)
	address := m.Addr.(*net.UDPAddr)
	if ip := to.Addr().Unmap(); ip.Is4() {
		b := ip.As4()
		address.IP = append(address.IP[:0], b[:]...)
	} else {
		b := ip.As16()
		address.IP = append(address.IP[:0], b[:]...)
	}
	address.Port = int(to.Port())
	p.queued++
}

// flush writes the queued datagrams until the kernel accepts no more, and moves the others to the front of the queue.
func (p *sender) flush(sendErrors metrics.Counter) {
	done := 0
	for done < p.queued {
		end := min(p.queued, done+batchSize)
		n, err := p.write(p.messages[done:end], unix.MSG_DONTWAIT)
		done += max(n, 0)
		if err == nil {
			continue
		}
		if errors.Is(err, unix.EAGAIN) {
			break
		}
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			done = p.queued
			break
		}
		// The kernel rejected the first datagram of the batch, for example because of its address; the others can be
		// valid.
		sendErrors.Inc(1)
		done++
	}
	// Swapping, unlike copying, keeps every buffer in the queue exactly once.
	for i := 0; done > 0 && done+i < p.queued; i++ {
		p.messages[i], p.messages[done+i] = p.messages[done+i], p.messages[i]
	}
	p.queued -= done
}
