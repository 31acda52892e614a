package sizing

import (
	"fmt"
	"math"
	"strings"
)

// Line is a cost as a linear function of a size: Base + Slope × size.
type Line struct {
	// Base is the cost at size zero, Slope the cost of each unit of the size.
	Base, Slope float64
	// MaxDeviation is the largest deviation of a measured value from the line, relative to the largest absolute value.
	MaxDeviation float64
	// MinSize and MaxSize are the smallest and the largest measured size.
	MinSize, MaxSize float64
}

// Fit returns the least-squares line of values over sizes. With fewer than two different sizes, the line is constant.
func Fit(sizes, values []float64) Line {
	n := float64(len(sizes))
	if n == 0 {
		return Line{}
	}
	var sx, sy, sxx, sxy float64
	l := Line{MinSize: sizes[0], MaxSize: sizes[0]}
	greatest := 0.0
	for i, x := range sizes {
		sx, sy, sxx, sxy = sx+x, sy+values[i], sxx+x*x, sxy+x*values[i]
		l.MinSize, l.MaxSize = min(l.MinSize, x), max(l.MaxSize, x)
		greatest = max(greatest, math.Abs(values[i]))
	}
	if d := n*sxx - sx*sx; d > 0 {
		l.Slope = (n*sxy - sx*sy) / d
	}
	l.Base = (sy - l.Slope*sx) / n
	for i, x := range sizes {
		if greatest > 0 {
			l.MaxDeviation = max(l.MaxDeviation, math.Abs(values[i]-l.At(x))/greatest)
		}
	}
	return l
}

// At returns the cost at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// String returns the line, its maximum deviation and the range of the measured sizes.
func (l Line) String() string {
	return fmt.Sprintf("%.4g + %.4g × size, worst distance %.0f%% of the greatest value, sizes %g to %g",
		l.Base, l.Slope, 100*l.MaxDeviation, l.MinSize, l.MaxSize)
}

// Table collects one row of values per size and fits a line to each column.
type Table struct {
	// Title describes the measurement, Size the quantity that differs between the rows.
	Title, Size string
	// Columns are the names of the values, with their units.
	Columns []string

	sizes []float64
	rows  [][]float64
}

// Add adds the row of one size, with the values in the order of Columns.
func (t *Table) Add(size float64, values ...float64) {
	t.sizes, t.rows = append(t.sizes, size), append(t.rows, values)
}

// Line returns the fitted line of a column.
func (t *Table) Line(column int) Line {
	values := make([]float64, len(t.rows))
	for i := range t.rows {
		values[i] = t.rows[i][column]
	}
	return Fit(t.sizes, values)
}

// String returns the rows. If there are at least three, the fitted lines follow.
func (t *Table) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n%12s", t.Title, t.Size)
	for _, c := range t.Columns {
		fmt.Fprintf(&b, "  %s", c)
	}
	b.WriteByte('\n')
	for i, size := range t.sizes {
		fmt.Fprintf(&b, "%12g", size)
		for j, c := range t.Columns {
			fmt.Fprintf(&b, "  %*.5g", len([]rune(c)), t.rows[i][j])
		}
		b.WriteByte('\n')
	}
	if len(t.sizes) >= 3 {
		for j, c := range t.Columns {
			fmt.Fprintf(&b, "  fit %s: %s\n", c, t.Line(j))
		}
	}
	return b.String()
}
