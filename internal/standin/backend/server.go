package backend

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/geneve"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/standin/datagram"
	"github.com/masticspar/masticspar/internal/timer"
)

const tickPeriod = 5 * time.Millisecond // bounds the delay of a response; the capacity does not depend on it

// Server runs hosts on consecutive addresses. Its exported fields must be set before Start.
type Server struct {
	// Name is the prefix of the host names; a dash and the index of the host follow.
	Name string
	// Address is the fabric address of the first host. The others use the following addresses and the same port; port 0
	// gives each host a free port.
	Address netip.AddrPort
	// Count is the number of hosts.
	Count int
	// Fabric is the address that packets to callers are sent to.
	Fabric netip.AddrPort
	// Services, Slots, MaxConnections and ServiceTime are copied to each Host.
	Services       []netip.AddrPort
	Slots          int
	MaxConnections int
	ServiceTime    time.Duration
	// Speeds are assigned to the hosts in turn; an empty list selects 1 for all.
	Speeds []float64
	// Seed determines service times and sequence numbers.
	Seed uint64
	// Timer provides the time and the ticks.
	Timer *timer.Service

	hosts []*managedHost

	mu     sync.Mutex
	tokens map[string]int
}

// managedHost is a host with its socket and the lock that serialises packets, ticks and control requests.
type managedHost struct {
	mu             sync.Mutex
	host           Host
	address        netip.AddrPort
	conn           *datagram.Conn
	healthOverride *Health
}

// Start opens the sockets and starts the ticks. The returned function stops them.
func (s *Server) Start() (func(), error) {
	var cleanups []func()
	cleanup := func() {
		for _, f := range cleanups {
			f()
		}
	}
	s.tokens = map[string]int{}
	address := s.Address.Addr()
	for i := range s.Count {
		m, stop, err := s.openHost(i, netip.AddrPortFrom(address, s.Address.Port()))
		if err != nil {
			cleanup()
			return nil, errors.Trace(err)
		}
		cleanups = append(cleanups, stop)
		s.hosts = append(s.hosts, m)
		address = address.Next()
	}
	cleanups = append([]func(){s.Timer.Subscribe(tickPeriod, func(now time.Duration) {
		for _, m := range s.hosts {
			m.mu.Lock()
			m.host.Tick(now)
			m.mu.Unlock()
		}
	})}, cleanups...)
	return cleanup, nil
}

func (s *Server) openHost(i int, address netip.AddrPort) (*managedHost, func(), error) {
	m := &managedHost{host: Host{
		Name: fmt.Sprintf("%s-%d", s.Name, i), Services: s.Services, Slots: s.Slots,
		MaxConnections: s.MaxConnections, ServiceTime: s.ServiceTime,
		Random:   rand.New(rand.NewPCG(s.Seed, uint64(i))),
		Executed: s.recordExecution,
	}}
	if len(s.Speeds) > 0 {
		m.host.Speed = s.Speeds[i%len(s.Speeds)]
	}
	var out []byte
	m.host.Emit = func(inner []byte, _ *packet.Key) {
		out = geneve.Append(out[:0], inner, geneve.ToCaller, 0, netip.Addr{})
		m.conn.Send(s.Fabric, out)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	conn, stop, err := datagram.New(address, func(source netip.AddrPort, b []byte) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.host.HandleDatagram(s.Timer.Now(), source, b)
	})
	if err != nil {
		return nil, nil, err
	}
	m.conn, m.address = conn, conn.Addr()
	return m, stop, nil
}

func (s *Server) recordExecution(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens[token]++
}

// Tokens returns the number of executions on all hosts by request token. If repeated is set, it returns only requests
// executed more than once.
func (s *Server) Tokens(repeated bool) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	tokens := map[string]int{}
	for token, n := range s.tokens {
		if !repeated || n > 1 {
			tokens[token] = n
		}
	}
	return tokens
}

// HostReport describes one host on the control interface.
type HostReport struct {
	Address  netip.AddrPort `json:"address"`
	Capacity float64        `json:"capacity"` // requests per second that the host can execute
	Mode     Mode           `json:"mode"`
	Statistics
}

// Hosts returns the reports of all hosts by name.
func (s *Server) Hosts() map[string]HostReport {
	reports := map[string]HostReport{}
	for _, m := range s.hosts {
		m.mu.Lock()
		now := s.Timer.Now()
		reports[m.host.Name] = HostReport{
			Address: m.address, Capacity: m.host.Capacity(now), Mode: m.host.Mode, Statistics: m.host.Snapshot(now),
		}
		m.mu.Unlock()
	}
	return reports
}

// SetMode changes the mode of the named host, or of all hosts if the name is empty. It reports whether a host matched.
func (s *Server) SetMode(name string, mode Mode) bool {
	return s.forEach(name, func(m *managedHost) { m.host.SetMode(s.Timer.Now(), mode) })
}

// SetBlocked replaces the outer source addresses whose datagrams are dropped by the named host, or by all hosts if the
// name is empty. It reports whether a host matched.
func (s *Server) SetBlocked(name string, sources []netip.Addr) bool {
	blocked := map[netip.Addr]bool{}
	for _, a := range sources {
		blocked[a] = true
	}
	return s.forEach(name, func(m *managedHost) { m.host.Blocked = blocked })
}

// forEach calls f with the named host, or with all hosts if the name is empty, and reports whether a host matched.
func (s *Server) forEach(name string, f func(*managedHost)) bool {
	found := false
	for _, m := range s.hosts {
		if name == "" || name == m.host.Name {
			m.mu.Lock()
			f(m)
			m.mu.Unlock()
			found = true
		}
	}
	return found
}
