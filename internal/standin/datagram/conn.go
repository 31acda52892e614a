package datagram

import (
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"
)

const (
	bufferSize   = 2048 // bytes; longer datagrams are truncated
	errorDelay   = time.Millisecond
	socketBuffer = 4 << 20 // bytes requested from the kernel, which may grant less
)

// Conn is a UDP socket with a reader goroutine.
type Conn struct {
	conn *net.UDPConn
}

// New opens a socket on address and calls handler with each datagram, which is valid only during the call. The handler
// can be called before New returns; if it is nil, received datagrams are not read. The returned function closes the
// socket and waits for the last call of handler.
func New(address netip.AddrPort, handler func(source netip.AddrPort, datagram []byte)) (*Conn, func(), error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, nil, errors.Annotatef(err, "opening a socket on %s", address)
	}
	if handler == nil {
		return &Conn{conn: conn}, func() { _ = conn.Close() }, nil
	}
	_ = conn.SetReadBuffer(socketBuffer)
	var tb tomb.Tomb
	tb.Go(func() error {
		b := make([]byte, bufferSize)
		for tb.Alive() {
			n, source, err := conn.ReadFromUDPAddrPort(b)
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				time.Sleep(errorDelay) // prevents a busy loop on a persistent error
				continue
			}
			handler(netip.AddrPortFrom(source.Addr().Unmap(), source.Port()), b[:n])
		}
		return nil
	})
	return &Conn{conn: conn}, func() {
		tb.Kill(nil)
		_ = conn.Close()
		_ = tb.Wait()
	}, nil
}

// Addr returns the address and port of the socket.
func (c *Conn) Addr() netip.AddrPort {
	return c.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Send sends one datagram. The datagram is lost if the kernel returns an error.
func (c *Conn) Send(to netip.AddrPort, datagram []byte) {
	_, _ = c.conn.WriteToUDPAddrPort(datagram, to)
}
