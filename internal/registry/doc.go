// Package registry holds the state of backend servers and routes as seen by one entry VM.
//
// The registry in the store lists each backend server with the start time of its process. A Lifetime is one start of
// one server. Its Token, a 32-bit hash, is carried in every packet of its flows, so that any entry VM finds the server
// of a flow without tracking the flow. A lifetime is kept after its entry was removed from the store, because its flows
// may still be open.
//
// An entry can lapse while the store is unavailable although the server is running. A lapsed lifetime receives new
// flows for a grace period, in which the server can be listed again, and is gone after that.
package registry
