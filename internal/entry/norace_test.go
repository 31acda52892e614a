//go:build !race

package entry_test

const (
	partition     = 10 * minute
	machineChecks = "40"
)
