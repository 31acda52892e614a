// Package placement chooses the backend server of a new flow.
//
// An entry VM sees the requests of the flows that reach it and, from acknowledgements, how long their answers took. The
// cost of a server is its recent answer time times the requests that it has at work here, so slow and busy servers get
// less. Answer times include what other entry VMs send there, so entry VMs agree without messages.
//
// A server that does not answer is suspected after the first packet that comes again, and gets a trial flow from time
// to time until it answers. Servers in other availability zones are used as soon as waiting at home costs more than the
// way there.
package placement
