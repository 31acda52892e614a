// Package announce spares the store most of the calls of a fleet.
//
// In each availability zone a few entry VMs read the store: the first of a rendezvous hashing by size over the live
// ones, so that no election is needed. They announce to the others of the zone what changed and which revision they
// have. An entry VM that hears announcements does not read. One that hears none for a moment reads for itself, so a
// reader that fails, is cut off or is refused by the store costs that moment only.
//
// Announcements are datagrams without acknowledgement. Each names the revision from which on its changes are complete,
// and those of the last seconds are repeated. A receiver that lacks something and does not get it in the next ones reads
// the store.
package announce
