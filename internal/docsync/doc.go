// Package docsync decides how processes exchange the published documents with each other.
//
// Every ping carries the versions of both documents. A Syncer that hears of a greater version asks the peer that
// has it, and another one when no answer comes before a deadline. A process that accepts a new version announces it
// to three random peers, so that an update reaches everyone faster than pings alone would. The announcement carries
// only the versions: sending whole documents three times each would need 26 KB/s per process at 740 changes of 1 MB a
// day, more than the control budget.
//
// A process that starts, or that was paused, first asks its contacts for their versions. Until one of them answered
// and its documents arrived, or 3 s passed, documents of the platform are held back: the platform may serve an
// old copy while peers have a newer one.
package docsync
