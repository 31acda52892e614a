// Package capacity learns what each host can carry and selects the host of a new flow.
//
// Every entry VM of an owner group sums up what its own flows observe about the hosts: completions, the time integral
// of outstanding requests, failures and open flows. The members exchange these sums once a second, so that each one
// estimates the capacity of a host from the traffic of the whole group. A Model turns the sums into a weight for each
// host on Tick, and Pick selects by weighted rendezvous hashing and the load on the first two hosts.
//
// # Names in reports
//
// A report names a host by the first 32 bits of the hash of its name, because IDs differ between processes. The engine
// sends Part of a report to each member, which holds only hosts of services that both own. Hosts whose hashes collide
// within the services of a Model are left out of its reports and ignored in those of others; the members then learn
// them from their own traffic, use their own part of the connection limit, and lend nothing. While two members disagree
// about the owner group, a report may name a host that only the sender knows; it is ignored unless it collides with a host
// of the receiver (chance about 2e-8 for 91 hosts).
//
// # Connection limits
//
// Each member may open its part of a host's limit, in proportion to the VM sizes. A member that needs more than its
// part borrows: the others offer what they do not use less a reserve of 10%, and keep the offer free for four times the
// lifetime of a report and for as long as the member has borrowed flows open. The sum over the group thus stays within
// the limit while reports take less than the lifetime of a report and the members agree about the owner group. After a
// change of the group, a member uses a smaller part at once and a greater one after the same time. Flows that are taken
// over from a dead member are counted but not refused.
package capacity
