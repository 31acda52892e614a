// Package backend simulates backend servers.
//
// A Host receives encapsulated packets, runs the TCP connections and UDP exchanges of its service addresses, and
// executes requests in a few slots that share one queue. The time of a request is drawn from a seeded generator and
// divided by the speed of the host. A Mode makes the host slow, unresponsive, refusing, aborting, cold or dead. Packets
// to other addresses are handled like packets to a closed port: TCP segments get a reset.
//
// Time is passed in. A slot starts the next request at the exact end of the previous one, so the capacity of a host
// does not depend on how often Tick is called.
//
// Server runs several hosts in one process, with one socket for each, one timer and an HTTP control interface.
package backend
