package caller

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/standin/request"
	"github.com/masticspar/masticspar/internal/standin/tcp"
)

const (
	defaultTimeout   = 60 * time.Second // longer than the search for the host of a flow plus the retries of the endpoint
	lingerTime       = 5 * time.Second  // time to acknowledge retransmitted FINs of the server
	udpRetryInterval = time.Second
	sweepPeriod      = 20 * time.Millisecond // much shorter than the first retransmission timeout
	firstPort        = 1024                  // first source port of each address
	portCount        = 60000                 // source ports of each address before they are reused
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	maxFailures      = 20 // broken flows described in the report
)

// Plan describes the flows that a Caller opens.
type Plan struct {
	// Services are the destinations; each flow uses a random one.
	Services []netip.AddrPort
	// Source4 and Source6 are the first inner addresses of flows to services of the same family.
	Source4, Source6 netip.Addr
	// Addresses is the number of inner addresses of each family; zero selects 1.
	Addresses int
	// Rate is the mean number of new flows per second; the intervals are exponentially distributed. Zero opens none.
	Rate float64
	// Total is the number of flows to open; zero is no limit.
	Total int
	// FeedShare and UDPShare are the shares of flows, between 0 and 1, that are feeds and UDP exchanges.
	FeedShare, UDPShare float64
	// Bytes is the size of each response; responses over UDP are limited to 500.
	Bytes int
	// FeedCount is the number of lines of a feed and FeedInterval the time between them.
	FeedCount    int
	FeedInterval time.Duration
	// Exchanges is the number of sequential requests on each flow that is not a feed; zero selects 1. ExchangeInterval
	// is the time from a response to the next request.
	Exchanges        int
	ExchangeInterval time.Duration
	// Timeout is the time without progress after which a flow is broken; zero selects 60 s.
	Timeout time.Duration
	// MaxRetries is passed to the TCP endpoints; see tcp.Endpoint.
	MaxRetries int
	// Token is the prefix of the request tokens. It must be unique among the processes that share backend servers.
	Token string
}

// Caller opens and checks flows. Plan, Random and Emit must be set before use. It is not safe for concurrent use.
type Caller struct {
	Plan Plan
	// Random draws intervals, destinations and sequence numbers.
	Random *rand.Rand
	// Emit is called with each IP packet for the fabric.
	Emit func(inner []byte)
	// Ended is called with the outcome of each flow, its key in the direction of sent packets, and the name of the host
	// that responded, empty if none did. Nil disables it.
	Ended func(key packet.Key, outcome, host string)

	view          packet.Packet
	flows         map[packet.Key]*flow // by the key of received packets
	order         []*flow              // in order of opening; map order would differ between runs with one seed
	nextNumber    int
	nextOpen      time.Duration
	started       bool
	sweepDue      time.Duration
	pending       int // flows without an outcome
	counts        counts
	firstResponse *hdrhistogram.Histogram
}

type flow struct {
	key          packet.Key // of sent packets
	endpoint     *tcp.Endpoint
	request      request.Request
	opened       time.Duration
	lastProgress time.Duration
	resendAt     time.Duration // of a UDP request
	exchanges    int           // completed requests
	nextRequest  time.Duration // time of the next request, while idle
	idle         bool          // whether it is between a response and the next request
	input        []byte
	host         string // of the request in progress
	firstHost    string // host of the first response; later responses must come from it
	received     int    // body bytes of a GET or lines of a FEED
	responded    bool   // whether payload was received
	outcome      string
	expires      time.Duration
}

