package caller

import (
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/geneve"
	"github.com/masticspar/masticspar/internal/standin/datagram"
	"github.com/masticspar/masticspar/internal/timer"
)

const tickPeriod = 5 * time.Millisecond

// Client runs a Caller over a socket. Its exported fields must be set before Start.
type Client struct {
	// Caller opens and checks the flows; Start sets its Emit.
	Caller Caller
	// Address is the local fabric address.
	Address netip.AddrPort
	// Fabric is the address that packets are sent to.
	Fabric netip.AddrPort
	// Timer provides the time and the ticks.
	Timer *timer.Service

	mu    sync.Mutex
	conn  *datagram.Conn
	codec geneve.Codec
}

// Start opens the socket and starts the ticks. The returned function stops them.
func (c *Client) Start() (func(), error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []byte
	c.Caller.Emit = func(inner []byte) {
		out = geneve.Append(out[:0], inner, geneve.ToService, 0, netip.Addr{})
		c.conn.Send(c.Fabric, out)
	}
	conn, stop, err := datagram.New(c.Address, func(_ netip.AddrPort, b []byte) {
		c.mu.Lock()
		defer c.mu.Unlock()
		inner, err := c.codec.Decode(b)
		if err == nil && c.codec.Direction == geneve.ToCaller {
			c.Caller.HandlePacket(c.Timer.Now(), inner)
		}
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.conn = conn
	unsubscribe := c.Timer.Subscribe(tickPeriod, func(now time.Duration) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.Caller.Tick(now)
	})
	return func() {
		unsubscribe()
		stop()
	}, nil
}

// Done reports whether all flows of the plan have an outcome.
func (c *Client) Done() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Caller.Done()
}

// Report returns the current counts.
func (c *Client) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Caller.Report()
}

// StopOpening stops the opening of flows. Open flows continue.
func (c *Client) StopOpening() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Caller.Plan.Total = max(c.Caller.nextNumber, 1)
}
