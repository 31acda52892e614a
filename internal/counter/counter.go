package counter

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Set is a set of named counters, gauges and histograms; nil and the zero value discard everything.
type Set struct {
	// Registry holds the metrics; nil discards them.
	Registry metrics.Registry
}

// New returns an empty set with a new registry.
func New() *Set {
	return &Set{Registry: metrics.NewRegistry()}
}

// Add adds n to the counter with the given name.
func (s *Set) Add(name string, n int64) {
	if s == nil || s.Registry == nil {
		return
	}
	metrics.GetOrRegisterCounter(name, s.Registry).Inc(n)
}

// Counter returns the counter with the given name, for callers that increment it for each packet.
func (s *Set) Counter(name string) metrics.Counter {
	if s == nil || s.Registry == nil {
		return metrics.NilCounter{}
	}
	return metrics.GetOrRegisterCounter(name, s.Registry)
}

// SetGauge sets the gauge with the given name to v.
func (s *Set) SetGauge(name string, v int64) {
	if s == nil || s.Registry == nil {
		return
	}
	metrics.GetOrRegisterGauge(name, s.Registry).Update(v)
}

// Parameters of the sample of a histogram: reservoirSize is the number of values kept, and reservoirAlpha gives those
// of the last five minutes the most weight.
const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
)

// quantiles are the quantiles of each histogram that WriteText writes.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Observe adds a duration to the histogram with the given name.
func (s *Set) Observe(name string, d time.Duration) {
	if s == nil || s.Registry == nil {
		return
	}
	s.Registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}).(metrics.Histogram).Update(int64(d))
}

// Values returns the current values of all counters and gauges by name.
func (s *Set) Values() map[string]int64 {
	values := map[string]int64{}
	if s == nil || s.Registry == nil {
		return values
	}
	s.Registry.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			values[name] = m.Count()
		case metrics.Gauge:
			values[name] = m.Value()
		}
	})
	return values
}

// WriteText writes all counters and gauges and then all histograms, each sorted by name, in the Prometheus text
// exposition format.
func (s *Set) WriteText(w io.Writer) error {
	values := s.Values()
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		// The exposition format does not allow dashes in names.
		if _, err := fmt.Fprintf(w, "masticspar_%s %d\n", strings.ReplaceAll(name, "-", "_"), values[name]); err != nil {
			return err
		}
	}
	return s.writeHistograms(w)
}

// writeHistograms writes the histograms as summaries in seconds.
func (s *Set) writeHistograms(w io.Writer) error {
	if s == nil || s.Registry == nil {
		return nil
	}
	histograms := map[string]metrics.Histogram{}
	s.Registry.Each(func(name string, m any) {
		if h, ok := m.(metrics.Histogram); ok {
			histograms[name] = h.Snapshot()
		}
	})
	for _, name := range slices.Sorted(maps.Keys(histograms)) {
		h := histograms[name]
		metric := "masticspar_" + strings.ReplaceAll(name, "-", "_") + "_seconds"
		for i, v := range h.Percentiles(quantiles) {
			if _, err := fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", metric, quantiles[i], v/float64(time.Second)); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "%s_count %d\n", metric, h.Count()); err != nil {
			return err
		}
	}
	return nil
}
