// Command standin-backend stands in for the backend servers of a service. It runs many hosts in one process, each with
// its own loopback address, and its HTTP control address serves reports and changes the mode of the hosts.
//
// It exits with 0 after SIGINT or SIGTERM, with 1 when it could not start, and with 2 for unknown options.
package main
