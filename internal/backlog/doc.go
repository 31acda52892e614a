// Package backlog keeps packets of callers for a moment when an entry VM does not know yet what to do with them.
//
// A process that has just started gets packets before it has read the asset register, and a packet may name a server that
// another entry VM has learned of a moment earlier. The packets wait in a Queue and are decided about again when the
// picture changes. Callers would otherwise send them again only after 200 ms or more.
package backlog
