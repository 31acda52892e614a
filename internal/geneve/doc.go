// Package geneve encapsulates callers' IP packets in Geneve (RFC 8926) with the codec of gopacket.
//
// The virtual network identifier carries the direction of the packet in its low byte and the number
// of times that one entry VM passed the packet to another in the next byte. A return packet that is passed
// between entry VMs also carries an option with the address of the host that sent it, because the outer source
// address is then that of the first entry VM. Other options are refused.
package geneve
