//go:build race

package entry_test

const (
	// partition is shorter than the ten minutes, which take about 50 s with the race detector.
	partition     = 3 * minute
	machineChecks = "4"
)
