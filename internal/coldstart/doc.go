// Package coldstart bounds the SYNs that all entry VMs together send to a server that has just started.
//
// Each server has a small set of entry VMs that may use it while it is cold: the first ones in the order of a
// rendezvous hash over all members. Each of them has a fixed share of the rate. Entry VMs with the same members
// therefore stay below the rate without exchanging messages, and those with slightly different members exceed it by the
// difference at most.
//
// An entry VM whose members cannot be trusted uses no cold server: shortly after its start, while its members grow
// quickly, and while it sees half of its members or fewer. The last rule makes at most one part of a divided network
// use cold servers, whatever the time of the division.
package coldstart
