package relay

import (
	"net"
	"net/netip"
	"runtime"
	"time"

	"github.com/juju/errors"
	"golang.org/x/net/ipv4"
)

// timeout bounds the wait for datagrams, because the kernel can drop them.
const timeout = 20 * time.Second

// Relay sends batches of datagrams to one address.
type Relay[D ~Datagram] struct {
	conn     *net.UDPConn
	out      *ipv4.PacketConn
	messages [Batch]ipv4.Message
}

// New opens a socket on loopback and returns a relay that sends to the given address.
func New[D ~Datagram](to netip.AddrPort) (*Relay[D], error) {
	conn, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &Relay[D]{conn: conn, out: ipv4.NewPacketConn(conn)}
	for i := range r.messages {
		r.messages[i].Buffers = make([][]byte, 1)
	}
	r.SetTarget(to)
	return r, nil
}

// Close closes the socket.
func (r *Relay[D]) Close() { _ = r.conn.Close() }

// SetTarget sets the address that the relay sends to.
func (r *Relay[D]) SetTarget(to netip.AddrPort) {
	address := net.UDPAddrFromAddrPort(to)
	for i := range r.messages {
		r.messages[i].Addr = address
	}
}

// Send sends a batch of at most Batch datagrams.
func (r *Relay[D]) Send(batch []D) error {
	for i := range batch {
		r.messages[i].Buffers[0] = Datagram(batch[i]).Bytes
	}
	for sent := 0; sent < len(batch); {
		n, err := r.out.WriteBatch(r.messages[sent:len(batch)], 0)
		if err != nil {
			return errors.Trace(err)
		}
		sent += n
	}
	return nil
}

// Gather calls take with the batches of the readers until n datagrams have arrived. It returns an error if they
// have not arrived after 20 s.
func Gather[D ~Datagram](n int, take func(batch []D) error, readers ...*Reader[D]) error {
	end := time.Now().Add(timeout)
	for got := 0; got < n; {
		before := got
		for _, r := range readers {
			batch, err := r.Read()
			if err != nil {
				return err
			}
			got += len(batch)
			if len(batch) > 0 {
				if err := take(batch); err != nil {
					return err
				}
			}
		}
		if got == before {
			if time.Now().After(end) {
				return errors.Timeoutf("receiving datagrams (%d of %d arrived):", got, n)
			}
			runtime.Gosched()
		}
	}
	return nil
}

// Discard drops a batch.
func Discard[D ~Datagram]([]D) error { return nil }
