package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against calls out of order, calls after the end, and calls added by other calls that are lost.
func TestCallsAreOrdered(t *testing.T) {
	is := is.New(t)
	var q Queue
	var got []int
	for i, due := range []time.Duration{3, 1, 1, 4} {
		q.At(due, func() {
			if got = append(got, i); i == 1 {
				q.At(2, func() { got = append(got, 9) })
			}
		})
	}
	now := time.Duration(0)
	for do, due := q.Next(3); do != nil; do, due = q.Next(3) {
		is.True(due >= now)
		now = due
		do()
	}
	is.Equal(got, []int{1, 2, 9, 0})
	do, due := q.Next(4)
	is.True(do != nil)
	is.Equal(due, time.Duration(4))
}
