package entry

import (
	"net/netip"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/packet"
)

// queueSize is the number of packets whose pins are prefetched together. The sockets deliver the same number at once.
const queueSize = 64

// queuedPacket is a packet of a flow that this entry VM owns, before it is handled. It holds the fields of
// packet.Packet without the decoders, which make a Packet 1,248 bytes long: 64 of them would not fit into the
// first-level cache.
type queuedPacket struct {
	service              *fleet.Service
	host                 *fleet.Host // sender of a return packet, nil for a packet of a caller
	address              netip.Addr  // address of the host
	hash                 uint64      // hash of the flow's key in the caller's direction
	bytes, payload       []byte
	seq, ack             uint32
	syn, isACK, fin, rst bool
}

// save copies the parsed fields of p except the key.
func (qp *queuedPacket) save(p *packet.Packet) {
	qp.bytes, qp.payload, qp.seq, qp.ack = p.Bytes, p.Payload, p.Seq, p.Ack
	qp.syn, qp.isACK, qp.fin, qp.rst = p.SYN, p.ACK, p.FIN, p.RST
}

// load restores the fields that save copied to p; key is in the caller's direction.
func (qp *queuedPacket) load(p *packet.Packet, key *packet.Key) {
	p.Bytes, p.Payload, p.Seq, p.Ack = qp.bytes, qp.payload, qp.seq, qp.ack
	p.SYN, p.ACK, p.FIN, p.RST = qp.syn, qp.isACK, qp.fin, qp.rst
	p.Key = *key
	if qp.host != nil {
		p.Key = key.Reverse()
	}
}

// queue holds packets until HandleQueued; the zero value is empty.
type queue struct {
	packets [queueSize]queuedPacket
	keys    [queueSize]packet.Key // in the caller's direction, contiguous for the prefetch
	length  int
}

// next returns the slot for the next packet, which add appends.
func (q *queue) next() *queuedPacket { return &q.packets[q.length] }

// key returns the key of the slot that next returns.
func (q *queue) key() *packet.Key { return &q.keys[q.length] }

func (q *queue) add() { q.length++ }

func (q *queue) full() bool { return q.length == queueSize }

func (q *queue) at(i int) *queuedPacket { return &q.packets[i] }

// take empties the queue and returns the keys. The packets stay valid until the next call of next.
func (q *queue) take() []packet.Key {
	n := q.length
	q.length = 0
	return q.keys[:n]
}
