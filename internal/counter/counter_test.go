package counter

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against metric names that a collector would refuse and against an unstable order.
func TestWriteText(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Add("refused-overload", 2)
	s.SetGauge("open-flows", 7)
	var b strings.Builder
	is.NoErr(s.WriteText(&b))
	is.Equal(b.String(), "masticspar_open_flows 7\nmasticspar_refused_overload 2\n")
}
