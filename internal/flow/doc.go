// Package flow keeps the pins of one entry VM: which host serves which flow.
//
// A Table takes parsed packets of both directions and answers each with a Verdict. It decides alone, from its pins,
// whether a packet goes to a host, to the caller or nowhere; which host gets a new flow is asked through Pick.
//
// A TCP pin is half-open, established, unverified or closed. Payload goes to a host only after the caller has
// acknowledged a sequence number of that host, so two entry VMs that both believe to own a flow cannot run one request
// on two hosts. A packet that matches no pin starts a search, which asks the hosts of the service one after the other
// with bare keep-alives that run nothing.
//
// Pins live in chunks of plain entries without pointers, found through an open-addressing index. Only half-open and
// searched flows have further state, in a bounded number of records.
package flow
