package main

import (
	"math"
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/standin/site"
)

// work sums up what each host did and what it could have done.
type work struct {
	site            *site.Site
	busy            []time.Duration // at the last sample
	done, available []float64       // seconds of work of a host with speed 1
}

func newWork(s *site.Site) *work {
	n := len(s.Hosts)
	return &work{site: s, busy: make([]time.Duration, n), done: make([]float64, n), available: make([]float64, n)}
}

// start begins the measured window.
func (w *work) start() {
	for i, h := range w.site.Hosts {
		w.busy[i] = h.Snapshot(w.site.Now).Busy
	}
}

// sample adds the last second. Its work counts at the speed that the host has now. Hosts that the rules let leave take
// no part.
func (w *work) sample() {
	for i, h := range w.site.Hosts {
		busy := h.Snapshot(w.site.Now).Busy
		if slices.Contains(w.site.Rules.Leaving, h.Name) {
			w.busy[i] = busy
			continue
		}
		c := trueCapacity(w.site, h) * h.ServiceTime.Seconds()
		w.done[i] += max(0, (busy-w.busy[i]).Seconds()) * c / 2 // Each host has two slots.
		w.available[i] += c
		w.busy[i] = busy
	}
}

// imbalance returns the greatest ratio, over the hosts of a service, of share of work to share of true capacity, for the
// service in which it is greatest.
func (w *work) imbalance() float64 {
	done, able := map[string]float64{}, map[string]float64{}
	for i, h := range w.site.Hosts {
		done[h.Service] += w.done[i]
		able[h.Service] += w.available[i]
	}
	high := 0.0
	for i, h := range w.site.Hosts {
		if w.available[i] > 0 && done[h.Service] > 0 {
			high = max(high, w.done[i]/done[h.Service]/(w.available[i]/able[h.Service]))
		}
	}
	return high
}

const (
	settleBand   = 0.25 // from the true share at which a weight has converged
	settleWindow = 5    // seconds of the mean, against the noise of single reports
)

// weightTracker follows the weight of a host after a step change of its speed.
type weightTracker struct {
	host   *site.Host
	at     time.Duration
	ratios []float64 // weight share by true share, one a second
}

// sample adds the mean over the live entry VMs.
func (t *weightTracker) sample(s *site.Site) {
	if s.Now <= t.at {
		return
	}
	total := 0.0
	for _, h := range s.Hosts {
		if h.Service == t.host.Service {
			total += trueCapacity(s, h)
		}
	}
	trueShare := trueCapacity(s, t.host) / total
	sum, n := 0.0, 0
	for _, v := range s.VMs {
		if v.Dead || v.Paused {
			continue
		}
		for _, service := range v.Engine.Status(s.Now - v.Started).Services {
			for _, h := range service.Hosts {
				if h.Name == t.host.Name {
					sum += h.LearnedWeight / float64(len(service.Hosts))
					n++
				}
			}
		}
	}
	t.ratios = append(t.ratios, sum/float64(n)/trueShare)
}

// result returns the seconds after which the mean of a window stays within the band, and the greatest distance from the
// true share from 10 s on. It returns -1 when the weight does not settle.
func (t *weightTracker) result() (seconds, swing float64) {
	settled := -1
	for i := 0; i+settleWindow <= len(t.ratios); i++ {
		mean := 0.0
		for _, r := range t.ratios[i : i+settleWindow] {
			mean += r / settleWindow
		}
		distance := math.Abs(mean - 1)
		switch {
		case distance > settleBand:
			settled = -1
		case settled < 0:
			settled = i
		}
		if i >= 10 {
			swing = max(swing, distance)
		}
	}
	return float64(settled), swing
}
