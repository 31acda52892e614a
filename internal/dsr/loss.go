package dsr

import (
	"time"

	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/registry"
)

const (
	// removedTimeout is how long a server must have been removed and silent before its flows are lost. The removal alone is
	// no proof, because the entry of a live server whose reports are late is removed as well.
	removedTimeout = 400 * time.Millisecond
	// silentTimeout is how long a request must be unanswered before its flow is lost although its server is listed. A
	// full queue of a server takes less time.
	silentTimeout = time.Second
	// silentTargets is the same time as a multiple of the target latency; the longer one of both applies.
	silentTargets = 3
	// minRepeats is the number of retransmissions that a lost flow must have, each of which could have been answered.
	minRepeats = 2
	// minPromptServers is the number of other servers that must have answered promptly in the meantime.
	minPromptServers = 3
)

// lossEvidence is what an entry VM knows when data of an open flow is retransmitted. Retransmissions alone prove
// nothing: a narrow link, a slow VM or a paused process causes them while the server responds, and one of hundreds of
// entry VMs sees too few flows of a server to tell the difference. Only the evidence of the flow itself and that of the
// path count, never that of another flow of the same server.
type lossEvidence struct {
	idempotent    bool          // callers may repeat the requests of the flow
	removed       bool          // the entry of the server was removed while the store was available
	removedFor    time.Duration // time since the removal
	silentFor     time.Duration // time since the last response of the server to any flow
	waited        time.Duration // time since the request arrived
	repeats       int           // retransmissions of the request that arrived here
	targetLatency time.Duration // of the route
	timeout       time.Duration // of the route, after which callers give up; 0 if it is unknown
	promptServers int           // other servers that answered requests which arrived later, while nothing was delayed or lost
}

// reason returns why the flow is lost, so that a reset lets its caller retry immediately, or the empty string. Flows
// whose requests must not be repeated are never lost, because the response may still arrive.
func (v *lossEvidence) reason() string {
	switch {
	case !v.idempotent:
		return ""
	case v.removed && v.removedFor >= removedTimeout && v.silentFor >= max(removedTimeout, v.waited) &&
		v.repeats >= minRepeats && v.promptServers > 0:
		return ReasonHostRemoved
	case v.waited >= max(silentTimeout, silentTargets*v.targetLatency) && v.silentFor >= v.waited &&
		v.repeats >= minRepeats && v.promptServers >= minPromptServers && v.canRetry():
		return ReasonHostSilent
	}
	return ""
}

// canRetry reports whether the caller has enough time left for another attempt. Otherwise a reset helps nobody, and a
// server that is only slow may still answer.
func (v *lossEvidence) canRetry() bool {
	return v.timeout == 0 || v.waited+v.targetLatency <= v.timeout
}

// lossReason returns why the flow of a packet that retransmits data is lost, or the empty string.
func (e *Engine) lossReason(now time.Duration, p *conntrack.Packet, l *registry.Lifetime) string {
	f, r := e.Flows.Get(p.Key), e.Registry.Route(p.Service)
	if f == nil || r == nil {
		return ""
	}
	since, repeats, ok := f.Unanswered()
	if !ok {
		return ""
	}
	v := lossEvidence{
		idempotent: r.Idempotent, removed: l.Removed, removedFor: now - l.Since,
		silentFor: e.Placement.Load(now, l.Token).SinceResponse,
		waited:    now - since, repeats: repeats, targetLatency: r.TargetLatency, timeout: r.Timeout,
		promptServers: e.path.prompt(now, since, l.Token),
	}
	return v.reason()
}
