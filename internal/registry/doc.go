// Package registry holds the state of backend servers and routes as seen by one entry VM.
//
// The registry in the store lists each backend server with the start time of its process. A Lifetime is one start of
// one server. Its Token, a 32-bit hash, is carried in every packet of its flows, so that any entry VM finds the server
// of a flow without tracking the flow. A lifetime is kept after its entry was removed from the store, because its flows
// may still be open.
//
// Reports do not arrive in the order in which they were made. A report can be written to the store seconds late, after
// that of a later start with the same name or address, or be read from an outdated copy. Within one start the sequence of
// the reports orders them; a later start is the one with the later start time. A listed server that contradicts a later
// one is deferred: its entry is removed or written again if it is outdated. A lifetime counts as replaced, so that its flows
// are reset, only if both the start times and the positions in the store show that a later one has its name or address,
// and only until it is listed without contradiction. Both are wrong only if a clock was ahead and a report was late.
//
// An entry can lapse while the store is unavailable although the server is running. A lapsed lifetime receives new
// flows for a grace period, in which the server can be listed again, and is gone after that.
package registry
