// Package backend stands in for backend servers.
//
// A Host takes encapsulated packets, runs the TCP connections and UDP exchanges of its service addresses, and executes
// requests in a few slots with a queue before them. Requests take a time drawn from a seed, divided by the speed of the
// host. A Mode makes it slow, silent, refusing, cold or dead. Packets to any other address than those of the
// service are answered like packets to a closed port.
//
// Time is passed in; slots start the next request at the exact time at which the one before ended, so that the
// capacity of a host does not depend on how often Tick is called.
//
// Server runs several hosts in one process: one socket for each, one timer, and the HTTP control address.
package backend
