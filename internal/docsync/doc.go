// Package docsync keeps the published documents of a process in sync with those of its peers.
//
// Every ping carries the versions of both documents. A Syncer that receives a version greater than its own requests the
// document from the peer that has it, and from another peer if no reply arrives before a timeout. A process that
// accepts a new version announces it to three random peers, so an update reaches all processes faster than by pings
// alone. The announcement carries only the versions. Sending three whole documents each time would take 26 KB/s per
// process at 740 changes of 1 MB a day, more than the control budget.
//
// A process that starts, or resumes after a pause, first queries its contacts for their versions. It holds back
// documents of the platform until one of them has replied and its documents have arrived, or until 3 s have passed,
// because the platform may serve an old copy while peers have a newer one.
package docsync
