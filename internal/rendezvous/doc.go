// Package rendezvous ranks names by weighted rendezvous hashing.
//
// The score of a name depends only on the name, its weight and the hash of a flow. Processes with the same names and
// weights therefore compute the same order without exchanging messages. When a name is removed, only the flows that
// ranked it first move. Each name ranks first for a share of the flows that is proportional to its weight.
package rendezvous
