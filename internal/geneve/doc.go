// Package geneve encapsulates callers' IP packets in Geneve (RFC 8926) with the codec of gopacket.
//
// The virtual network identifier carries the direction of the packet in its low byte, and in the next byte the number
// of times that one entry VM forwarded the packet to another. A return packet that is forwarded between entry VMs also
// carries an option with the address of the host that sent it, because the outer source address is then that of the
// first entry VM. Other options are rejected.
package geneve
