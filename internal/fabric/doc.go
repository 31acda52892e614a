// Package fabric moves datagrams between a process and the network fabric in batches over UDP.
//
// A Socket owns one receiving socket and a pool of sending sockets. Its reader goroutine hands each batch of
// datagrams to the handler. Send copies a datagram into the output queue of one sending socket and Flush writes
// all queues. The sending socket, and with it the outer source port, of a flow changes every five seconds, so that
// a path that silently drops one pair of addresses and ports affects a flow only for that long.
//
// Buffers are allocated once, so that neither reading nor writing allocates for each packet.
package fabric
