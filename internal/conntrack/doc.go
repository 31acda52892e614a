// Package conntrack follows flows from the packets of callers alone.
//
// Backend servers answer callers directly, so an entry VM sees one direction only. A new request shows as data beyond
// what was sent before, its answer as an acknowledgement that moves on, and a server that does not answer as a packet
// that comes again. The Table turns that into signal events.
//
// A flow belongs to whatever entry VM its packets reach, and moves when the network hashes anew. Nothing here is needed
// to forward a packet; a lost entry costs a few observations.
package conntrack
