// Package fabric stands in for the network fabric that sprays packets over the entry VMs.
//
// It sends each datagram of a caller or backend stand-in to an entry VM chosen at random. Datagrams of a backend host
// leave from a socket on the IP address of that host, because the outer source names the host. Datagrams of
// entry VMs to callers go to the caller stand-in that last sent from the inner address. Backend hosts are told apart
// from entry VMs by an address range, so that an entry VM can send before it is listed.
package fabric
