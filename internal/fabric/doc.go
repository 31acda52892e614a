// Package fabric exchanges UDP datagrams with the network fabric in batches.
//
// A Socket owns one receiving socket and a pool of sending sockets. Its reader goroutine passes each batch of datagrams
// to the handler. Send copies a datagram into the output queue of one sending socket and Flush writes all queues. The
// sending socket of a flow, and with it the outer source port, changes every five seconds, so that a path that silently
// drops one pair of addresses and ports affects a flow only for that long.
//
// Buffers are allocated once, so that neither reading nor writing allocates for each packet.
package fabric
