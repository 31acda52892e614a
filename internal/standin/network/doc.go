// Package network is an in-memory network with a virtual clock, for tests of packages that exchange messages. It delays,
// loses and duplicates messages, cuts zones off and pauses nodes. All random choices come from one seed, so that a run
// can be repeated exactly. A Network is not safe for concurrent use.
package network
