package main

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a misspelt fault that is skipped in a series, so that a run passes without injecting it.
func TestUnknownFaultIsRefused(t *testing.T) {
	is := is.New(t)
	is.NoErr(checkFaults([]string{"kill", "store-down"}))
	err := checkFaults([]string{"kill", "stor-down"})
	is.True(err != nil)
	is.Equal(err.Error()[:19], `fault "stor-down" i`)
}
