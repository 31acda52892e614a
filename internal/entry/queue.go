package entry

import (
	"net/netip"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/packet"
)

// queueSize is the number of packets whose pins are prefetched together; the sockets deliver as many at once.
const queueSize = 64

// queuedPacket is a packet of a flow that this entry VM owns, before the decision. It keeps the fields of packet.Packet without
// the decoders, which make a Packet 1,248 bytes long: 64 of them would not fit the first-level cache.
type queuedPacket struct {
	service              *fleet.Service
	host                 *fleet.Host // sender of a return packet, nil for a packet of a caller
	address              netip.Addr  // of the host
	hash                 uint64      // of the flow's key in the caller's direction
	bytes, payload       []byte
	seq, ack             uint32
	syn, isACK, fin, rst bool
}

// save takes over what was parsed, but for the key.
func (w *queuedPacket) save(p *packet.Packet) {
	w.bytes, w.payload, w.seq, w.ack = p.Bytes, p.Payload, p.Seq, p.Ack
	w.syn, w.isACK, w.fin, w.rst = p.SYN, p.ACK, p.FIN, p.RST
}

// load is the reverse of save; key is in the caller's direction.
func (w *queuedPacket) load(p *packet.Packet, key *packet.Key) {
	p.Bytes, p.Payload, p.Seq, p.Ack = w.bytes, w.payload, w.seq, w.ack
	p.SYN, p.ACK, p.FIN, p.RST = w.syn, w.isACK, w.fin, w.rst
	p.Key = *key
	if w.host != nil {
		p.Key = key.Reverse()
	}
}

// queue holds packets until Decide; the zero value is empty.
type queue struct {
	packets [queueSize]queuedPacket
	keys    [queueSize]packet.Key // in the caller's direction, in one piece for the prefetch
	length  int
}

// next returns the record for the next packet, which keep adds.
func (q *queue) next() *queuedPacket { return &q.packets[q.length] }

func (q *queue) key() *packet.Key { return &q.keys[q.length] }

func (q *queue) add() { q.length++ }

func (q *queue) full() bool { return q.length == queueSize }

func (q *queue) at(i int) *queuedPacket { return &q.packets[i] }

// take empties the queue and returns the keys; the packets stay valid until the next call of next.
func (q *queue) take() []packet.Key {
	n := q.length
	q.length = 0
	return q.keys[:n]
}
