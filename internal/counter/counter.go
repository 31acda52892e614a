package counter

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Set is a set of named counters and gauges; the zero value discards everything.
type Set struct {
	// Registry holds the metrics; nil discards them.
	Registry metrics.Registry
}

// New returns an empty set with a registry of its own.
func New() *Set {
	return &Set{Registry: metrics.NewRegistry()}
}

// Add raises the counter name by n.
func (s *Set) Add(name string, n int64) {
	if s == nil || s.Registry == nil {
		return
	}
	metrics.GetOrRegisterCounter(name, s.Registry).Inc(n)
}

// Counter returns the counter name, for callers that raise it for each packet.
func (s *Set) Counter(name string) metrics.Counter {
	if s == nil || s.Registry == nil {
		return metrics.NilCounter{}
	}
	return metrics.GetOrRegisterCounter(name, s.Registry)
}

// SetGauge sets the gauge name to v.
func (s *Set) SetGauge(name string, v int64) {
	if s == nil || s.Registry == nil {
		return
	}
	metrics.GetOrRegisterGauge(name, s.Registry).Update(v)
}

// Values returns the current value of each counter and gauge by name.
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

// WriteText writes all values, sorted by name, in the Prometheus text exposition format.
func (s *Set) WriteText(w io.Writer) error {
	values := s.Values()
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		// The exposition format has no dashes in names.
		if _, err := fmt.Fprintf(w, "masticspar_%s %d\n", strings.ReplaceAll(name, "-", "_"), values[name]); err != nil {
			return err
		}
	}
	return nil
}
