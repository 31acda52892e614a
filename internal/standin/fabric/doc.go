// Package fabric simulates the network fabric that sprays packets over the entry VMs.
//
// It sends each datagram of a caller or backend stand-in to a random entry VM. Datagrams of a backend host are sent
// from a socket on the IP address of that host, because the outer source identifies the host. Datagrams of entry VMs to
// callers are sent to the caller stand-in that last sent from the inner address. An address range distinguishes backend
// hosts from entry VMs, so that entry VMs that are not in the list can send too.
package fabric
