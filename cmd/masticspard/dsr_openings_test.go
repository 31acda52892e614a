package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/conntrack"
	standin "github.com/masticspar/masticspar/platform/standin/store"
)

// Guards against a packet to a leaving server whose cause cannot be traced: the change must be logged together with the
// age of the state if it arrived late, and only for a server that received a SYN meanwhile.
func TestDSRLogsLateOpenings(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1")
	set := s.settings("entry-1")
	d, logs := s.start(set)
	s.waitFor("ready", isReady(set))
	s.store.SetFaults(standin.Faults{NoReply: true})
	s.waitFor("old state", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(d.age()) > 1.2*lateShare*float64(set.Bound())
	})
	s.send(set.DataAddress, 1, conntrack.Packet{SYN: true})
	is.True(s.receive(s.hosts["i-1"], time.Second) != nil)
	s.putHost("i-1", true)
	s.store.SetFaults(standin.Faults{})
	s.waitFor("change", func() bool { return d.readyHosts() == 0 })
	lines := logs.FilterMessage("late-opening").All()
	is.Equal(len(lines), 1)
	is.Equal(lines[0].ContextMap()["host"], "i-1")
	is.Equal(d.counters.Values()["late-openings"], int64(1))
}
