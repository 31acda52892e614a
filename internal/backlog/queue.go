package backlog

import "time"

const (
	// DefaultCapacity is the default maximum number of held packets, which take up to 1.3 kB each.
	DefaultCapacity = 512
	// DefaultMaxWait is the default time for which a packet is held. Callers have retransmitted it by then.
	DefaultMaxWait = 500 * time.Millisecond
)

// Packet is a held packet.
type Packet struct {
	// Arrived is the time at which the packet reached this entry VM.
	Arrived time.Duration
	// Bytes is the packet as received.
	Bytes []byte
	// Reason is why the packet is held.
	Reason string
}

// Queue holds packets in the order of their arrival. The zero value is ready for use.
type Queue struct {
	// Capacity is the maximum number of held packets; 0 selects DefaultCapacity.
	Capacity int
	// MaxWait is the time for which a packet is held after its arrival; 0 selects DefaultMaxWait.
	MaxWait time.Duration

	packets []Packet
}

// Add adds a copy of a packet, unless MaxWait has passed since its arrival or the queue is full. It reports whether the
// packet was added.
func (q *Queue) Add(now time.Duration, p Packet) bool {
	capacity := q.Capacity
	if capacity == 0 {
		capacity = DefaultCapacity
	}
	if len(q.packets) >= capacity || q.overdue(now, &p) {
		return false
	}
	p.Bytes = append([]byte(nil), p.Bytes...)
	q.packets = append(q.packets, p)
	return true
}

// Take removes and returns all packets.
func (q *Queue) Take() []Packet {
	all := q.packets
	q.packets = nil
	return all
}

// Expire removes and returns the packets that have been held for MaxWait.
func (q *Queue) Expire(now time.Duration) []Packet {
	n := 0
	for n < len(q.packets) && q.overdue(now, &q.packets[n]) {
		n++
	}
	expired := q.packets[:n:n]
	q.packets = q.packets[n:]
	if len(q.packets) == 0 {
		q.packets = nil
	}
	return expired
}

func (q *Queue) overdue(now time.Duration, p *Packet) bool {
	maxWait := q.MaxWait
	if maxWait == 0 {
		maxWait = DefaultMaxWait
	}
	return now-p.Arrived >= maxWait
}
