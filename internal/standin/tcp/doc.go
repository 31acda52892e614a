// Package tcp is a small TCP state machine for the stand-ins of callers and backend servers.
//
// An Endpoint is one side of one connection. Packets and the time are passed in; segments leave through the Emit
// function field, and received bytes are taken with Read. The Endpoint has no goroutine and no clock: Tick must be
// called often enough for its retransmissions. Segments that belong to no connection are answered by Reject.
//
// It keeps a few segments in flight and resends from the oldest unacknowledged byte. It leaves out congestion
// control, window scaling, selective acknowledgement and TIME-WAIT, which the owner of the Endpoint replaces by
// keeping a finished one for a while.
package tcp
