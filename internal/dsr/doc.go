// Package dsr implements token mode, the forwarding mode with direct server return: backend servers answer callers
// directly, and a token in every packet names the server of its flow.
//
// The first packet of a flow, its SYN, has no token. The entry VM that receives it chooses a server and writes the
// token of the server's lifetime into the packet. Both ends return the last token that they received, so any entry VM
// can forward any later packet without having seen the flow before. A SYN that is retransmitted after the server had
// time to respond goes to another server, because a dead or full server does not respond.
//
// A packet is held until the registry changes if the entry VM has no configuration yet or if its token is unknown,
// which happens when another entry VM learned of a server earlier.
//
// The Engine decides about one packet at a time and has no sockets, goroutines or clock.
package dsr
