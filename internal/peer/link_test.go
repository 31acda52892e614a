package peer

import (
	"bytes"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/standin/authority"
	"github.com/masticspar/masticspar/internal/timer"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// process is a link under test and the messages that it has received.
type process struct {
	*Link
	close    func()
	mu       sync.Mutex
	messages []Message
}

func (p *process) received() []Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.messages
}

func (p *process) count(name string) int64 { return p.Counters.Values()[name] }

func (p *process) peer() Peer { return Peer{Name: p.Name, Address: p.Address()} }

func certify(t *testing.T, dir string, names ...string) {
	t.Helper()
	a, err := authority.New()
	if err == nil {
		err = a.Write(dir, names...)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func start(t *testing.T, dir, name string, change func(c *Config)) *process {
	t.Helper()
	p := &process{}
	files := authority.PathsIn(dir, name)
	c := Config{
		Name: name, Listen: loopback, CAFile: files.CA, CertificateFile: files.Certificate, KeyFile: files.Key,
		Counters: counter.New(), BytesPerSecond: 1 << 20,
		Handle: func(m Message) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.messages = append(p.messages, m)
		},
	}
	if change != nil {
		change(&c)
	}
	var err error
	if p.Link, p.close, err = New(c); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	return p
}

// eventually waits for a condition, for up to a minute because the machine may be slow.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timeout while waiting for: %s", what)
		}
	}
}

// sendUntil repeats a message until the condition holds, as the protocols that use a link do.
func sendUntil(t *testing.T, from *process, to Peer, what string, ok func() bool) {
	t.Helper()
	var last time.Time
	eventually(t, what, func() bool {
		if time.Since(last) > 200*time.Millisecond {
			last = time.Now()
			from.Send(to, Message{Kind: Membership, Body: []byte("ping")})
		}
		return ok()
	})
}

// Guards against messages that are lost or changed in transit, as datagrams or on streams and in both directions.
func TestMessagesArriveUnchanged(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	certify(t, dir, "a", "b")
	a, b := start(t, dir, "a", nil), start(t, dir, "b", nil)
	for i, size := range []int{1, 1100, 1200, 20_000, 1 << 20} {
		body := bytes.Repeat([]byte{byte(size)}, size)
		a.Send(Peer{Address: b.Address()}, Message{Kind: Document, Body: body}) // A peer without a name.
		eventually(t, "message", func() bool { return len(b.received()) == i+1 })
		is.Equal(b.received()[i], Message{From: "a", Kind: Document, Body: body})
		b.Send(a.peer(), Message{Kind: Document, Body: body})
		eventually(t, "reply", func() bool { return len(a.received()) == i+1 })
		is.Equal(a.received()[i], Message{From: "b", Kind: Document, Body: body})
	}
	is.Equal(a.count("peer-dials"), int64(1))
	is.Equal(b.count("peer-dials"), int64(0)) // Replies use the connection that the peer opened.
	is.True(a.count("peer-bytes-sent") > 1<<20)
	a.Send(b.peer(), Message{Kind: Document, Body: make([]byte, MaxMessage)})
	is.Equal(a.count("peer-dropped-size"), int64(1))
}

// Guards against accepting a process whose certificate is from another CA.
func TestForeignAuthorityIsRefused(t *testing.T) {
	is := is.New(t)
	dir, foreign := t.TempDir(), t.TempDir()
	certify(t, dir, "a")
	certify(t, foreign, "c")
	a := start(t, dir, "a", nil)
	foreignMember := start(t, foreign, "c", func(c *Config) { c.CAFile = authority.PathsIn(dir, "").CA })
	sendUntil(t, foreignMember, a.peer(), "refusal by the server", func() bool {
		return a.count("peer-refused-certificate") >= 2 && foreignMember.count("peer-dials") >= 2
	})
	is.Equal(len(a.received()), 0)
	a.Send(foreignMember.peer(), Message{Kind: Membership})
	eventually(t, "refusal by the client", func() bool { return a.count("peer-retry-dial") > 0 })
	is.Equal(len(foreignMember.received()), 0)
}

// Guards against a member that sends or receives messages under the name of another one.
func TestWrongNameIsRefused(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	certify(t, dir, "a", "b", "c")
	a, c := start(t, dir, "a", nil), start(t, dir, "c", nil)
	c.Send(Peer{Name: "b", Address: a.Address()}, Message{Kind: Membership})
	eventually(t, "refusal by the client", func() bool { return c.count("peer-refused-name") > 0 })
	is.Equal(len(a.received()), 0)
	c.Name = "b" // Its certificate is still for c.
	sendUntil(t, c, a.peer(), "refusal by the server", func() bool { return a.count("peer-refused-name") > 0 })
	is.Equal(len(a.received()), 0)
}

// relay forwards UDP packets to one address and permanently drops those of blocked sources.
type relay struct {
	*net.UDPConn
	mu      sync.Mutex
	paths   map[netip.AddrPort]*net.UDPConn
	blocked map[netip.AddrPort]bool
}

func newRelay(t *testing.T, to netip.AddrPort) *relay {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{UDPConn: conn, paths: map[netip.AddrPort]*net.UDPConn{}, blocked: map[netip.AddrPort]bool{}}
	t.Cleanup(func() {
		_ = conn.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, p := range r.paths {
			_ = p.Close()
		}
	})
	go func() {
		buffer := make([]byte, 1<<16)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			if path := r.path(from, to); path != nil {
				_, _ = path.Write(buffer[:n])
			}
		}
	}()
	return r
}

