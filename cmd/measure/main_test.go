package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/standin/backend"
	"github.com/masticspar/masticspar/internal/standin/site"
)

// shortScenario returns the named scenario with less traffic and a shorter time.
func shortScenario(name string) *scenario {
	for _, sc := range scenarios() {
		if sc.name == name {
			sc.load, sc.warmUp, sc.window, sc.feedLines = 0.1, 10*time.Second, 20*time.Second, 10
			return sc
		}
	}
	return nil
}

// Guards against figures that differ between two runs of the same commit, for example through the order of a map.
func TestSameFiguresOnEveryRun(t *testing.T) {
	for _, p := range []*policy{masticspar, hash, leastFlows} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			sc := shortScenario("two-changes")
			lines := [2]string{}
			for i := range lines {
				r := execute(sc, p)
				lines[i] = formatLine(sc, p, map[*policy]result{p: r}, &score{})
			}
			is.New(t).Equal(lines[0], lines[1])
		})
	}
}

// Guards against a baseline that breaks flows on a site without faults, which would make masticspar look better.
func TestPoliciesKeepFlowsOnAQuietSite(t *testing.T) {
	for _, p := range allPolicies {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			r := execute(shortScenario("quokka-quiet"), p)
			is := is.New(t)
			is.Equal(r.broken, 0)
			is.Equal(r.refused, 0)
			is.Equal(len(r.violations), 0)
			is.True(r.flows > 1000)
		})
	}
}

// Guards the definition of imbalance: work is weighted by the speed of the host, and a host without capacity is
// ignored.
func TestImbalance(t *testing.T) {
	s := site.New(site.Config{Zones: []string{"a"}, Services: []site.Service{{
		Name: "s", Protocol: "tcp", Hosts: 3, Speeds: []float64{1, 3, 1}, ServiceTime: time.Second,
	}}})
	s.Hosts[2].SetMode(0, backend.Mode{Kind: backend.ModeDead})
	w := newWork(s)
	w.start()
	for _, h := range s.Hosts {
		h.Statistics.Busy += time.Second
	}
	w.sample()
	is := is.New(t)
	is.Equal(w.imbalance(), 1.0) // Both hosts are busy half of the time.
	s.Hosts[0].Statistics.Busy += 2 * time.Second
	w.sample()
	is.Equal(w.imbalance(), 2.0) // In the second interval, a host with a quarter of the capacity does all the work.
}

// Guards the definition of the convergence time: the start of the first window from which on the mean stays near the
// true share.
func TestSettle(t *testing.T) {
	is := is.New(t)
	late := &weightTracker{ratios: []float64{4, 4, 4, 4, 4, 1, 1, 1, 1, 1, 1, 1}}
	seconds, _ := late.result()
	is.Equal(seconds, 5.0)
	swinging := &weightTracker{ratios: []float64{1, 1, 1, 1, 1, 1, 1, 3, 3, 3, 3, 3}}
	seconds, _ = swinging.result()
	is.Equal(seconds, -1.0)
}
