// Package lookup asks other entry VMs for the servers of tokens that one of them does not know.
//
// The store lists servers that are there. A process that has just started knows nothing of a server that ended before,
// while callers still send packets of flows to it; others that were running then can tell where such packets belong or that
// the server ended for certain, so that its flows can be reset.
//
// The Resolver has no sockets and no clock: questions and answers go through function fields.
package lookup
