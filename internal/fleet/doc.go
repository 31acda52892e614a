// Package fleet keeps the accepted configuration of a process: services, their hosts and the operators' rules.
//
// A Catalog accepts published documents in any order and from any source. It ranks each kind of document by its
// version alone, so that what is in force never goes back. From the accepted documents it builds an immutable set
// of services and hosts that the other packages read.
package fleet
