// Package trace reads counterexamples of the model checker for tests that replay them. A trace is a text file with one
// event per line: a name and up to three numbers, separated by spaces.
package trace