// Tick opens the flows that are due, retransmits, and ends flows that made no progress within the timeout.
func (c *Caller) Tick(now time.Duration) {
	if !c.started {
		c.started = true
		c.nextOpen = now
	}
	for c.Plan.Rate > 0 && c.nextOpen <= now && (c.Plan.Total == 0 || c.nextNumber < c.Plan.Total) {
		c.open(now)
		c.nextOpen += time.Duration(c.Random.ExpFloat64() / c.Plan.Rate * float64(time.Second))
	}
	if now < c.sweepDue {
		return
	}
	c.sweepDue = now + sweepPeriod
	timeout := c.Plan.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	kept := c.order[:0]
	for _, f := range c.order {
		if f.outcome != "" {
			if now >= f.expires || f.endpoint == nil || f.endpoint.Done() && f.endpoint.Cause != tcp.CauseFinished {
				c.remove(f)
				continue
			}
			kept = append(kept, f)
			f.endpoint.Tick(now)
			continue
		}
		kept = append(kept, f)
		if f.idle && now >= f.nextRequest {
			c.sendRequest(now, f)
		}
		if f.endpoint != nil {
			f.endpoint.Tick(now)
			c.checkConnection(now, f)
		} else if !f.idle && now >= f.resendAt {
			f.resendAt = now + udpRetryInterval
			c.emit(packet.Segment{Key: f.key, Payload: []byte(f.request.Line())})
		}
		if f.outcome == "" && now-f.lastProgress >= timeout {
			cause := "timeout"
			if f.endpoint != nil && !f.endpoint.Established() {
				cause = "connect-timeout"
			}
			if f.endpoint != nil {
				f.endpoint.Abort()
			}
			c.recordBroken(now, f, cause)
		}
	}
	clear(c.order[len(kept):])
	c.order = kept
}

// remove removes the flow, unless a newer one uses its address and port.
func (c *Caller) remove(f *flow) {
	if key := f.key.Reverse(); c.flows[key] == f {
		delete(c.flows, key)
	}
}

// Done reports whether all flows of the plan have an outcome.
func (c *Caller) Done() bool {
	return c.Plan.Total > 0 && c.nextNumber >= c.Plan.Total && c.pending == 0
}

func (c *Caller) open(now time.Duration) {
	n := c.nextNumber
	c.nextNumber++
	service := c.Plan.Services[c.Random.IntN(len(c.Plan.Services))]
	first := c.Plan.Source4
	if service.Addr().Is6() {
		first = c.Plan.Source6
	}
	addresses := max(c.Plan.Addresses, 1)
	source := netip.AddrPortFrom(addressAt(first, n%addresses), uint16(firstPort+n/addresses%portCount))
	f := &flow{
		opened: now, lastProgress: now,
		request: request.Request{Token: fmt.Sprintf("%s-%d", c.Plan.Token, n), Bytes: c.Plan.Bytes},
	}
	if c.flows == nil {
		c.flows = map[packet.Key]*flow{}
	}
	c.order = append(c.order, f)
	c.pending++
	c.counts.opened++
	switch kind := c.Random.Float64(); {
	case kind < c.Plan.UDPShare:
		f.key = packet.NewKey(packet.UDP, source, service)
		f.request.Bytes = min(f.request.Bytes, 500)
		f.request.Token += "-udp" // marks requests that can be executed again after a lost response
		f.resendAt = now
		c.flows[f.key.Reverse()] = f
		return
	case kind < c.Plan.UDPShare+c.Plan.FeedShare:
		f.request.Feed, f.request.Count, f.request.Interval = true, c.Plan.FeedCount, c.Plan.FeedInterval
		f.request.Bytes = 0
	}
	f.key = packet.NewKey(packet.TCP, source, service)
	f.endpoint = &tcp.Endpoint{Key: f.key, ISN: tcp.ISN(c.Random.Uint64(), &f.key, now), Emit: c.emit}
	f.endpoint.MaxRetries = c.Plan.MaxRetries
	c.flows[f.key.Reverse()] = f
	f.endpoint.Write(now, []byte(f.request.Line()))
	f.endpoint.Connect(now)
}

// addressAt returns the address that is n after a.
func addressAt(a netip.Addr, n int) netip.Addr {
	b := a.AsSlice()
	for i := len(b) - 1; i >= 0 && n > 0; i-- {
		n += int(b[i])
		b[i] = byte(n)
		n >>= 8
	}
	sum, _ := netip.AddrFromSlice(b)
	return sum
}

func (c *Caller) emit(s packet.Segment) {
	b, err := s.Bytes()
	if err != nil {
		panic(err) // cannot happen: only mixed address families fail, and open prevents them
	}
	c.Emit(b)
}

// HandlePacket processes an IP packet that the fabric delivered.
func (c *Caller) HandlePacket(now time.Duration, inner []byte) {
	p := &c.view
	if p.Parse(inner) != nil {
		c.counts.malformed++
		return
	}
	f := c.flows[p.Key]
	if f == nil {
		if s, ok := tcp.Reject(p); ok && p.Key.Protocol == packet.TCP {
			c.counts.unknown++
			c.emit(s)
		}
		return
	}
	if f.endpoint == nil {
		c.handleDatagram(now, f, p.Payload)
		return
	}
	established := f.endpoint.Established()
	f.endpoint.Handle(now, p)
	if established != f.endpoint.Established() {
		f.lastProgress = now
	}
	if f.outcome == "" {
		c.checkConnection(now, f)
	} else {
		f.endpoint.Read()
	}
}

