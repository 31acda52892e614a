// Package packet reads and builds the IP packets that callers and backend servers exchange.
//
// A Packet is a view of one packet. Parse reuses the gopacket decoders inside the view, so that reading a packet does
// not allocate. A Key identifies a flow by its protocol, addresses and ports. A Segment describes a packet to build:
// the entry VMs build only resets and keep-alive probes, and the stand-ins build everything that they send.
package packet
