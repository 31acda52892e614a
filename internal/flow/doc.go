// Package flow implements the flow table of one entry VM, which records the host that serves each flow.
//
// The entry of a flow is called a pin. A Table processes the parsed packets of both directions and returns a Verdict
// for each: forward the packet to a host, forward it to the caller, or drop it. The table decides from its own pins,
// without queries to other entry VMs. The Pick callback chooses the host of a new TCP flow.
//
// A TCP pin is half-open, established, unverified or closed. Payload is forwarded to a host only after the caller has
// acknowledged a sequence number of that host. One request therefore cannot run on two hosts, even while two entry VMs
// both assume that they own the flow. A packet that matches no pin starts a search, which probes the hosts of the
// service one after the other with bare keep-alives. A keep-alive carries no payload, so it runs no request.
//
// Pins are stored in chunks without pointers and found through an open-addressing index. Flows in a handshake, a search
// or a challenge need further state, which is kept in a bounded number of records. A challenge is a probe that the
// pinned host receives in place of a SYN on an established pin. The reply shows whether the old connection still
// exists.
package flow
