// Package bootstrap decides where an entry VM that starts gets the state of the store from.
//
// When a whole fleet starts at once and each process reads the store, the link of the store is the bottleneck. Instead,
// a process that starts sends a query to its contacts, the entry VMs whose addresses are in its settings. A contact
// replies to the first process of each availability zone that it has to read the store, and refers the others to entry
// VMs of their zone that have the state. Each process that gets the state serves it to others in turn, so the number of
// sources grows with each transfer. The largest VMs get it first, and a source has only as many transfers at a time as
// its size allows.
//
// A store whose servers fit into one page is read at once unless a contact replies first.
//
// Any entry VM can be a contact. It keeps its records in memory only and needs no state of the store itself. A process
// reads the store without a referral if no contact replies, or if its referral fails or takes too long, so a contact
// that is down or misled delays a start by a bounded time.
//
// The Agent has no sockets and no clock: messages and decisions pass through callbacks.
package bootstrap
