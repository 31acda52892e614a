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
	release func()        // Closes what belongs to the connection alone.
	streams chan struct{} // Holds one value for each outgoing stream.

	// Guarded by the mutex of the link.
	sessions       []*session // That use the connection, or did before a later one.
	sent, received uint64
	lastResponse   time.Time // Last time at which nothing sent was without an answer.
}

// adopt serves a connection and makes it the one on which its peer is sent to. The latest one wins: a peer that
// dials has lost the former one, or both sides dialled at once, and then either will do.
func (l *Link) adopt(c *quic.Conn, release func()) *connection {
	n := &connection{
		Conn: c, name: certifiedName(c.ConnectionState().TLS), release: release, lastResponse: time.Now(),
		streams: make(chan struct{}, maxOutgoingStreams),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		// The reading goroutines below end at once; otherwise they would keep the clean-up waiting.
		_ = c.CloseWithError(0, "closed")
	}
	l.conns[n] = struct{}{}
	l.assign(l.session(Peer{Name: n.name}), n)
	l.tb.Go(func() error { return l.readDatagrams(n) })
	l.tb.Go(func() error { return l.readStreams(n) })
	return n
}

// adoptDialled does the same for a peer that was dialled, perhaps by its address alone.
func (l *Link) adoptDialled(c *quic.Conn, to Peer, release func()) {
	n := l.adopt(c, release)
	if to.Name == n.name {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.assign(l.session(to), n)
}

// assign makes c the connection of s; l.mu is held.
func (l *Link) assign(s *session, c *connection) {
	s.conn = c
	c.sessions = append(c.sessions, s)
	select {
	case s.adopted <- struct{}{}:
	default:
	}
}

// closeConnection closes a connection and what belongs to it.
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

// closeUnresponsive closes connections that are sent to but not heard from.
func (l *Link) closeUnresponsive() {
	now := time.Now()
	var unresponsive []*connection
	l.mu.Lock()
	for c := range l.conns {
		stats := c.ConnectionStats()
		// One or two packets may be mere acknowledgements; a lost one is followed by several probes within 2 s.
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

// receive hands a message on if its sender is the one that the certificate names.
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

// resetBackoff ends the backoff of a peer. A completed handshake is not enough for that: a server that refuses the
// certificate of its client says so only afterwards.
func (l *Link) resetBackoff(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range c.sessions {
		s.backoff = 0
	}
}
