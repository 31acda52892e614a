// Package entry is one entry VM without its sockets.
//
// An Engine takes datagrams from the fabric and from other entry VMs, messages from peers, documents from the
// platform and ticks of the timer service. It finds the service of each packet and the entry VM that owns the flow, lets
// the flow table of the owner decide, and passes packets and messages out through function fields.
// Everything that decides lives in the packages that the engine connects: fleet and spread for the configuration,
// member for the other entry VMs, flow for pins, capacity and admission for the choice of a host.
//
// An engine has no goroutines and no locks. The program that drives it serialises all calls.
package entry
