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
	// fairShareThreshold is the use of the flow table from which services are held to their equal share.
	fairShareThreshold = 0.9
	// retriesPerFlow is the number of retries for each new flow.
	retriesPerFlow = 0.1
	// minRetryRate is the number of retries per second that need no new flows. Without it, callers of a small or freshly
	// started entry VM cannot leave a silent host, because trial flows use up the few tokens that flows earn.
	minRetryRate = 5
	// retryBurst lets a service recover when one host dies, and bounds the burst after a quiet time.
	retryBurst = 100
	// probeBurstSeconds is the part of a second whose probes may go out at once.
	probeBurstSeconds = 0.1
	// overloadBackoff is how long retries stop after a flow was refused for overload.
	overloadBackoff = time.Second
)

// Gate decides about new flows, retries and probes. The zero value has an unbounded flow table and the default budgets.
type Gate struct {
	// MaxFlows is the size of the flow table; zero is unbounded.
	MaxFlows int
	// ProbeRate is the number of search packets per second; zero selects DefaultProbeRate.
	ProbeRate int

	openFlows         int
	flowsByService    map[uint32]int // open flows
	retryTokens       float64        // tokens
	retriesRefilledAt time.Duration  // time of the last refill of retries by the floor
	pendingRetries    int            // granted retries that have not opened their flow yet
	overloadedUntil   time.Duration  // until when retries stop
	probeTokens       float64        // tokens
	probesRefilledAt  time.Duration  // time of the last refill
	probesStarted     bool
}

// Admit returns why a new flow of the service is refused, or an empty string. The flow counts from its Opened event.
func (g *Gate) Admit(service uint32) string {
	if g.MaxFlows <= 0 {
		return ""
	}
	if g.openFlows >= g.MaxFlows {
		return ReasonTableFull
	}
	if float64(g.openFlows) <= fairShareThreshold*float64(g.MaxFlows) {
		return ""
	}
	active := len(g.flowsByService)
	if g.flowsByService[service] == 0 {
		active++
	}
	if g.flowsByService[service] >= g.MaxFlows/active {
		return ReasonUnfairShare
	}
	return ""
}

// Observe counts open flows. A flow that was opened without a granted retry earns a part of a retry.
func (g *Gate) Observe(e flowevent.Event) {
	switch e.Kind {
	case flowevent.Opened:
		if g.flowsByService == nil {
			g.flowsByService = map[uint32]int{}
		}
		g.openFlows++
		g.flowsByService[e.Service]++
		if g.pendingRetries > 0 {
			g.pendingRetries--
			return
		}
		g.retryTokens = min(retryBurst, g.retryTokens+retriesPerFlow)
	case flowevent.Closed:
		if g.flowsByService[e.Service] == 0 {
			return
		}
		g.openFlows--
		g.flowsByService[e.Service]--
		if g.flowsByService[e.Service] == 0 {
			delete(g.flowsByService, e.Service) // Only services with open flows share the table.
		}
	}
}

// RecordOverload tells that a flow was refused for overload; retries stop for a second.
func (g *Gate) RecordOverload(now time.Duration) {
	g.overloadedUntil = now + overloadBackoff
}

// AllowRetry takes a token for sending the SYN of a flow to another host.
func (g *Gate) AllowRetry(now time.Duration) bool {
	if now > g.retriesRefilledAt {
		g.retryTokens = min(retryBurst, g.retryTokens+minRetryRate*(now-g.retriesRefilledAt).Seconds())
		g.retriesRefilledAt = now
	}
	if now < g.overloadedUntil || g.retryTokens < 1 {
		return false
	}
	g.retryTokens--
	g.pendingRetries++
	return true
}

// AllowProbe takes a token for one search packet.
func (g *Gate) AllowProbe(now time.Duration) bool {
	rate := float64(g.ProbeRate)
	if rate <= 0 {
		rate = DefaultProbeRate
	}
	burst := max(1, rate*probeBurstSeconds)
	if !g.probesStarted {
		g.probesStarted, g.probeTokens, g.probesRefilledAt = true, burst, now
	}
	if now > g.probesRefilledAt {
		g.probeTokens = min(burst, g.probeTokens+rate*(now-g.probesRefilledAt).Seconds())
		g.probesRefilledAt = now
	}
	if g.probeTokens < 1 {
		return false
	}
	g.probeTokens--
	return true
}
