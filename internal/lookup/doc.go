// Package lookup resolves unknown tokens by querying other entry VMs.
//
// The store lists only servers that currently exist. A process that has just started has no record of a server that
// ended earlier, while callers may still send packets of flows to it. Entry VMs that were running at that time can
// report the address of the server, or that it was replaced, so that its flows can be reset.
//
// The Resolver has no sockets and no clock: it sends queries and finds records through callbacks.
package lookup
