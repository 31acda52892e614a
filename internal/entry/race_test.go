//go:build race

package entry_test

const (
	// partition is how long a zone is cut off. It is shorter than without the race detector, with which ten minutes take
	// about 50 s.
	partition     = 3 * minute
	machineChecks = "4" // number of sequences that TestFailureSequences draws
)
