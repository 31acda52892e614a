// Package member maintains the membership of the entry VMs with the SWIM protocol.
//
// A List holds one process's view of all members. It pings one member at a time in random order. If a member does not
// reply, the list requests indirect pings from other members, then marks the member as suspect and finally as dead.
// Each change of a member is an update, which is piggybacked on a limited number of pings, acks and other messages. The
// load of a process therefore does not depend on the number of members.
//
// Updates about one member are ordered by incarnation, and within an incarnation by state: alive, suspect,
// leaving, dead. Only the member itself increases its incarnation; it does so to refute a suspicion. An update may
// therefore be received late, more than once or in any order.
//
// The package uses no sockets and no clock: callers pass the time, a seed makes random choices reproducible, and
// messages are sent through a callback. A List is not safe for concurrent use.
package member
