// Package tcp implements a small TCP state machine for the caller and backend stand-ins.
//
// An Endpoint is one side of one connection. Packets and the time are passed in; segments are sent through the Emit
// callback, and Read returns received bytes. The Endpoint has no goroutine and no clock: Tick must be called often
// enough for its retransmissions. Reject returns the reset for a segment that belongs to no connection.
//
// An Endpoint keeps up to four segments in flight and retransmits from the oldest unacknowledged byte. It does not
// implement congestion control, window scaling, selective acknowledgement and TIME-WAIT. In place of TIME-WAIT, the
// owner keeps a finished Endpoint for a while, so that it acknowledges retransmitted FINs.
package tcp
