package peer

import (
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// budget is the token bucket of all links of a process. A message is charged when it is queued; bytes that leave
// the sockets beyond that (handshakes, acknowledgements, retransmissions) are charged when they are sent.
type budget struct {
	rate, burst float64

	mu         sync.Mutex
	tokens     float64
	unsent     float64 // Bytes charged for messages that have not left yet.
	refilledAt time.Duration
}

// charge charges n bytes for a message, or reports that the message is to be dropped.
func (b *budget) charge(now time.Duration, kind Kind, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	remaining := b.tokens - float64(n)
	if kind == Hint && remaining < b.burst/2 || kind == Report && remaining < 0 {
		return false
	}
	b.tokens = max(remaining, -b.burst) // A document must not silence reports for minutes.
	b.unsent += float64(n)
	return true
}

// refund takes back the charge for a message that was dropped before it was sent.
func (b *budget) refund(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = int(min(float64(n), b.unsent))
	b.unsent -= float64(n)
	b.tokens = min(b.burst, b.tokens+float64(n))
}

// chargeSent charges what left a socket and was not charged before.
func (b *budget) chargeSent(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	charged := min(float64(n), b.unsent)
	b.unsent -= charged
	b.tokens = max(b.tokens-(float64(n)-charged), -b.burst)
}

// socket counts and charges what is written to a UDP socket.
type socket struct {
	*net.UDPConn
	budget *budget
	bytes  metrics.Counter
}

// WriteMsgUDP writes as net.UDPConn does.
func (s *socket) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (n, oobn int, err error) {
	s.count(len(b))
	return s.UDPConn.WriteMsgUDP(b, oob, addr)
}

// WriteTo writes as net.UDPConn does.
func (s *socket) WriteTo(b []byte, addr net.Addr) (int, error) {
	s.count(len(b))
	return s.UDPConn.WriteTo(b, addr)
}

func (s *socket) count(n int) {
	s.bytes.Inc(int64(n))
	s.budget.chargeSent(n)
}