func (c *Caller) handleDatagram(now time.Duration, f *flow, payload []byte) {
	if f.outcome != "" || f.idle || f.isEarlierResponse(payload) {
		return
	}
	c.recordProgress(now, f)
	f.input = append(f.input[:0], payload...)
	f.received, f.host = 0, ""
	if !f.checkInput() || f.host == "" || f.received != f.request.Bytes {
		c.recordBroken(now, f, "wrong-bytes")
		return
	}
	c.complete(now, f)
}

// isEarlierResponse reports whether payload is the response to an earlier request of the flow. A retransmitted request
// can cause one.
func (f *flow) isEarlierResponse(payload []byte) bool {
	responseToken, _, _ := strings.Cut(string(payload), " ")
	flowToken, _, _ := strings.Cut(f.request.Token, "/")
	responseFlow, _, _ := strings.Cut(responseToken, "/")
	return responseToken != f.request.Token && responseFlow == flowToken
}

// complete ends the current exchange and, after the last one, the flow.
func (c *Caller) complete(now time.Duration, f *flow) {
	if f.firstHost == "" {
		f.firstHost = f.host
	}
	f.exchanges++
	switch {
	case f.host != f.firstHost:
		c.recordBroken(now, f, "moved")
	case f.request.Feed || f.exchanges >= c.Plan.Exchanges:
		c.recordWhole(now, f)
	default:
		f.idle = true
		f.nextRequest = now + c.Plan.ExchangeInterval
		f.lastProgress = f.nextRequest
		return
	}
	if f.endpoint != nil {
		f.endpoint.Close(now)
	}
}

// sendRequest starts the next exchange of a flow. A UDP request is sent by the next Tick.
func (c *Caller) sendRequest(now time.Duration, f *flow) {
	f.idle, f.host, f.received, f.input = false, "", 0, nil
	token, _, _ := strings.Cut(f.request.Token, "/")
	f.request.Token = fmt.Sprintf("%s/%d", token, f.exchanges)
	f.lastProgress = now
	f.resendAt = now
	if f.endpoint != nil {
		f.endpoint.Write(now, []byte(f.request.Line()))
	}
}

// checkConnection checks the bytes that the endpoint received and determines the outcome of the flow once it has one.
func (c *Caller) checkConnection(now time.Duration, f *flow) {
	if b := f.endpoint.Read(); len(b) > 0 {
		c.recordProgress(now, f)
		f.input = append(f.input, b...)
		if !f.checkInput() {
			f.endpoint.Abort()
			c.recordBroken(now, f, "wrong-bytes")
			return
		}
	}
	expected := f.request.Bytes
	if f.request.Feed {
		expected = f.request.Count
	}
	switch {
	case !f.idle && f.host != "" && f.received == expected:
		c.complete(now, f)
	case f.endpoint.Done() && f.endpoint.Cause == tcp.CauseRefused:
		c.recordRefused(now, f)
	case f.endpoint.Done():
		cause := string(f.endpoint.Cause)
		if f.endpoint.Cause == tcp.CauseReset {
			cause = "reset-after-payload"
		}
		c.recordBroken(now, f, cause)
	case f.endpoint.PeerClosed():
		f.endpoint.Abort()
		c.recordBroken(now, f, "early-close")
	}
}

// checkInput checks the received bytes in f.input and reports whether they are correct so far.
func (f *flow) checkInput() bool {
	for f.host == "" || f.request.Feed {
		n := 0
		for n < len(f.input) && f.input[n] != '\n' {
			n++
		}
		if n == len(f.input) {
			return n <= request.MaxLine
		}
		host, ok := f.request.Host(string(f.input[:n]), f.received)
		if !ok || f.host != "" && host != f.host {
			return false
		}
		f.host = host
		f.input = f.input[n+1:]
		if f.request.Feed {
			f.received++
			if f.received > f.request.Count {
				return false
			}
		}
	}
	if f.received+len(f.input) > f.request.Bytes {
		return false
	}
	if string(f.input) != string(f.request.Body(f.received, f.received+len(f.input))) {
		return false
	}
	f.received += len(f.input)
	f.input = f.input[:0]
	return true
}
