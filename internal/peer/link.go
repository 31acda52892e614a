package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"gopkg.in/tomb.v2"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/timer"
)

const (
	responseTimeout = 2 * time.Second // For dials, handshakes, stream transfers and unresponsive connections.
	// An unanswered dial sends 6,000 bytes in 1 s, which exceeds the budget of a second. maxMessageAge and minBackoff
	// permit two dials before a message expires, but not a third.
	maxMessageAge         = 3 * time.Second
	minBackoff            = 500 * time.Millisecond
	maxBackoff            = 5 * time.Second
	checkPeriod           = 250 * time.Millisecond // Between two checks for unresponsive connections.
	reloadPeriod          = 5 * time.Second        // Between two checks of the key files.
	defaultIdleTimeout    = 5 * time.Minute        // A member pings each of 500 others about every 4 minutes.
	defaultBytesPerSecond = 4 << 10
	burstSeconds          = 5
	defaultQueueSize      = 64
	maxIncomingStreams    = 8 // Limits the memory for messages that one peer is sending.
	maxOutgoingStreams    = 4 // For each connection; a message that needs another stream is dropped.
)

// Config is the configuration of a Link that New creates. Zero values select defaults where a field documents one.
type Config struct {
	// Name is the member name of this process; its certificate must be for this name.
	Name string
	// Listen is the control address, on which peers connect; connections are dialed from its IP address.
	Listen netip.AddrPort
	// CAFile, CertificateFile and KeyFile are paths of PEM files; changes of the files are loaded while the link runs.
	CAFile, CertificateFile, KeyFile string
	// Handle is called for each received message, from several goroutines at a time; nil discards messages.
	Handle func(m Message)
	// Timer schedules a check of the files every 5 s; if it is nil, they are loaded by New and Reload only.
	Timer *timer.Service
	// BytesPerSecond is the byte budget of all connections; zero selects 4 KiB/s.
	BytesPerSecond int
	// BurstBytes is the capacity of the budget; zero selects the bytes of 5 s.
	BurstBytes int
	// QueueSize is the maximum number of queued messages for one peer; zero selects 64.
	QueueSize int
	// IdleTimeout is the time after which an unused connection is closed; zero selects 5 minutes.
	IdleTimeout time.Duration
	// Counters counts drops, refusals, retries and bytes; nil discards them.
	Counters *counter.Set
}

// Peer identifies the receiver of a message. The name may be empty for an address from the settings or the platform.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Link sends and receives messages over the connections of a process to other members. Use New to create one.
type Link struct {
	Config

	tb       tomb.Tomb
	start    time.Time
	budget   *budget
	keys     atomic.Pointer[keys]
	socket   *net.UDPConn
	listener *quic.Listener

	mu       sync.Mutex
	closed   bool
	sessions map[string]*session
	conns    map[*connection]struct{}
}

// New returns a link that listens on the control address, and a function that closes it.
func New(c Config) (*Link, func(), error) {
	if c.BytesPerSecond == 0 {
		c.BytesPerSecond = defaultBytesPerSecond
	}
	if c.BurstBytes == 0 {
		c.BurstBytes = burstSeconds * c.BytesPerSecond
	}
	if c.QueueSize == 0 {
		c.QueueSize = defaultQueueSize
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	l := &Link{
		Config: c, start: time.Now(), sessions: map[string]*session{}, conns: map[*connection]struct{}{},
		budget: &budget{rate: float64(c.BytesPerSecond), burst: float64(c.BurstBytes), tokens: float64(c.BurstBytes)},
	}
	if err := l.Reload(); err != nil {
		return nil, nil, errors.Trace(err)
	}
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Listen))
	if err != nil {
		return nil, nil, errors.Annotatef(err, "control-address %s", c.Listen)
	}
	l.socket = udp
	transport := l.newTransport(udp)
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return l.tlsConfig(l.keys.Load(), "", x509.ExtKeyUsageClientAuth), nil
	}
	if l.listener, err = transport.Listen(base, l.quicConfig()); err != nil {
		_ = udp.Close()
		return nil, nil, errors.Trace(err)
	}
	cancel := func() {}
	if c.Timer != nil {
		cancel = c.Timer.Subscribe(reloadPeriod, func(time.Duration) { _ = l.Reload() })
	}
	l.tb.Go(func() error {
		for {
			c, err := l.listener.Accept(l.tb.Context(context.Background()))
			if err != nil {
				return nil
			}
			l.adopt(c, func() {})
		}
	})
	l.tb.Go(func() error {
		ticker := time.NewTicker(checkPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				l.closeUnresponsive()
			case <-l.tb.Dying():
				return nil
			}
		}
	})
	return l, func() {
		cancel()
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
		l.tb.Kill(nil)
		l.closeAll()
		_ = l.listener.Close()
		_ = l.tb.Wait()
		l.closeAll() // A dial may have completed in the meantime.
		_ = transport.Close()
		_ = udp.Close()
	}, nil
}

