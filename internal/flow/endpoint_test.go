package flow

import "github.com/masticspar/masticspar/internal/packet"

// window is the receive window of the simulated TCP endpoints in bytes.
const window = 1 << 20

// conn is one end of a connection. It implements the part of the event processing of RFC 9293, 3.10.7, that the table
// depends on.
type conn struct {
	gen                    byte // number of the connection, counted over all uses of the caller's port
	open                   bool // otherwise SYN-SENT or SYN-RECEIVED
	iss, irs               uint32
	sndUna, sndNxt, rcvNxt uint32
}

// segment returns a segment with the current numbers.
func (c *conn) segment() packet.Segment {
	return packet.Segment{Seq: c.sndNxt, Ack: c.rcvNxt, ACK: true}
}

// unacked returns a segment with all payload that was sent and not acknowledged; each byte names its connection.
func (c *conn) unacked() packet.Segment {
	s := c.segment()
	s.Seq = c.sndUna
	for range c.sndNxt - c.sndUna {
		s.Payload = append(s.Payload, c.gen)
	}
	return s
}

// acknowledge processes an ACK number and reports whether it is acceptable.
func (c *conn) acknowledge(ack uint32) bool {
	if after(ack, c.sndNxt) {
		return false
	}
	if after(ack, c.sndUna) {
		c.sndUna = ack
	}
	return true
}

// accept processes the payload of a segment and reports whether the segment is in the window.
func (c *conn) accept(p *packet.Packet) bool {
	end := p.Seq + uint32(len(p.Payload))
	switch {
	case !after(p.Seq, c.rcvNxt) && after(end, c.rcvNxt): // new payload, possibly after a retransmitted portion
		c.rcvNxt = end
		return true
	default:
		return p.Seq-c.rcvNxt < window
	}
}

// server is a simulated host that holds at most one connection.
type server struct {
	*conn
	id      uint32
	refuses bool // the host has no listener
}

// receive handles a segment and returns the replies.
func (h *server) receive(w *world, p *packet.Packet) []packet.Segment {
	c := h.conn
	if c == nil {
		return h.listen(w, p)
	}
	inWindow := p.Seq-c.rcvNxt < window || !after(p.Seq, c.rcvNxt) && after(p.Seq+uint32(len(p.Payload)), c.rcvNxt)
	switch {
	case p.SYN && !c.open && p.Seq+1 == c.rcvNxt:
		return []packet.Segment{h.synACK()}
	case !inWindow && p.RST:
		return nil
	case !inWindow, p.SYN:
		return []packet.Segment{c.segment()}
	case p.RST:
		if p.Seq != c.rcvNxt {
			return []packet.Segment{c.segment()}
		}
		h.conn = nil
		return nil
	case !c.open && p.Ack != c.iss+1:
		return []packet.Segment{{Seq: p.Ack, RST: true}}
	case !c.acknowledge(p.Ack):
		return []packet.Segment{c.segment()}
	}
	c.open = true
	before := c.rcvNxt
	c.accept(p)
	if p.FIN && p.Seq+uint32(len(p.Payload)) == c.rcvNxt {
		c.rcvNxt++
		s := c.segment()
		s.FIN = true
		h.conn = nil
		return []packet.Segment{s}
	}
	if c.rcvNxt != before {
		w.recordExecution(c.gen, h.id)
		return []packet.Segment{c.segment()}
	}
	return nil
}

func (h *server) listen(w *world, p *packet.Packet) []packet.Segment {
	switch {
	case p.RST:
		return nil
	case p.ACK:
		return []packet.Segment{{Seq: p.Ack, RST: true}}
	case h.refuses:
		return []packet.Segment{{Ack: p.End(), RST: true, ACK: true}}
	case w.accepts >= 100: // The spacing between initial sequence numbers holds for this many connections.
		return nil
	}
	w.accepts++
	iss := w.accepts * w.spacing
	h.conn = &conn{gen: w.connections[p.Seq], iss: iss, sndUna: iss, sndNxt: iss + 1, rcvNxt: p.Seq + 1}
	return []packet.Segment{h.synACK()}
}

func (h *server) synACK() packet.Segment {
	return packet.Segment{Seq: h.iss, Ack: h.rcvNxt, SYN: true, ACK: true}
}

// client is the simulated caller; conn is nil while its port is unused.
type client struct{ *conn }

func (c *client) receive(w *world, p *packet.Packet) []packet.Segment {
	switch {
	case c.conn == nil && p.RST:
		return nil
	case c.conn == nil:
		return []packet.Segment{{Seq: p.Ack, RST: true}}
	case !c.open:
		return c.handshake(w, p)
	case p.RST:
		if p.Seq == c.rcvNxt {
			w.checkReset(c.conn)
			c.conn = nil
		}
		return nil
	case p.SYN, !c.acknowledge(p.Ack), !c.accept(p):
		return []packet.Segment{c.segment()}
	case p.FIN && p.Seq+uint32(len(p.Payload)) == c.rcvNxt:
		c.rcvNxt++
		s := c.segment()
		s.FIN = true
		c.conn = nil
		return []packet.Segment{s}
	}
	for _, b := range p.Payload {
		if b != c.gen {
			w.Fatalf("connection %d received payload of connection %d, want only its own", c.gen, b)
		}
	}
	if len(p.Payload) > 0 {
		return []packet.Segment{c.segment()}
	}
	return nil
}

func (c *client) handshake(w *world, p *packet.Packet) []packet.Segment {
	switch {
	case p.ACK && p.Ack != c.iss+1 && p.RST:
	case p.ACK && p.Ack != c.iss+1:
		return []packet.Segment{{Seq: p.Ack, RST: true}}
	case p.RST && p.ACK:
		w.refused[c.gen] = true
		c.conn = nil
	case p.SYN && p.ACK:
		c.open, c.irs, c.rcvNxt = true, p.Seq, p.Seq+1
		return []packet.Segment{c.segment()}
	}
	return nil
}
