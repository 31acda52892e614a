// Package datagram is the UDP socket of a stand-in that sends and receives on the same port.
//
// The socket of package fabric sends from a pool of ports; the peers of a caller or backend stand-in, on the other
// hand, reply to the port that they heard from.
package datagram
