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
	defaultTimeout = 60 * time.Second // longer than a search of an entry VM plus the retries of the endpoint
	lingerTime     = 5 * time.Second  // time to answer repeated FINs of the server
	datagramRetry  = time.Second
	sweepPeriod    = 20 * time.Millisecond // much shorter than the first retransmission timeout
	firstPort      = 1024
	portCount      = 60000
	latencyLimit   = int64(10 * time.Minute / time.Microsecond)
	keptFailures   = 20 // broken flows described in the report
)

// Plan says which flows a Caller opens.
type Plan struct {
	// Services are the destinations, chosen at random.
	Services []netip.AddrPort
	// Source4 and Source6 are the first inner addresses, used for services of the same family.
	Source4, Source6 netip.Addr
	// Addresses is the number of inner addresses of each family.
	Addresses int
	// Rate is the mean number of new flows per second, with random intervals.
	Rate float64
	// Total ends the opening of flows; zero never does.
	Total int
	// FeedShare and UDPShare are the shares of flows that are feeds and UDP exchanges.
	FeedShare, UDPShare float64
	// Bytes is the size of each response; that of UDP is at most 500.
	Bytes int
	// FeedCount and FeedInterval describe the feeds.
	FeedCount    int
	FeedInterval time.Duration
	// Exchanges is the number of requests, one after the other, on each flow that is not a feed; zero selects 1.
	// ExchangeInterval is the time from an answer to the next request.
	Exchanges        int
	ExchangeInterval time.Duration
	// Timeout is the time without any progress after which a flow is broken; zero selects 60 s.
	Timeout time.Duration
	// MaxRetries is that of the TCP endpoints.
	MaxRetries int
	// Token is the prefix of the request tokens; processes that share backend servers need different ones.
	Token string
}

// Caller opens and checks flows; Plan, Random and Emit must be set before use. It is not safe for concurrent use.
type Caller struct {
	Plan Plan
	// Random draws intervals, destinations and sequence numbers.
	Random *rand.Rand
	// Emit sends an IP packet to the fabric.
	Emit func(inner []byte)
	// Ended is told the outcome of each flow, with its key in the sent direction and the host that answered, if any; nil
	// is not called.
	Ended func(key packet.Key, outcome, host string)

	view     packet.Packet
	flows    map[packet.Key]*flow // by the key of received packets
	order    []*flow              // as opened, because the order of a map would differ between runs of one seed
	number   int
	next     time.Duration
	started  bool
	sweepDue time.Duration
	pending  int // flows without an outcome
	counts   counts
	latency  *hdrhistogram.Histogram
}

type flow struct {
	key      packet.Key // of sent packets
	endpoint *tcp.Endpoint
	request  request.Request
	opened   time.Duration
	progress time.Duration
	resend   time.Duration // of a UDP request
	exchange int           // requests answered
	next     time.Duration // when to send the next request, while idle
	idle     bool          // between an answer and the next request
	line     []byte
	host     string // of the request in progress
	server   string // host of the first answer; a flow has to stay there
	got      int    // body bytes of a GET or lines of a FEED
	first    bool
	outcome  string
	expires  time.Duration
}

// Tick opens the flows that are due, retransmits, and ends flows that wait for too long.
func (c *Caller) Tick(now time.Duration) {
	if !c.started {
		c.started = true
		c.next = now
	}
	for c.Plan.Rate > 0 && c.next <= now && (c.Plan.Total == 0 || c.number < c.Plan.Total) {
		c.open(now)
		c.next += time.Duration(c.Random.ExpFloat64() / c.Plan.Rate * float64(time.Second))
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
				c.forget(f)
				continue
			}
			kept = append(kept, f)
			f.endpoint.Tick(now)
			continue
		}
		kept = append(kept, f)
		if f.idle && now >= f.next {
			c.ask(now, f)
		}
		if f.endpoint != nil {
			f.endpoint.Tick(now)
			c.check(now, f)
		} else if !f.idle && now >= f.resend {
			f.resend = now + datagramRetry
			c.emit(packet.Segment{Key: f.key, Payload: []byte(f.request.Line())})
		}
		if f.outcome == "" && now-f.progress >= timeout {
			cause := "timeout"
			if f.endpoint != nil && !f.endpoint.Established() {
				cause = "connect-timeout"
			}
			if f.endpoint != nil {
				f.endpoint.Abort()
			}
			c.end(now, f, cause)
		}
	}
	clear(c.order[len(kept):])
	c.order = kept
}

// forget removes the flow unless a newer one uses its port.
func (c *Caller) forget(f *flow) {
	if key := f.key.Reverse(); c.flows[key] == f {
		delete(c.flows, key)
	}
}

// Done reports whether all flows of the plan have an outcome.
func (c *Caller) Done() bool {
	return c.Plan.Total > 0 && c.number >= c.Plan.Total && c.pending == 0
}

