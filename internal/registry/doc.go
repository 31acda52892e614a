// Package registry holds what an entry VM believes about backend servers and routes.
//
// The asset register names each backend server with the start time of its process. A Lifetime is one start of one
// server; its Token, a 32-bit hash, travels in every packet of the flows that it serves, so that any entry VM finds
// the server of a flow without keeping the flow. A lifetime outlives its entry in the register, because its flows do.
//
// An entry can lapse while the register's store is away, although the server is alive. A lapsed lifetime takes new
// flows until the store has had time to list it again, and counts as gone after that.
package registry
