// Package peer carries messages between entry VMs over QUIC with mutual TLS.
//
// A Link holds one connection to each member with which it has recently exchanged messages; connections are opened
// by the first message and closed after idle time. Small messages travel as datagrams, larger ones each on a stream
// of their own. Delivery is not guaranteed: the protocols above repeat what matters.
//
// A connection that is sent to but not heard from is closed and dialled again from a new local UDP port, because a
// path may drop one 5-tuple for good while others work. All links of a process share one byte budget. It refuses
// hints first and reports next, and never membership messages or documents.
package peer
