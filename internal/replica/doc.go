// Package replica follows the published state of a store that can only be read.
//
// A Replica first reads all entries and then waits for changes from the revision of that reading on. It reads again
// when the store has dropped the history that it needs. While the store refuses, is silent or loses answers, the
// Replica tries again with a growing delay, and what is known stays in force.
//
// A wait is short enough to notice a lost answer within the bounds of the site, and a pause after each answer collects
// changes that come in quick succession in one call.
package replica
