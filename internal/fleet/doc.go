// Package fleet holds the accepted configuration of a process: services, their hosts and the operators' rules.
//
// A Catalog accepts the two published documents, inventory and rules, in any order and from any source. It orders the
// documents of one kind by version only and never replaces the active document by an older one. After each accepted
// document it builds a new, immutable set of services and hosts that the other packages read.
package fleet
