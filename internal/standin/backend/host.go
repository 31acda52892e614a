package backend

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/masticspar/masticspar/internal/geneve"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/standin/request"
	"github.com/masticspar/masticspar/internal/standin/tcp"
)

const (
	defaultSlots          = 2
	defaultMaxConnections = 2000
	lingerTime            = 5 * time.Second       // longer than the retries after a lost last ACK on a working path
	maxUDPResponse        = 1200                  // bytes of a UDP response; requests for more are ignored
	sweepPeriod           = 20 * time.Millisecond // much shorter than the first retransmission timeout
	chunkSize             = 64 << 10              // bytes of a response queued at once; bounds memory of slow transfers
)

// Host is one backend server. Services, ServiceTime, Random and Emit must be set before use. It is not safe for
// concurrent use.
type Host struct {
	// Name appears in each response.
	Name string
	// Services are the addresses and ports that the host listens on.
	Services []netip.AddrPort
	// Slots is the number of requests executed concurrently; zero selects 2.
	Slots int
	// MaxConnections limits the open connections; zero selects 2,000.
	MaxConnections int
	// MaxRetries is passed to the TCP endpoints; see tcp.Endpoint.
	MaxRetries int
	// ServiceTime is the mean time of a request at speed 1.
	ServiceTime time.Duration
	// Speed divides the service time; zero selects 1.
	Speed float64
	// Random draws service times and initial sequence numbers.
	Random *rand.Rand
	// Mode is the current behaviour; SetMode changes it.
	Mode Mode
	// Blocked holds the outer source addresses whose datagrams are dropped.
	Blocked map[netip.Addr]bool
	// Emit is called with each IP packet for a caller.
	Emit func(inner []byte, flow *packet.Key)
	// Executed is called with the token of each request when a slot starts it; nil disables it.
	Executed func(token string)
	// Statistics holds the counts since the start; Snapshot adds the current values.
	Statistics Statistics

	codec           geneve.Codec
	view            packet.Packet
	connections     map[packet.Key]*connection
	order           []*connection // in order of acceptance; map order would differ between runs with one seed
	openConnections int
	queue           []job
	running         []job // unordered; at most one per slot
	modeSince       time.Duration
	sweepDue        time.Duration
}

// Statistics holds the counters of a host and, in the result of Snapshot, its current queue and connections.
type Statistics struct {
	Requests        int           `json:"requests"`
	Completed       int           `json:"completed"`
	OpenConnections int           `json:"open-connections"`
	Accepted        int           `json:"accepted"`
	Refused         int           `json:"refused"`
	Unknown         int           `json:"unknown"` // segments of no existing connection, rejected with a reset
	Foreign         int           `json:"foreign"` // packets for an address that is not a service of the host
	Queued          int           `json:"queued"`
	Busy            time.Duration `json:"busy-ns"` // busy time, summed over the slots
}

type connection struct {
	key      packet.Key // of received packets
	endpoint *tcp.Endpoint
	input    []byte
	counted  bool // whether it counts towards the connection limit
	response request.Request
	bodySent int // bytes of the response body queued so far
	sending  bool
	feed     request.Request
	feedSent int
	feedDue  time.Duration
	expires  time.Duration
	removed  bool // whether it was removed from connections
}

type job struct {
	request    request.Request
	connection *connection
	key        packet.Key // of the response, for UDP
	started    time.Duration
	end        time.Duration
}

// HandleDatagram processes a datagram from the fabric.
func (h *Host) HandleDatagram(now time.Duration, source netip.AddrPort, datagram []byte) {
	if h.Mode.Kind == ModeDead || h.Blocked[source.Addr()] {
		return
	}
	inner, err := h.codec.Decode(datagram)
	if err != nil || h.codec.Direction != geneve.ToService || h.view.Parse(inner) != nil {
		return
	}
	p := &h.view
	if !h.listens(p.Key.DestinationAddr()) {
		h.Statistics.Foreign++
		h.reject(p)
		return
	}
	if p.Key.Protocol == packet.UDP {
		h.handleUDPRequest(now, p)
		return
	}
	c := h.connections[p.Key]
	if c != nil && c.endpoint.Done() && p.SYN && !p.ACK { // The caller reuses the key for a new connection.
		h.remove(p.Key, c)
		c = nil
	}
	if c == nil {
		if c = h.accept(now, p); c == nil {
			return
		}
	}
	c.endpoint.Handle(now, p)
	h.serve(now, p.Key, c)
}

func (h *Host) listens(destination netip.AddrPort) bool {
	for _, s := range h.Services {
		if s == destination {
			return true
		}
	}
	return false
}

func (h *Host) reject(p *packet.Packet) {
	if p.Key.Protocol != packet.TCP {
		return
	}
	if s, ok := tcp.Reject(p); ok {
		h.emit(s)
	}
}

func (h *Host) emit(s packet.Segment) {
	b, err := s.Bytes()
	if err != nil {
		panic(err) // cannot happen: only an invalid key fails, and keys come from parsed packets
	}
	h.Emit(b, &s.Key)
}

