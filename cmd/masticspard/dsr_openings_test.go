package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/announce"
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

// Guards against opening packets to leaving servers from an entry VM that cannot get the changes that others announce:
// SYNs must be held near the end of the bound until the changes arrive. Without an announcement they are
// forwarded with the last state.
func TestDSRHoldsSYNsWhileOutdated(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1", "i-2")
	set := s.settings("entry-1")
	d, _ := s.start(set)
	s.waitFor("ready", isReady(set))
	s.store.SetFaults(standin.Faults{NoReply: true})
	s.putHost("i-1", true)
	s.waitFor("old state", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(d.age()) > outdatedShare*float64(set.Bound())
	})
	is.True(!s.outdated(d))
	announceNewer := func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		at := d.replica.Position()
		d.handleAnnouncement(d.timer.Now(), &announce.Message{
			From: "entry-2", Era: at.Era, Since: at.Revision + 1, Revision: at.Revision + 1, Version: 1,
		})
	}
	announceNewer()
	is.True(s.outdated(d))
	s.send(set.DataAddress, 1, conntrack.Packet{SYN: true})
	s.waitFor("held SYN", func() bool { return d.counters.Values()["held-outdated"] == 1 })
	s.store.SetFaults(standin.Faults{})
	s.waitFor("SYN at the remaining server", func() bool { // Callers retransmit SYNs.
		s.send(set.DataAddress, 1, conntrack.Packet{SYN: true})
		return s.receive(s.hosts["i-2"], 100*time.Millisecond) != nil
	})
	is.True(!s.outdated(d))
	is.Equal(s.receive(s.hosts["i-1"], time.Millisecond), nil)
}

func (s *dsrSite) outdated(d *dsrDaemon) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outdated(d.timer.Now())
}
