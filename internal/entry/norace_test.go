//go:build !race

package entry_test

const (
	partition     = 10 * minute // how long a zone is cut off
	machineChecks = "40"        // number of sequences that TestFailureSequences draws
)
