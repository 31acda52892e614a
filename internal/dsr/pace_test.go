package dsr

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/placement"
	"github.com/masticspar/masticspar/internal/registry"
)

// token returns the token of a server.
func (e *testEngine) token(number uint64) uint32 {
	for _, l := range e.Registry.Hosts("standdesk") {
		if l.Number == number {
			return l.Token
		}
	}
	return 0
}

// paceReason returns the reason of the pace of a server, or the empty string.
func (e *testEngine) paceReason(number uint64) string {
	_, reason, _ := e.Placement.PaceStatus(e.token(number))
	return reason
}

// Guards against servers without a pace that have just started or come back, and against a pace for servers that may
// have been running for long before this entry VM started.
func TestPaceBegins(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, 3)
	is.Equal(e.Placement.Paced(), 0)
	e.advance(6 * time.Second)
	e.listHost(3, "wa-south", false)
	is.Equal(e.paceReason(3), placement.PaceNew)

	former := e.Registry.Hosts("standdesk")[0].Host
	former.Started++
	e.Registry.Apply(e.now, registry.Change{Name: former.Name, Revision: uint64(e.now), Created: 1, Host: &former}, false)
	is.Equal(e.paceReason(0), placement.PaceRestarted)

	e.Registry.Apply(e.now, registry.Change{Name: "i-1", Revision: uint64(e.now)}, false)
	e.advance(time.Second)
	e.listHost(1, "wa-perth", false)
	is.Equal(e.paceReason(1), placement.PaceRelisted)

	e.Registry.Apply(e.now, registry.Change{Name: "i-2", Revision: uint64(e.now)}, true) // While the store is down.
	e.advance(time.Second)
	e.listHost(2, "wa-perth", false)
	is.Equal(e.paceReason(2), "") // It received flows all the time.

	token := e.token(2)
	e.Placement.Observe(e.now, flowevent.Event{Kind: flowevent.Unanswered, Host: token})
	e.Placement.Observe(e.now, flowevent.Event{Kind: flowevent.Accepted, Host: token})
	is.Equal(e.paceReason(2), placement.PaceRecovered)

	e.Registry.Apply(e.now, registry.Change{Zone: "wa-south", Evacuated: true, Revision: uint64(e.now)}, false)
	e.advance(time.Second)
	e.Registry.Apply(e.now, registry.Change{Zone: "wa-south", Revision: uint64(e.now)}, false)
	is.Equal(e.paceReason(3), placement.PaceReturned)
	is.Equal(e.Placement.Paced(), 4)
}

// Guards against a service without a server while all of its servers are at the limit of their pace.
func TestPacedServersAreUsedIfThereAreNoOthers(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, 2)
	for _, l := range e.Registry.Hosts("standdesk") {
		e.Placement.BeginPace(e.now, l, placement.PaceNew)
	}
	for range 50 {
		is.Equal(e.HandlePacket(e.now, &conntrack.Packet{Key: e.caller(1).Key, SYN: true}).Action, Forward)
	}
}
