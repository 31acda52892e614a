package admission

import (
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
)

// Reasons that Admit returns. They are part of the name of the refusal counter.
const (
	ReasonTableFull   = "table-full"
	ReasonUnfairShare = "unfair-share"
)

const (
	// DefaultProbeRate is the number of probes per second.
	DefaultProbeRate = 2000
	// fairShareThreshold is the share of the flow table that must be in use before services are limited to equal shares.
	fairShareThreshold = 0.9
	// retriesPerFlow is the number of retries that each new flow adds to the budget.
	retriesPerFlow = 0.1
	// minRetryRate is the number of retries per second that are available without new flows. Otherwise callers of a small
	// or newly started entry VM could not move from an unresponsive host, because trial flows use up the few tokens that
	// new flows add.
	minRetryRate = 5
	// retryBurst is the maximum number of retry tokens. It lets a service recover when one host fails, and limits the
	// burst after an idle time.
	retryBurst = 100
	// probeBurstSeconds limits a burst of probes to the number that the probe rate gives in this time.
	probeBurstSeconds = 0.1
	// overloadBackoff is the time without retries after a flow was refused for overload.
	overloadBackoff = time.Second
)

// Gate admits or refuses new flows, retries and probes. The zero value has an unbounded flow table and the default
// budgets. It is not safe for concurrent use.
type Gate struct {
	// MaxFlows is the maximum number of open flows, which is the capacity of the flow table; zero is unbounded.
	MaxFlows int
	// ProbeRate is the number of probes per second; zero selects DefaultProbeRate.
	ProbeRate int

	openFlows         int
	flowsByService    map[uint32]int // number of open flows by service ID; services without open flows are absent
	retryTokens       float64
	retriesRefilledAt time.Duration // time of the last refill at minRetryRate
	pendingRetries    int           // granted retries whose flow is not open yet
	overloadedUntil   time.Duration // no retries are granted before this time
	probeTokens       float64
	probesRefilledAt  time.Duration
	probesStarted     bool // probeTokens has its initial value
}

// Admit returns the reason why a new flow of the service is refused, or an empty string. A flow is counted when its
// Opened event is observed.
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

// Observe counts open flows. A flow that was opened without a granted retry adds a tenth of a retry to the budget.
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
			delete(g.flowsByService, e.Service) // Only services with open flows count for the equal share.
		}
	}
}

// RecordOverload records that a flow was refused for overload and stops retries for a second.
func (g *Gate) RecordOverload(now time.Duration) {
	g.overloadedUntil = now + overloadBackoff
}

// AllowRetry takes a token for sending the SYN of a flow to another host. It reports false when there is no token or
// retries are stopped for overload.
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

// AllowProbe takes a token for one probe and reports whether there was one.
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
