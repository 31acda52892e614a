// Package conntrack tracks flows by observing only the packets of callers.
//
// Backend servers answer callers directly, so an entry VM sees only one direction of a flow. Data beyond the highest
// sequence number so far is a new request, an acknowledgement that advances is its response, and a retransmitted packet
// means that the server did not respond. The Table reports these observations as events of package flowevent.
//
// A flow is tracked by the entry VM that its packets reach, which changes when the network hashes flows differently.
// The Table is not needed to forward packets; a lost entry only costs a few observations.
package conntrack
