// Package geneve encapsulates callers' IP packets in Geneve (RFC 8926) with the codec of gopacket.
//
// The virtual network identifier carries the direction of the packet in its low byte and the number
// of times that one entry VM passed the packet to another in the next byte. Options are not used:
// their decoder allocates for each packet.
package geneve
