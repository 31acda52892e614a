package peer

import (
	"context"
	"crypto/x509"
	"math/rand/v2"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
)

// session holds the queue and the connection of one peer; its fields are guarded by the mutex of the link.
type session struct {
	key     string
	to      Peer
	queue   chan queuedMessage
	adopted chan struct{} // Receives a value when a connection is assigned.
	running bool
	conn    *connection
	backoff time.Duration // Delay before the next dial; zero after a received message.
}

type queuedMessage struct {
	data     []byte
	queuedAt time.Time
}

// run sends the queued messages until none was queued for the idle timeout.
func (l *Link) run(s *session) error {
	idle := time.NewTimer(l.IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case it := <-s.queue:
			l.deliver(s, it)
			idle.Reset(l.IdleTimeout)
		case <-idle.C:
			l.mu.Lock()
			if len(s.queue) == 0 {
				s.running = false
				l.removeIfUnused(s)
				l.mu.Unlock()
				return nil
			}
			l.mu.Unlock()
			idle.Reset(l.IdleTimeout)
		case <-l.tb.Dying():
			return nil
		}
	}
}

// removeIfUnused removes a session without a goroutine and a connection. The caller holds l.mu.
func (l *Link) removeIfUnused(s *session) {
	if !s.running && s.conn == nil {
		delete(l.sessions, s.key)
	}
}

// deliver sends one message, on a new connection if necessary; it drops the message after maxMessageAge.
func (l *Link) deliver(s *session, m queuedMessage) {
	waited := false
	for l.tb.Alive() {
		if time.Since(m.queuedAt) > maxMessageAge {
			l.drop("expired", m.data)
			return
		}
		l.mu.Lock()
		c, to, backoff := s.conn, s.to, s.backoff
		l.mu.Unlock()
		if c != nil {
			if l.write(c, m.data) == nil {
				return
			}
			l.Counters.Add("peer-retry-write", 1)
			l.closeConnection(c, "write failed")
			continue
		}
		if backoff > 0 && !waited {
			select {
			case <-time.After(backoff + rand.N(backoff/2)):
				waited = true
			case <-s.adopted:
			case <-l.tb.Dying():
				return
			}
			continue // The message may have expired, or a connection may be open.
		}
		waited = false
		l.mu.Lock()
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		l.mu.Unlock()
		if err := l.dial(to); err != nil {
			l.Counters.Add("peer-retry-dial", 1)
		}
	}
}

// dial opens a connection from a new local UDP port.
func (l *Link) dial(to Peer) error {
	l.Counters.Add("peer-dials", 1)
	local := net.UDPAddrFromAddrPort(l.Listen)
	local.Port = 0
	udp, err := net.ListenUDP("udp", local)
	if err != nil {
		return errors.Trace(err)
	}
	transport := l.newTransport(udp)
	release := func() {
		_ = transport.Close()
		_ = udp.Close()
	}
	ctx, cancel := context.WithTimeout(l.tb.Context(context.Background()), responseTimeout)
	defer cancel()
	config := l.tlsConfig(l.keys.Load(), to.Name, x509.ExtKeyUsageServerAuth)
	c, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(to.Address), config, l.quicConfig())
	if err != nil {
		release()
		return errors.Trace(err)
	}
	l.adoptDialed(c, to, release)
	return nil
}

// write sends data as a datagram, or on a stream of its own if it is too large for a datagram. It returns an error only
// if a datagram cannot be sent; a message that cannot be sent on a stream is dropped and counted.
func (l *Link) write(c *connection, data []byte) error {
	if len(data) <= maxDatagram {
		err := c.SendDatagram(data)
		var tooLarge *quic.DatagramTooLargeError
		if err == nil || !errors.As(err, &tooLarge) {
			return errors.Trace(err)
		}
	}
	select {
	case c.streams <- struct{}{}:
	default:
		l.drop("streams-busy", data)
		return nil
	}
	// A long transfer must not delay the pings that are queued after it.
	l.tb.Go(func() error {
		defer func() { <-c.streams }()
		if err := stream(c, data); err != nil {
			l.drop("stream", data)
		}
		return nil
	})
	return nil
}

// stream writes data to a new unidirectional stream and closes it.
func stream(c *connection, data []byte) error {
	ctx, cancel := context.WithTimeout(c.Context(), responseTimeout)
	defer cancel()
	s, err := c.OpenUniStreamSync(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if err := s.SetWriteDeadline(time.Now().Add(responseTimeout)); err != nil {
		return errors.Trace(err)
	}
	if _, err := s.Write(data); err != nil {
		s.CancelWrite(0)
		return errors.Trace(err)
	}
	return errors.Trace(s.Close())
}