func (c *Caller) open(now time.Duration) {
	n := c.number
	c.number++
	service := c.Plan.Services[c.Random.IntN(len(c.Plan.Services))]
	first := c.Plan.Source4
	if service.Addr().Is6() {
		first = c.Plan.Source6
	}
	addresses := max(c.Plan.Addresses, 1)
	source := netip.AddrPortFrom(plus(first, n%addresses), uint16(firstPort+n/addresses%portCount))
	f := &flow{
		opened: now, progress: now,
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
		f.request.Token += "-udp" // these requests can run again after a lost response
		f.resend = now
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

// plus returns the address that is n after a.
func plus(a netip.Addr, n int) netip.Addr {
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
		panic(err) // only a mixed address family fails, and open prevents it
	}
	c.Emit(b)
}

// Packet processes an IP packet that the fabric delivered.
func (c *Caller) Packet(now time.Duration, inner []byte) {
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
		c.datagram(now, f, p.Payload)
		return
	}
	established := f.endpoint.Established()
	f.endpoint.Handle(now, p)
	if established != f.endpoint.Established() {
		f.progress = now
	}
	if f.outcome == "" {
		c.check(now, f)
	} else {
		f.endpoint.Read()
	}
}

func (c *Caller) datagram(now time.Duration, f *flow, payload []byte) {
	if f.outcome != "" || f.idle || f.repeated(payload) {
		return
	}
	c.answered(now, f)
	f.line = append(f.line[:0], payload...)
	f.got, f.host = 0, ""
	if !f.consume() || f.host == "" || f.got != f.request.Bytes {
		c.end(now, f, "wrong-bytes")
		return
	}
	c.complete(now, f)
}

// repeated reports whether payload answers an earlier request of the flow, which a resent request can cause.
func (f *flow) repeated(payload []byte) bool {
	answered, _, _ := strings.Cut(string(payload), " ")
	flowToken, _, _ := strings.Cut(f.request.Token, "/")
	answeredFlow, _, _ := strings.Cut(answered, "/")
	return answered != f.request.Token && answeredFlow == flowToken
}

// complete ends the exchange in progress and, after the last one, the flow.
func (c *Caller) complete(now time.Duration, f *flow) {
	if f.server == "" {
		f.server = f.host
	}
	f.exchange++
	switch {
	case f.host != f.server:
		c.end(now, f, "moved")
	case f.request.Feed || f.exchange >= c.Plan.Exchanges:
		c.whole(now, f)
	default:
		f.idle = true
		f.next = now + c.Plan.ExchangeInterval
		f.progress = f.next
		return
	}
	if f.endpoint != nil {
		f.endpoint.Close(now)
	}
}

// ask sends the next request of a flow.
func (c *Caller) ask(now time.Duration, f *flow) {
	f.idle, f.host, f.got, f.line = false, "", 0, nil
	token, _, _ := strings.Cut(f.request.Token, "/")
	f.request.Token = fmt.Sprintf("%s/%d", token, f.exchange)
	f.progress = now
	f.resend = now
	if f.endpoint != nil {
		f.endpoint.Write(now, []byte(f.request.Line()))
	}
}

// check reads what the endpoint received and decides about the outcome.
func (c *Caller) check(now time.Duration, f *flow) {
	if b := f.endpoint.Read(); len(b) > 0 {
		c.answered(now, f)
		f.line = append(f.line, b...)
		if !f.consume() {
			f.endpoint.Abort()
			c.end(now, f, "wrong-bytes")
			return
		}
	}
	expected := f.request.Bytes
	if f.request.Feed {
		expected = f.request.Count
	}
	switch {
	case !f.idle && f.host != "" && f.got == expected:
		c.complete(now, f)
	case f.endpoint.Done() && f.endpoint.Cause == tcp.CauseRefused:
		c.refused(now, f)
	case f.endpoint.Done():
		cause := string(f.endpoint.Cause)
		if f.endpoint.Cause == tcp.CauseReset {
			cause = "reset-after-payload"
		}
		c.end(now, f, cause)
	case f.endpoint.PeerClosed():
		f.endpoint.Abort()
		c.end(now, f, "early-close")
	}
}

// consume checks the received bytes in f.line and reports whether they are right so far.
func (f *flow) consume() bool {
	for f.host == "" || f.request.Feed {
		n := 0
		for n < len(f.line) && f.line[n] != '\n' {
			n++
		}
		if n == len(f.line) {
			return n <= request.MaxLine
		}
		host, ok := f.request.Host(string(f.line[:n]), f.got)
		if !ok || f.host != "" && host != f.host {
			return false
		}
		f.host = host
		f.line = f.line[n+1:]
		if f.request.Feed {
			f.got++
			if f.got > f.request.Count {
				return false
			}
		}
	}
	if f.got+len(f.line) > f.request.Bytes {
		return false
	}
	if string(f.line) != string(f.request.Body(f.got, f.got+len(f.line))) {
		return false
	}
	f.got += len(f.line)
	f.line = f.line[:0]
	return true
}
