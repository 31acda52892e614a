// Package announce reduces the number of calls that the entry VMs make to the store.
//
// In each availability zone a few entry VMs, the readers, read the store. Each entry VM selects them by rendezvous
// hashing, weighted by size, over the active members of the zone, so no election is needed. A reader announces changes
// and its revision to the other entry VMs of the zone, and how long ago the store confirmed that there was nothing later.
// Each entry VM adds the time since it received the announcement, so it knows the age of its own state. While the state is
// young it does not read the store. When the state is too old, because the readers have failed, are cut off or get no reply,
// the others read the store in turn and announce what they have read, so all changes are known within Group.Bound.
//
// Announcements are datagrams without acknowledgement. Each names the revision from which its changes are complete, and
// the changes of the last 1.2 s are repeated. A receiver that misses changes and does not get them from the following
// announcements reads the store. When the store was restored from a copy, changes do not lead from the former state to the
// current one, so a receiver fetches the whole state from the sender.
package announce
