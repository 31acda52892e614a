// Package peer carries messages between entry VMs over QUIC with mutual TLS.
//
// A Link holds one connection to each member with which it has recently exchanged messages. The first message opens the
// connection; an idle one is closed. A small message is sent as a datagram, a larger one on a stream of its own.
// Delivery is not guaranteed: the protocols that use a Link repeat messages where they need to.
//
// An unresponsive connection is closed and the peer is dialed from a new local UDP port, because a path may permanently
// drop one 5-tuple while others work. All connections of a process share one byte budget, which drops hints first and
// reports next, and never drops membership messages or documents.
package peer
