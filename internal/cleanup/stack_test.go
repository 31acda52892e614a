package cleanup

import (
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// Guards against a resource that is closed while others still use it.
func TestStepsAreUndoneInReverseOrder(t *testing.T) {
	is := is.New(t)
	var order []string
	step := func(name string) func() (func(), error) {
		return func() (func(), error) { return func() { order = append(order, name) }, nil }
	}
	stop, err := Start(step("timer"), step("socket"))
	is.NoErr(err)
	stop()
	is.Equal(order, []string{"socket", "timer"})
}

// Guards against resources that remain open after a failed start, both of earlier steps and of the failed one.
func TestFailedStepIsUndone(t *testing.T) {
	is := is.New(t)
	undone := 0
	count := func() { undone++ }
	stop, err := Start(
		func() (func(), error) { return count, nil },
		func() (func(), error) { return nil, nil },
		func() (func(), error) { return count, errors.New("taken") },
		func() (func(), error) { t.Error("ran after a failure"); return nil, nil },
	)
	is.True(err != nil)
	is.Equal(stop, nil)
	is.Equal(undone, 2)
}
