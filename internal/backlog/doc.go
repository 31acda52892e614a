// Package backlog holds packets of callers for a short time while an entry VM cannot decide about them.
//
// A process that has just started receives packets before it has read the registry, and a packet may carry the token of
// a server that another entry VM learned of a moment earlier. Such packets are held in a Queue and handled again when
// the registry changes. Otherwise callers would retransmit them only after 200 ms or more.
package backlog
