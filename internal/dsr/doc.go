// Package dsr is the forwarding mode in which backend servers answer callers directly and a token in every packet
// names the server of its flow.
//
// The first packet of a flow has no token. The entry VM that gets it chooses a server and writes the token of the
// server's lifetime into the packet; both ends return the last token that they saw. Any entry VM thus forwards any later
// packet without having seen the flow. A copy of the first packet goes to another server when there was time for an
// answer, because a server that is dead or full does not answer.
//
// A packet that nothing is known about yet, at the start or because another entry VM learned of a server earlier, is held
// until the picture changes.
//
// The Engine decides about one packet at a time, without sockets, goroutines or clock.
package dsr
