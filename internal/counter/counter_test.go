package counter

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against metric names that a collector refuses, and against an unstable order.
func TestWriteTextSortsAndEscapesNames(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Add("refused-overload", 2)
	s.SetGauge("open-flows", 7)
	var b strings.Builder
	is.NoErr(s.WriteText(&b))
	is.Equal(b.String(), "masticspar_open_flows 7\nmasticspar_refused_overload 2\n")
}

// Guards against latencies in a unit other than the one in their name.
func TestHistogramIsWrittenInSeconds(t *testing.T) {
	is := is.New(t)
	s := New()
	for range 4 {
		s.Observe("first-answer", 20*time.Millisecond)
	}
	var b strings.Builder
	is.NoErr(s.WriteText(&b))
	is.True(strings.Contains(b.String(), "masticspar_first_answer_seconds{quantile=\"0.99\"} 0.02\n"))
	is.True(strings.Contains(b.String(), "masticspar_first_answer_seconds_count 4\n"))
}
