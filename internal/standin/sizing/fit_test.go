package sizing

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// Guards against lines in docs/CAPACITY.md that do not fit the measured values.
func TestFitFindsLeastSquaresLine(t *testing.T) {
	is := is.New(t)
	l := Fit([]float64{1, 2, 3}, []float64{5, 7, 9})
	is.True(math.Abs(l.Base-3) < 1e-9 && math.Abs(l.Slope-2) < 1e-9 && l.MaxDeviation < 1e-9)
	is.Equal(l.MaxSize, 3.0)
	// The least-squares line of these points is 2/3 + 1.5 x, with the largest deviation at the second point.
	l = Fit([]float64{0, 1, 2}, []float64{1, 1.5, 4})
	is.True(math.Abs(l.Base-2.0/3) < 1e-9 && math.Abs(l.Slope-1.5) < 1e-9)
	is.True(math.Abs(l.MaxDeviation-(1.5+2.0/3-1.5)/4) < 1e-9)
	is.Equal(Fit([]float64{4, 4}, []float64{1, 3}).At(9), 2.0)
}