// path returns the socket that forwards packets from a source, or nil if the source is blocked.
func (r *relay) path(from, to netip.AddrPort) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.blocked[from] {
		return nil
	}
	if p := r.paths[from]; p != nil {
		return p
	}
	p, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
	if err != nil {
		return nil
	}
	r.paths[from] = p
	go func() {
		buffer := make([]byte, 1<<16)
		for {
			n, err := p.Read(buffer)
			if err != nil {
				return
			}
			if r.path(from, to) != nil {
				_, _ = r.WriteToUDPAddrPort(buffer[:n], from)
			}
		}
	}()
	return p
}

func (r *relay) sources() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.paths)
}

// block drops the packets of all present sources from now on.
func (r *relay) block() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for source := range r.paths {
		r.blocked[source] = true
	}
}

// Guards against a link that keeps using a 5-tuple whose packets the path drops.
func TestUnresponsivePeerIsDialedFromNewPort(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	certify(t, dir, "a", "b")
	a, b := start(t, dir, "a", nil), start(t, dir, "b", nil)
	r := newRelay(t, b.Address())
	to := Peer{Name: "b", Address: r.LocalAddr().(*net.UDPAddr).AddrPort()}
	sendUntil(t, a, to, "first message", func() bool { return len(b.received()) > 0 })
	before := r.sources()
	r.block()
	seen := len(b.received())
	sendUntil(t, a, to, "message on a new path", func() bool { return len(b.received()) > seen+1 })
	is.True(r.sources() > before)
	is.True(a.count("peer-retry-silent") > 0)
}

// Guards against a link that does not recover from the restart of its peer.
func TestLinkRecoversFromPeerRestart(t *testing.T) {
	dir := t.TempDir()
	certify(t, dir, "a", "b")
	a, b := start(t, dir, "a", nil), start(t, dir, "b", nil)
	to := b.peer()
	sendUntil(t, a, to, "first message", func() bool { return len(b.received()) > 0 })
	b.close()
	b = start(t, dir, "b", func(c *Config) { c.Listen = to.Address })
	sendUntil(t, a, to, "message after the restart", func() bool { return len(b.received()) > 0 })
}

// Guards against connections that remain open to all members when there are many.
func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	certify(t, dir, "a", "b")
	a := start(t, dir, "a", func(c *Config) { c.IdleTimeout = 500 * time.Millisecond })
	b := start(t, dir, "b", nil)
	empty := func() bool {
		a.Link.mu.Lock()
		defer a.Link.mu.Unlock()
		return len(a.conns) == 0 && len(a.sessions) == 0
	}
	sendUntil(t, a, b.peer(), "message", func() bool { return len(b.received()) > 0 })
	eventually(t, "end of the connection", empty)
	is.Equal(a.count("peer-retry-silent"), int64(0))
	seen := len(b.received())
	sendUntil(t, a, b.peer(), "message on a new connection", func() bool { return len(b.received()) > seen })
}

// Guards against an unresponsive peer for which the process queues messages without limit or uses up its byte budget on
// dials.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	certify(t, dir, "a")
	a := start(t, dir, "a", func(c *Config) { c.QueueSize = 3 })
	unresponsive, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	is.NoErr(err)
	defer func() { _ = unresponsive.Close() }()
	to := Peer{Name: "b", Address: unresponsive.LocalAddr().(*net.UDPAddr).AddrPort()}
	for range 10 {
		a.Send(to, Message{Kind: Membership})
	}
	is.True(a.count("peer-dropped-queue-full") >= 6) // One message may have left the queue.
	eventually(t, "drop of old messages", func() bool { return a.count("peer-dropped-expired") > 0 })
	is.True(a.count("peer-retry-dial") > 0)
	is.True(a.count("peer-dials") <= 2)
	is.True(a.count("peer-bytes-sent") <= 2*6000)
}

// Guards against a key change that needs a restart or drops open connections, and against loading a file that is
// partially written.
func TestKeysAreRotated(t *testing.T) {
	is := is.New(t)
	dir, old := t.TempDir(), t.TempDir()
	certify(t, dir, "a", "b", "c")
	is.NoErr(os.CopyFS(filepath.Join(old, "copy"), os.DirFS(dir)))
	var clock timer.Service
	timed := func(c *Config) { c.Timer = &clock }
	a, b := start(t, dir, "a", timed), start(t, dir, "b", timed)
	late := start(t, filepath.Join(old, "copy"), "c", nil)
	sendUntil(t, a, b.peer(), "message", func() bool { return len(b.received()) > 0 })
	is.NoErr(os.WriteFile(authority.PathsIn(dir, "a").Key, []byte("half a key"), 0o600))
	clock.Advance(reloadPeriod)
	is.Equal(a.count("peer-refused-keys"), int64(1))
	certify(t, dir, "a", "b", "c")
	clock.Advance(reloadPeriod)
	is.Equal(a.count("peer-keys-loaded"), int64(2))
	seen := len(b.received())
	sendUntil(t, a, b.peer(), "message on the live connection", func() bool { return len(b.received()) > seen })
	is.Equal(a.count("peer-dials"), int64(1))
	sendUntil(t, late, a.peer(), "refusal of the old keys",
		func() bool { return late.count("peer-refused-certificate") > 0 })
	is.Equal(len(a.received()), 0)
	fresh := start(t, dir, "c", nil)
	sendUntil(t, fresh, a.peer(), "message with new keys", func() bool { return len(a.received()) > 0 })
}
