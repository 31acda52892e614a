// Package history orders the revisions of a store that may be restored from a copy.
//
// A store that is restored continues from an earlier revision and gives later revisions out again. It raises its era
// each time, so a revision names a change only together with the era in which it was read.
package history
