// Package announce reduces the number of calls that the entry VMs make to the store.
//
// In each availability zone a few entry VMs, the readers, read the store. Each entry VM selects them by rendezvous
// hashing, weighted by size, over the active members of the zone, so no election is needed. A reader announces changes
// and its revision to the other entry VMs of the zone. An entry VM that receives announcements does not read the store.
// One that has received none for 1.7 s reads for itself, so the failure or isolation of a reader, or a store that
// refuses it, delays changes by that time only.
//
// Announcements are datagrams without acknowledgement. Each names the revision from which its changes are complete, and
// the changes of the last 1.2 s are repeated. A receiver that misses changes and does not get them from the following
// announcements reads the store. When the store was restored from a copy, changes do not lead from the former state to the
// current one, so a receiver fetches the whole state from the sender.
package announce
