package main

import (
	"math"
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/standin/site"
)

// work sums up the work that each host did and the work that it could have done. Slices are indexed like site.Hosts.
type work struct {
	site            *site.Site
	busy            []time.Duration // total busy time at the last sample
	done, available []float64       // in seconds of a host with speed 1
}

func newWork(s *site.Site) *work {
	n := len(s.Hosts)
	return &work{site: s, busy: make([]time.Duration, n), done: make([]float64, n), available: make([]float64, n)}
}

// start marks the start of the window.
func (w *work) start() {
	for i, h := range w.site.Hosts {
		w.busy[i] = h.Snapshot(w.site.Now).Busy
	}
}

// sample adds the work of the last second, weighted by the current speed of the host. Hosts that are published as
// leaving are ignored.
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

// imbalance returns the highest ratio, over the hosts of all services, of a host's share of the work of its service to
// its share of the true capacity.
func (w *work) imbalance() float64 {
	done, available := map[string]float64{}, map[string]float64{}
	for i, h := range w.site.Hosts {
		done[h.Service] += w.done[i]
		available[h.Service] += w.available[i]
	}
	high := 0.0
	for i, h := range w.site.Hosts {
		if w.available[i] > 0 && done[h.Service] > 0 {
			high = max(high, w.done[i]/done[h.Service]/(w.available[i]/available[h.Service]))
		}
	}
	return high
}

const (
	settleBand   = 0.25 // relative distance from the true share within which a weight has converged
	settleWindow = 5    // seconds over which the weight is averaged, because single reports are noisy
)

// weightTracker samples the weight of a host after a step change of its speed.
type weightTracker struct {
	host   *site.Host
	at     time.Duration
	ratios []float64 // share of the weights divided by the true share, one per second
}

// sample appends the mean ratio over the running entry VMs.
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

// result returns the time in seconds after which the mean over a window stays within the band, or -1 when the weight
// does not settle, and the greatest distance of the mean from the true share from 10 s on.
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
