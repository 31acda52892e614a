// Package rendezvous ranks names by weighted rendezvous hashing.
//
// Each name gets a score that depends only on its own name and weight and on the hash of a flow. Processes that know
// the same names and weights therefore agree on the order without messages. When a name leaves, only the flows that
// ranked it first move, and a name is first for a share of the flows that is proportional to its weight.
package rendezvous
