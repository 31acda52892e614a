// Package datagram provides a UDP socket that sends and receives on the same port, for stand-ins.
//
// The socket of package fabric sends from a pool of ports. The peers of a caller or backend stand-in, however, reply to
// the port that they received from.
package datagram