// Address returns the address at which the link listens.
func (l *Link) Address() netip.AddrPort { return l.socket.LocalAddr().(*net.UDPAddr).AddrPort() }

// Reload loads changed key files; new connections use them, open ones are kept. On an error the current keys are kept.
func (l *Link) Reload() error {
	k, err := loadKeys(l.Config, l.keys.Load())
	if err != nil {
		l.Counters.Add("peer-refused-keys", 1)
		return errors.Trace(err)
	}
	if l.keys.Swap(k) != k {
		l.Counters.Add("peer-keys-loaded", 1)
	}
	return nil
}

// Send queues a message and sets its From. Dropped messages are counted by reason.
func (l *Link) Send(to Peer, m Message) {
	m.From = l.Name
	data, err := Encode(m)
	if err != nil {
		l.Counters.Add("peer-dropped-size", 1)
		return
	}
	if !l.budget.charge(time.Since(l.start), m.Kind, len(data)) {
		if m.Kind == Hint {
			l.Counters.Add("peer-dropped-budget-hint", 1)
		} else {
			l.Counters.Add("peer-dropped-budget-report", 1)
		}
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		l.drop("closed", data)
		return
	}
	s := l.session(to)
	if to.Address.IsValid() {
		s.to = to
	}
	// A peer without an address can be sent to only on the connection that it opened itself.
	if s.conn == nil && !s.to.Address.IsValid() {
		l.removeIfUnused(s)
		l.drop("no-address", data)
		return
	}
	select {
	case s.queue <- queuedMessage{data: data, queuedAt: time.Now()}:
	default:
		l.drop("queue-full", data)
		return
	}
	if !s.running {
		s.running = true
		l.tb.Go(func() error { return l.run(s) })
	}
}

// session returns the session of a peer and creates it if there is none. The caller holds l.mu.
func (l *Link) session(to Peer) *session {
	key := to.Name
	if key == "" {
		key = "@" + to.Address.String() // Differs from all member names, which are DNS names.
	}
	s := l.sessions[key]
	if s == nil {
		s = &session{key: key, to: to, queue: make(chan queuedMessage, l.QueueSize), adopted: make(chan struct{}, 1)}
		l.sessions[key] = s
	}
	return s
}

func (l *Link) drop(reason string, data []byte) {
	l.Counters.Add("peer-dropped-"+reason, 1)
	l.budget.refund(len(data))
}

func (l *Link) newTransport(udp *net.UDPConn) *quic.Transport {
	return &quic.Transport{Conn: &socket{UDPConn: udp, budget: l.budget, bytes: l.Counters.Counter("peer-bytes-sent")}}
}

func (l *Link) quicConfig() *quic.Config {
	return &quic.Config{
		// quic-go aborts a dial after this time without any response, and a handshake after twice this time.
		HandshakeIdleTimeout:    responseTimeout / 2,
		MaxIdleTimeout:          l.IdleTimeout,
		MaxIncomingStreams:      -1,
		MaxIncomingUniStreams:   maxIncomingStreams,
		EnableDatagrams:         true,
		InitialPacketSize:       1200,
		DisablePathMTUDiscovery: true, // Its probes would be a large share of the bytes of a short connection.
	}
}
