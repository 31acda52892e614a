package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/platform/standin/caller"
	"github.com/masticspar/masticspar/platform/standin/wire"
)

var requests atomic.Int64

// foreignEntry checks FLOW when another writer has put an entry with a service that is not configured into the store
// before the first configuration.
func foreignEntry(s *site, trouble bool) (bool, error) {
	for i := range 4 {
		number := uint64(0x7f3a9100 + i)
		if _, err := s.startServer(fmt.Sprintf("i-%x", number), number, i+1, "za", s.dataPort); err != nil {
			return false, err
		}
	}
	if err := s.startDaemons([]string{"za", "za", "za"}); err != nil {
		return false, err
	}
	s.sleep(2 * time.Second)
	if trouble {
		live := s.servers[0]
		b := wire.HostEntry(&registry.Host{
			Service: "inventory", Address: live.Address, AvailabilityZone: "za", Slots: 2, Sequence: 1,
			Started: time.Now().UnixMilli(),
		})
		revision := s.store.Put(wire.HostKey("i-5ec0de01"), b)
		s.record.printf("store: entry of another writer, i-5ec0de01 of service inventory at %s, revision %d", live.Address,
			revision)
	}
	s.sleep(2 * time.Second)
	s.writeConfiguration(1500 * time.Millisecond)
	if err := s.waitReady(); err != nil {
		return false, err
	}
	var resets, runs atomic.Int64
	for i := range 60 {
		c, err := s.newCaller(i+1, "za")
		if err != nil {
			return false, err
		}
		s.longFlows(c, &resets, &runs)
	}
	s.sleep(settleTime + time.Second)
	s.record.printf("the daemons are restarted in turn")
	for _, d := range s.daemons {
		if err := s.restart(d); err != nil {
			return false, err
		}
		s.sleep(4 * time.Second)
	}
	s.sleep(2 * time.Second)
	s.record.printf("%d requests were answered; %d open flows were reset by daemons while their servers had them",
		runs.Load(), resets.Load())
	if runs.Load() == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return resets.Load() == 0, nil
}

// longFlows opens flows with several requests each until the site ends.
func (s *site) longFlows(c *caller.Caller, resets, answered *atomic.Int64) {
	s.wait.Go(func() {
		for s.sleep(50 * time.Millisecond) {
			f, outcome, _ := c.Open(route)
			if f == nil {
				s.record.printf("flow not opened: %s", outcome)
				continue
			}
			for i := 0; i < 25 && s.sleep(150*time.Millisecond); i++ {
				request := fmt.Sprintf("req-%d", requests.Add(1))
				holder := s.holder(f.Key)
				s.record.printf("send %s on flow %s", request, f.Caller)
				outcome, from := f.Do(request, 1500*time.Millisecond)
				s.record.printf("end %s: %s", request, outcome)
				if outcome == caller.OutcomeResetByEntry && holder != nil && holder.HasFlow(f.Key) {
					s.record.printf("FLOW: the open flow %s of %s at %s was reset by the daemon at %s", f.Caller, holder.Name,
						holder.Address, from)
					resets.Add(1)
				}
				if outcome != caller.OutcomeAnswered {
					f = nil
					break
				}
				answered.Add(1)
			}
			if f != nil {
				f.Close()
			}
		}
	})
}
