// Command standin-fabric stands in for the network fabric. It sends each packet of a caller or a backend server to a
// random entry VM and the packets of entry VMs to the callers, and can lose, duplicate and delay datagrams.
//
// It exits with 0 after SIGINT or SIGTERM, with 1 when it could not start, and with 2 for unknown options.
package main
