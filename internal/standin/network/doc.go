// Package network simulates a network in memory, with a virtual clock, for tests of packages that exchange messages.
//
// A Network carries messages between Nodes. It can delay, lose and duplicate messages, isolate zones, and stop or pause
// nodes. All random choices come from one seed, so that a run can be repeated exactly. A Network is not safe for
// concurrent use.
package network
