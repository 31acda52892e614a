package admission

import (
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
)

// Refusals of Admit; their text is the reason in the name of the refusal counter.
const (
	ReasonTableFull   = "table-full"
	ReasonUnfairShare = "unfair-share"
)

const (
	// DefaultProbeRate is the number of search packets per second.
	DefaultProbeRate = 2000
	// fairAbove is the use of the flow table from which services are held to their equal share.
	fairAbove = 0.9
	// retryShare is the number of retries for each new flow.
	retryShare = 0.1
	// retryFloor is the number of retries per second that need no new flows. Without it, callers of a small or freshly
	// started entry VM cannot leave a silent host, because trial flows use up the few tokens that flows earn.
	retryFloor = 5
	// retryBurst lets a service recover when one host dies, and bounds the burst after a quiet time.
	retryBurst = 100
	// probeBurst is the part of a second whose probes may go out at once.
	probeBurst = 0.1
	// overloadPause is how long retries stop after a flow was refused for overload.
	overloadPause = time.Second
)

// Gate decides about new flows, retries and probes. The zero value has an unbounded flow table and the default budgets.
type Gate struct {
	// Flows is the size of the flow table; zero is unbounded.
	Flows int
	// ProbeRate is the number of search packets per second; zero selects DefaultProbeRate.
	ProbeRate int

	open       int
	services   map[uint32]int // open flows
	retries    float64        // tokens
	refilled   time.Duration  // time of the last refill of retries by the floor
	retrying   int            // granted retries that have not opened their flow yet
	overloaded time.Duration  // until when retries stop
	probes     float64        // tokens
	probed     time.Duration  // time of the last refill
	started    bool
}

// Admit returns why a new flow of the service is refused, or an empty string. The flow counts from its Opened event.
func (g *Gate) Admit(service uint32) string {
	if g.Flows <= 0 {
		return ""
	}
	if g.open >= g.Flows {
		return ReasonTableFull
	}
	if float64(g.open) <= fairAbove*float64(g.Flows) {
		return ""
	}
	active := len(g.services)
	if g.services[service] == 0 {
		active++
	}
	if g.services[service] >= g.Flows/active {
		return ReasonUnfairShare
	}
	return ""
}

// Observe counts open flows. A flow that was opened without a granted retry earns a part of a retry.
func (g *Gate) Observe(e flowevent.Event) {
	switch e.Kind {
	case flowevent.Opened:
		if g.services == nil {
			g.services = map[uint32]int{}
		}
		g.open++
		g.services[e.Service]++
		if g.retrying > 0 {
			g.retrying--
			return
		}
		g.retries = min(retryBurst, g.retries+retryShare)
	case flowevent.Closed:
		if g.services[e.Service] == 0 {
			return
		}
		g.open--
		g.services[e.Service]--
		if g.services[e.Service] == 0 {
			delete(g.services, e.Service) // Only services with open flows share the table.
		}
	}
}

// Overloaded tells that a flow was refused for overload; retries stop for a second.
func (g *Gate) Overloaded(now time.Duration) {
	g.overloaded = now + overloadPause
}

// AllowRetry takes a token for sending the SYN of a flow to another host.
func (g *Gate) AllowRetry(now time.Duration) bool {
	if now > g.refilled {
		g.retries = min(retryBurst, g.retries+retryFloor*(now-g.refilled).Seconds())
		g.refilled = now
	}
	if now < g.overloaded || g.retries < 1 {
		return false
	}
	g.retries--
	g.retrying++
	return true
}

// AllowProbe takes a token for one search packet.
func (g *Gate) AllowProbe(now time.Duration) bool {
	rate := float64(g.ProbeRate)
	if rate <= 0 {
		rate = DefaultProbeRate
	}
	burst := max(1, rate*probeBurst)
	if !g.started {
		g.started, g.probes, g.probed = true, burst, now
	}
	if now > g.probed {
		g.probes = min(burst, g.probes+rate*(now-g.probed).Seconds())
		g.probed = now
	}
	if g.probes < 1 {
		return false
	}
	g.probes--
	return true
}
