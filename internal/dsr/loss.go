package dsr

import (
	"time"

	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/registry"
)

// lossTimeout is how long a server must have been removed and silent before its flows are lost. Callers retransmit
// after 200 ms, so a live server that is in use responds within it.
const lossTimeout = 400 * time.Millisecond

// lossEvidence is what an entry VM knows when data of an open flow is retransmitted. Retransmissions alone prove
// nothing: a narrow link, a slow VM or a paused process causes them while the server responds, and one of hundreds of
// entry VMs sees too few flows of a server to tell the difference.
type lossEvidence struct {
	idempotent    bool          // callers may repeat the requests of the flow
	removed       bool          // the entry of the server was removed while the store was available
	removedFor    time.Duration // time since the removal
	silentFor     time.Duration // time since the last response of the server to any flow
	othersRespond bool          // other servers respond, so the link of this entry VM works
}

// proven reports whether the flow is lost, so that a reset lets its caller retry immediately. Flows whose requests must
// not be repeated are never lost, because the response may still arrive.
func (v *lossEvidence) proven() bool {
	return v.idempotent && v.removed && v.removedFor >= lossTimeout && v.silentFor >= lossTimeout && v.othersRespond
}

// flowLost reports whether the flow of a packet that retransmits data is lost with its server.
func (e *Engine) flowLost(now time.Duration, p *conntrack.Packet, l *registry.Lifetime) bool {
	if !l.Removed { // Most retransmissions are for listed servers.
		return false
	}
	r := e.Registry.Route(p.Service)
	v := lossEvidence{
		idempotent: r != nil && r.Idempotent, removed: l.Removed, removedFor: now - l.Since,
		silentFor:     e.Placement.Load(now, l.Token).SinceResponse,
		othersRespond: e.Placement.OtherAlive(now, l.Token),
	}
	return v.proven()
}
