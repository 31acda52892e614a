package peer

import (
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// budget is the token bucket of all connections of a process. A message is charged when it is queued; all other bytes
// (handshakes, acknowledgements, retransmissions) are charged when they are sent.
type budget struct {
	rate, burst float64 // Bytes per second, and bytes.

	mu         sync.Mutex
	tokens     float64
	unsent     float64 // Bytes charged for messages that are not sent yet.
	refilledAt time.Duration
}

// charge charges n bytes for a message and returns true, or returns false if the message is to be dropped.
func (b *budget) charge(now time.Duration, kind Kind, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	remaining := b.tokens - float64(n)
	if kind == Hint && remaining < b.burst/2 || kind == Report && remaining < 0 {
		return false
	}
	b.tokens = max(remaining, -b.burst) // A large document must not block reports for minutes.
	b.unsent += float64(n)
	return true
}

// refund reverses the charge of n bytes for a message that was dropped before it was sent.
func (b *budget) refund(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = int(min(float64(n), b.unsent))
	b.unsent -= float64(n)
	b.tokens = min(b.burst, b.tokens+float64(n))
}

// chargeSent charges the bytes among n sent ones that were not charged as a message before.
func (b *budget) chargeSent(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	charged := min(float64(n), b.unsent)
	b.unsent -= charged
	b.tokens = max(b.tokens-(float64(n)-charged), -b.burst)
}

// socket is a UDP socket that counts the bytes written and charges them to a budget.
type socket struct {
	*net.UDPConn
	budget *budget
	bytes  metrics.Counter
}

// WriteMsgUDP counts the bytes and calls net.UDPConn.WriteMsgUDP.
func (s *socket) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (n, oobn int, err error) {
	s.count(len(b))
	return s.UDPConn.WriteMsgUDP(b, oob, addr)
}

// WriteTo counts the bytes and calls net.UDPConn.WriteTo.
func (s *socket) WriteTo(b []byte, addr net.Addr) (int, error) {
	s.count(len(b))
	return s.UDPConn.WriteTo(b, addr)
}

func (s *socket) count(n int) {
	s.bytes.Inc(int64(n))
	s.budget.chargeSent(n)
}
