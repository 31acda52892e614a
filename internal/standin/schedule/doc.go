// Package schedule calls functions at virtual times, for simulations and replays in tests.
//
// Functions that are due at the same time are called in the order in which they were added, so equal inputs give equal
// runs.
package schedule
