// Package peer carries messages between entry VMs over QUIC with mutual TLS.
//
// A Link listens at the control address and dials members when there is something to send. Each
// message travels on a unidirectional stream of its own. A peer is known by the name in its certificate.
package peer