// accept returns a new connection for a SYN. It rejects any other packet, and a SYN over the limit, and returns nil.
func (h *Host) accept(now time.Duration, p *packet.Packet) *connection {
	if !p.SYN || p.ACK || p.RST {
		h.Statistics.Unknown++
		h.reject(p)
		return nil
	}
	limit := h.MaxConnections
	if limit == 0 {
		limit = defaultMaxConnections
	}
	if h.openConnections >= limit || h.Mode.Kind == ModeRefuse {
		h.Statistics.Refused++
		h.reject(p)
		return nil
	}
	reverse := p.Key.Reverse()
	c := &connection{key: p.Key, counted: true, endpoint: &tcp.Endpoint{
		Key: reverse, ISN: tcp.ISN(h.Random.Uint64(), &reverse, now), MaxRetries: h.MaxRetries, Emit: h.emit,
	}}
	if h.connections == nil {
		h.connections = map[packet.Key]*connection{}
	}
	h.connections[p.Key] = c
	h.order = append(h.order, c)
	h.openConnections++
	h.Statistics.Accepted++
	return c
}

// serve reads the request lines of a connection and continues its response. It is called after each change of the
// endpoint.
func (h *Host) serve(now time.Duration, key packet.Key, c *connection) {
	c.input = append(c.input, c.endpoint.Read()...)
	for {
		line, rest, ok := bytes.Cut(c.input, []byte("\n"))
		if !ok {
			break
		}
		r, err := request.Parse(string(line))
		c.input = append([]byte(nil), rest...)
		if err != nil || h.Mode.Kind == ModeAbort {
			c.endpoint.Abort()
			break
		}
		if h.Mode.Kind == ModeUnresponsive {
			continue
		}
		if r.Feed {
			h.recordStart(r)
			c.feed, c.feedSent, c.feedDue = r, 0, now
			continue
		}
		h.submit(now, job{request: r, connection: c})
	}
	if len(c.input) > request.MaxLine {
		c.endpoint.Abort()
	}
	h.sendBody(now, c)
	if c.endpoint.PeerClosed() && !c.sending && !h.hasRequests(c) {
		c.endpoint.Close(now)
	}
	if c.endpoint.Done() && c.counted {
		c.counted = false
		h.openConnections--
		c.expires = now + lingerTime
	}
	if c.endpoint.Done() && c.endpoint.Cause != tcp.CauseFinished {
		h.remove(key, c)
	}
}

// hasRequests reports whether requests of the connection are queued or running.
func (h *Host) hasRequests(c *connection) bool {
	for _, jobs := range [][]job{h.running, h.queue} {
		for i := range jobs {
			if jobs[i].connection == c {
				return true
			}
		}
	}
	return false
}

func (h *Host) remove(key packet.Key, c *connection) {
	if c.counted {
		c.counted = false
		h.openConnections--
	}
	c.removed = true
	delete(h.connections, key)
}

// sendBody queues the next chunk of a response once less than a chunk is unacknowledged.
func (h *Host) sendBody(now time.Duration, c *connection) {
	for c.sending && !c.endpoint.Done() && c.endpoint.Unacknowledged() < chunkSize {
		end := min(c.bodySent+chunkSize, c.response.Bytes)
		c.endpoint.Write(now, c.response.Body(c.bodySent, end))
		c.bodySent = end
		c.sending = end < c.response.Bytes
	}
}

func (h *Host) handleUDPRequest(now time.Duration, p *packet.Packet) {
	line, _, ok := bytes.Cut(p.Payload, []byte("\n"))
	r, err := request.Parse(string(line))
	if !ok || err != nil || r.Feed || r.Bytes > maxUDPResponse-request.MaxLine ||
		h.Mode.Kind == ModeUnresponsive || h.Mode.Kind == ModeAbort || h.Mode.Kind == ModeRefuse {
		return
	}
	h.submit(now, job{request: r, key: p.Key.Reverse()})
}

// Tick completes requests, continues feeds and retransmits.
func (h *Host) Tick(now time.Duration) {
	if h.Mode.Kind == ModeDead {
		return
	}
	h.advance(now)
	if now < h.sweepDue {
		return
	}
	h.sweepDue = now + sweepPeriod
	kept := h.order[:0]
	for _, c := range h.order {
		if c.removed {
			continue
		}
		if c.endpoint.Done() && !c.counted && now < c.expires { // A lingering connection only handles packets.
			kept = append(kept, c)
			continue
		}
		c.endpoint.Tick(now)
		for c.feedSent < c.feed.Count && now >= c.feedDue && c.endpoint.Established() && h.Mode.Kind != ModeUnresponsive {
			c.endpoint.Write(now, []byte(c.feed.Header(h.Name, c.feedSent)))
			c.feedSent++
			c.feedDue += c.feed.Interval
		}
		h.serve(now, c.key, c)
		if c.endpoint.Done() && now >= c.expires {
			h.remove(c.key, c)
		}
		if !c.removed {
			kept = append(kept, c)
		}
	}
	clear(h.order[len(kept):])
	h.order = kept
}

// Snapshot returns the statistics with the open connections, the queue and the busy time at now.
func (h *Host) Snapshot(now time.Duration) Statistics {
	s := h.Statistics
	s.OpenConnections = h.openConnections
	s.Queued = len(h.queue)
	for _, j := range h.running {
		s.Busy += max(0, min(now, j.end)-j.started)
	}
	return s
}
