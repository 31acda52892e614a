// Package member decides which entry VMs belong to the fleet, following SWIM.
//
// A List holds one process's view of all members. It pings one member at a time in shuffled order, asks others to
// ping a silent member for it, suspects it and finally declares it dead. Each news about a member is an update that
// travels on the pings and acks that are sent anyway, a limited number of times. So the load of a process does not
// depend on the size of the fleet.
//
// Updates about one member are ordered by incarnation, and within an incarnation by state: alive, suspect,
// leaving, dead. Only the member itself raises its incarnation, which is how it refutes a suspicion. An update is
// therefore safe to receive late, twice or in any order.
//
// The package has no sockets and no clock: time is passed in, randomness comes from a seed, and messages leave
// through a function field. A List is not safe for concurrent use.
package member
