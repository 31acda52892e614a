// Package entry implements an entry VM in owner mode, without its sockets.
//
// An Engine receives datagrams from the fabric and from other entry VMs, messages from peers, documents from the
// platform, and ticks of the timer service. It determines the service of each packet and the entry VM that owns the
// flow. Packets of flows that another entry VM owns are forwarded to it; for its own flows the flow table decides.
// Packets and messages leave through callbacks.
//
// The decisions are made by the packages that the engine connects: fleet and docsync for the configuration, member for
// the other entry VMs, flow for pins, and capacity and admission for the choice of a host.
//
// An Engine has no goroutines and no locks. The caller must serialise all calls.
package entry
