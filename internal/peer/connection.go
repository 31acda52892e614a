package peer

import (
	"io"
	"time"

	"github.com/quic-go/quic-go"
)

// connection is an open QUIC connection with a verified peer.
type connection struct {
	*quic.Conn
	name    string
	release func()        // Closes the socket of a dialed connection.
	streams chan struct{} // Holds one value for each open outgoing stream.

	// The fields below are guarded by the mutex of the link.

	sessions       []*session // Sessions that use the connection or used it before a newer one.
	sent, received uint64     // Packet counts at the last check that found a packet from the peer.
	lastResponse   time.Time  // Last check that found a packet from the peer, or too few sent ones to expect one.
}

// adopt serves a connection and uses it to send to its peer in place of an older one. A peer that dials has lost the
// older connection, or both sides dialed at the same time and either connection can be used.
func (l *Link) adopt(c *quic.Conn, release func()) *connection {
	n := &connection{
		Conn: c, name: certifiedName(c.ConnectionState().TLS), release: release, lastResponse: time.Now(),
		streams: make(chan struct{}, maxOutgoingStreams),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		// This ends the reading goroutines below immediately; otherwise closing the link would have to wait for them.
		_ = c.CloseWithError(0, "closed")
	}
	l.conns[n] = struct{}{}
	l.assign(l.session(Peer{Name: n.name}), n)
	l.tb.Go(func() error { return l.readDatagrams(n) })
	l.tb.Go(func() error { return l.readStreams(n) })
	return n
}

// adoptDialed adopts a connection to a dialed peer, for which only the address may have been given.
func (l *Link) adoptDialed(c *quic.Conn, to Peer, release func()) {
	n := l.adopt(c, release)
	if to.Name == n.name {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.assign(l.session(to), n)
}

// assign makes c the connection of s. The caller holds l.mu.
func (l *Link) assign(s *session, c *connection) {
	s.conn = c
	c.sessions = append(c.sessions, s)
	select {
	case s.adopted <- struct{}{}:
	default:
	}
}

// closeConnection closes a connection, detaches it from its sessions and releases its socket.
func (l *Link) closeConnection(c *connection, reason string) {
	_ = c.CloseWithError(0, reason)
	l.mu.Lock()
	_, open := l.conns[c]
	delete(l.conns, c)
	for _, s := range c.sessions {
		if s.conn == c {
			s.conn = nil
			l.removeIfUnused(s)
		}
	}
	l.mu.Unlock()
	if open {
		c.release()
	}
}

func (l *Link) closeAll() {
	l.mu.Lock()
	var open []*connection
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		l.closeConnection(c, "closed")
	}
}

// closeUnresponsive closes the connections on which packets are sent but none are received.
func (l *Link) closeUnresponsive() {
	now := time.Now()
	var unresponsive []*connection
	l.mu.Lock()
	for c := range l.conns {
		stats := c.ConnectionStats()
		// One or two packets may be acknowledgements only; a lost packet is followed by several probes within 2 s.
		if stats.PacketsReceived != c.received || stats.PacketsSent < c.sent+3 {
			c.lastResponse = now
			if stats.PacketsReceived != c.received {
				c.sent, c.received = stats.PacketsSent, stats.PacketsReceived
			}
		}
		if now.Sub(c.lastResponse) > responseTimeout {
			unresponsive = append(unresponsive, c)
		}
	}
	l.mu.Unlock()
	for _, c := range unresponsive {
		l.Counters.Add("peer-retry-silent", 1)
		l.closeConnection(c, "silent")
	}
}

func (l *Link) readDatagrams(c *connection) error {
	defer l.closeConnection(c, "closed")
	for {
		data, err := c.ReceiveDatagram(c.Context())
		if err != nil {
			return nil
		}
		l.receive(c, data)
	}
}

func (l *Link) readStreams(c *connection) error {
	for {
		s, err := c.AcceptUniStream(c.Context())
		if err != nil {
			return nil
		}
		l.tb.Go(func() error {
			_ = s.SetReadDeadline(time.Now().Add(responseTimeout))
			data, err := io.ReadAll(io.LimitReader(s, MaxMessage+1))
			switch {
			case err != nil:
				l.Counters.Add("peer-refused-stream", 1)
			case len(data) > MaxMessage:
				s.CancelRead(0)
				l.Counters.Add("peer-refused-size", 1)
			default:
				l.receive(c, data)
			}
			return nil
		})
	}
}

// receive calls Handle for a message whose sender is the one in the certificate; it closes the connection for another
// sender.
func (l *Link) receive(c *connection, data []byte) {
	m, err := Decode(data)
	switch {
	case err != nil:
		l.Counters.Add("peer-refused-message", 1)
	case m.From != c.name:
		l.Counters.Add("peer-refused-name", 1)
		l.closeConnection(c, "wrong name")
	default:
		l.Counters.Add("peer-messages-received", 1)
		l.resetBackoff(c)
		if l.Handle != nil {
			l.Handle(m)
		}
	}
}

// resetBackoff resets the dial backoff of a peer after a received message. A completed handshake is not sufficient,
// because a server refuses the certificate of its client only after the client's handshake has completed.
func (l *Link) resetBackoff(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range c.sessions {
		s.backoff = 0
	}
}
