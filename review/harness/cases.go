package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/masticspar/masticspar/platform/standin/caller"
)

// startServers starts count servers, by turns in the zones.
func (s *site) startServers(count int, zones ...string) error {
	for i := range count {
		number := uint64(0x7f3a9100 + i)
		if _, err := s.startServer(fmt.Sprintf("i-%x", number), number, i+1, zones[i%len(zones)], s.dataPort); err != nil {
			return err
		}
	}
	return nil
}

var requests atomic.Int64

// shortFlows sends requests, one flow each, until the site ends.
func (s *site) shortFlows(c *caller.Caller, pause time.Duration, opened func(request string, at time.Time)) {
	s.wait.Go(func() {
		for s.sleep(pause) {
			request := fmt.Sprintf("req-%d", requests.Add(1))
			at := time.Now()
			opened(request, at)
			s.record.printf("send %s in a new flow", request)
			f, outcome, _ := c.Open(route)
			if f != nil {
				outcome, _ = f.Do(request, 1500*time.Millisecond)
				if outcome == caller.OutcomeAnswered {
					f.Close()
				}
			}
			s.record.printf("end %s: %s", request, outcome)
		}
	})
}

// silentChannels checks DRAIN when the open channels to the store go silent.
func silentChannels(s *site, trouble bool) (bool, error) {
	zones := []string{"za", "za", "zb", "zb"}
	if err := s.startServers(6, "za", "zb"); err != nil {
		return false, err
	}
	s.writeConfiguration(1500 * time.Millisecond)
	if err := s.startDaemons(zones); err != nil {
		return false, err
	}
	sent := make(chan struct{}, 1)
	sent <- struct{}{}
	sentAt := map[string]time.Time{}
	for i := range 24 {
		c, err := s.newCaller(i+1, zones[i%4])
		if err != nil {
			return false, err
		}
		s.shortFlows(c, 100*time.Millisecond, func(request string, at time.Time) {
			<-sent
			sentAt[request] = at
			sent <- struct{}{}
		})
	}
	s.sleep(settleTime + 4*time.Second)
	s.writeConfiguration(1400 * time.Millisecond)
	s.sleep(100 * time.Millisecond)
	silentAt := time.Now()
	if trouble {
		s.record.printf("%d open channels to the store go silent; new ones work", s.proxy.silence())
	}
	s.sleep(200 * time.Millisecond)
	leaving := s.servers[0]
	acked := leaving.drain()
	s.record.printf("server %s is leaving: acked by the store", leaving.Name)
	s.sleep(8 * time.Second)
	// A machine is in touch settleTime after the channels went silent.
	from := acked.Add(drainBound)
	if t := silentAt.Add(settleTime); t.After(from) {
		from = t
	}
	from = from.Add(20 * time.Millisecond)
	late := 0
	<-sent
	for _, r := range s.record.allRuns() {
		at := sentAt[r.request]
		if r.server != leaving.Name || !at.After(from) {
			continue
		}
		late++
		s.record.printf("DRAIN: %s, sent %.3f s after the ack and %.3f s after the silence, was run by %s", r.request,
			at.Sub(acked).Seconds(), at.Sub(silentAt).Seconds(), r.server)
	}
	sent <- struct{}{}
	s.record.printf("%d requests ran, %d of them against DRAIN", len(s.record.allRuns()), late)
	return late == 0, nil
}

// sameIdentifier checks FLOW when a report of a server is written late, after the server has started again under its
// identifier.
func sameIdentifier(s *site, trouble bool) (bool, error) {
	zones := []string{"za", "za", "za"}
	if err := s.startServers(4, "za"); err != nil {
		return false, err
	}
	s.writeConfiguration(1500 * time.Millisecond)
	if err := s.startDaemons(zones); err != nil {
		return false, err
	}
	var resets, inPlan atomic.Int64
	for i := range 60 {
		c, err := s.newCaller(i+1, "za")
		if err != nil {
			return false, err
		}
		s.longFlows(c, &resets, &inPlan)
	}
	s.sleep(settleTime + time.Second)
	n := s.servers[0]
	if trouble {
		late := n.Host
		late.Sequence++
		s.record.printf("the next report of %s (born %d) gets no answer", n.Name, n.Started)
		lateAt := time.Now().Add(4500 * time.Millisecond)
		s.sleep(300 * time.Millisecond)
		n.crash()
		s.sleep(700 * time.Millisecond)
		if _, err := s.startServer(n.Name, n.Number, 1, "za", s.dataPort); err != nil {
			return false, err
		}
		s.sleep(time.Until(lateAt))
		s.record.printf("the report of %s (born %d) is written now", n.Name, n.Started)
		s.put(&late)
		s.sleep(settleTime + 2*time.Second)
	}
	inPlan.Store(1)
	s.record.printf("the daemons are restarted in turn")
	for _, d := range s.daemons {
		if err := s.restart(d); err != nil {
			return false, err
		}
		s.sleep(4 * time.Second)
	}
	s.sleep(2 * time.Second)
	s.record.printf("%d open flows were reset by daemons while their server had them, since the restarts began", resets.Load())
	return resets.Load() == 0, nil
}

// longFlows opens flows with several requests each until the site ends.
func (s *site) longFlows(c *caller.Caller, resets, count *atomic.Int64) {
	s.wait.Go(func() {
		for s.sleep(50 * time.Millisecond) {
			f, outcome, _ := c.Open(route)
			if f == nil {
				s.record.printf("flow not opened: %s", outcome)
				continue
			}
			for i := 0; i < 100 && s.sleep(150*time.Millisecond); i++ {
				request := fmt.Sprintf("req-%d", requests.Add(1))
				holder := s.holder(f.Key)
				s.record.printf("send %s on flow %s", request, f.Caller)
				outcome, from := f.Do(request, 1500*time.Millisecond)
				s.record.printf("end %s: %s", request, outcome)
				if outcome == caller.OutcomeResetByEntry && holder != nil && holder.HasFlow(f.Key) {
					s.record.printf("FLOW: the open flow %s of %s (born %d) was reset by the daemon at %s", f.Caller, holder.Name,
						holder.Started, from)
					if count.Load() == 1 {
						resets.Add(1)
					}
				}
				if outcome != caller.OutcomeAnswered {
					f = nil
					break
				}
			}
			if f != nil {
				f.Close()
			}
		}
	})
}
