package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/standin/backend"
	"github.com/masticspar/masticspar/internal/standin/site"
)

// short returns the named scenario with little traffic and time.
func short(name string) *scenario {
	for _, sc := range scenarios() {
		if sc.name == name {
			sc.load, sc.warmUp, sc.window, sc.feedLines = 0.1, 10*time.Second, 20*time.Second, 10
			return sc
		}
	}
	return nil
}

// Guards against figures that differ between runs of one commit.
func TestSameFiguresOnEveryRun(t *testing.T) {
	for _, p := range []*policy{masticspar, hash, leastFlows} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			sc := short("two-changes")
			lines := [2]string{}
			for i := range lines {
				r := execute(sc, p)
				lines[i] = line(sc, p, map[*policy]result{p: r}, &score{})
			}
			is.New(t).Equal(lines[0], lines[1])
		})
	}
}

// Guards against a baseline that loses flows although nothing happens to the site, which would make masticspar look better.
func TestPoliciesKeepFlowsOnAQuietSite(t *testing.T) {
	for _, p := range compared {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			r := execute(short("quokka-quiet"), p)
			is := is.New(t)
			is.Equal(r.broken, 0)
			is.Equal(r.refused, 0)
			is.Equal(len(r.violations), 0)
			is.True(r.flows > 1000)
		})
	}
}

// Guards the definition of imbalance: work counts by the speed of the host, and a host without capacity is left out.
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
	is.Equal(w.imbalance(), 1.0) // Both work half of the time.
	s.Hosts[0].Statistics.Busy += 2 * time.Second
	w.sample()
	is.Equal(w.imbalance(), 2.0) // All of the second second's work on a host with a quarter of the capacity.
}

// Guards the convergence time: the first window after which the mean stays near the true share.
func TestSettle(t *testing.T) {
	is := is.New(t)
	late := &settle{ratios: []float64{4, 4, 4, 4, 4, 1, 1, 1, 1, 1, 1, 1}}
	seconds, _ := late.result()
	is.Equal(seconds, 5.0)
	swinging := &settle{ratios: []float64{1, 1, 1, 1, 1, 1, 1, 3, 3, 3, 3, 3}}
	seconds, _ = swinging.result()
	is.Equal(seconds, -1.0)
}
