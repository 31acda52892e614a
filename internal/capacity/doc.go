// Package capacity estimates the capacity of hosts and selects the host of a new flow.
//
// Every entry VM of an owner group sums up what its own flows observe about the hosts: completed requests, the time
// integral of outstanding requests, failures and open flows. The members exchange these sums once a second, so that
// each of them estimates the capacity of a host from the traffic of the whole group. Model.Tick turns the sums into a
// weight for each host, and Model.Pick selects a host by weighted rendezvous hashing and by the load on the first two
// hosts.
//
// # Host names in reports
//
// A report names a host by the first 32 bits of the hash of its name, because IDs differ between processes.
// Model.FilterReport reduces a report to the hosts of services that both the sender and one receiver own. Hosts whose
// hashes collide within the services of a Model are omitted from its reports and ignored in received ones. The members
// then estimate these hosts from their own traffic, use only their own share of the connection limit, and lend nothing.
// While two members disagree about the owner group, a report may name a host that the receiver does not have. Such a
// host is ignored unless its hash collides with that of a host of the receiver (probability about 2e-8 for 91 hosts).
//
// # Connection limits
//
// Each member may open its share of a host's limit, in proportion to the VM sizes. A member that needs more than its
// share borrows: the others offer what they do not use, less a reserve of 10%. They keep the offer free for four times
// the lifetime of a report and for as long as the member has borrowed flows open. The sum over the group thus stays
// within the limit while reports take less than the lifetime of a report and the members agree about the owner group.
// After a change of the group, a member applies a smaller share at once and a greater one after the same time. Flows
// that are taken over from a dead member are counted but not refused.
package capacity
