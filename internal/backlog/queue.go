package backlog

import "time"

const (
	// DefaultCapacity bounds the packets that wait, which take up to 1.3 kB each.
	DefaultCapacity = 512
	// DefaultMaxWait is how long a packet waits. Callers have sent it again by then.
	DefaultMaxWait = 500 * time.Millisecond
)

// Packet is a packet that waits.
type Packet struct {
	// Arrived is when it reached this entry VM.
	Arrived time.Duration
	// Bytes is the packet as it came.
	Bytes []byte
	// Reason says what it waits for.
	Reason string
}

// Queue keeps packets in the order of their arrival; the zero value is ready for use.
type Queue struct {
	// Capacity bounds the packets; zero selects DefaultCapacity.
	Capacity int
	// MaxWait is how long a packet waits; zero selects DefaultMaxWait.
	MaxWait time.Duration

	packets []Packet
}

// Add keeps a copy of a packet unless it has waited too long or the queue is full, and reports whether it did.
func (q *Queue) Add(now time.Duration, p Packet) bool {
	capacity := q.Capacity
	if capacity == 0 {
		capacity = DefaultCapacity
	}
	if len(q.packets) >= capacity || q.expired(now, &p) {
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

// Expire removes and returns the packets that have waited too long.
func (q *Queue) Expire(now time.Duration) []Packet {
	n := 0
	for n < len(q.packets) && q.expired(now, &q.packets[n]) {
		n++
	}
	expired := q.packets[:n:n]
	q.packets = q.packets[n:]
	if len(q.packets) == 0 {
		q.packets = nil
	}
	return expired
}

func (q *Queue) expired(now time.Duration, p *Packet) bool {
	patience := q.MaxWait
	if patience == 0 {
		patience = DefaultMaxWait
	}
	return now-p.Arrived >= patience
}
