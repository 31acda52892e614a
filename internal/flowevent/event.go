package flowevent

import (
	"net/netip"
	"time"
)

// Kind is the kind of an event.
type Kind uint8

// Kinds of events. The first event of a flow is Opened or Joined and the last one is Closed. Each Requested is followed
// by either Answered or Abandoned. Unanswered is repeated, at most once a second, while the flow remains at an
// unresponsive host. A handshake that ends with Refused or Unanswered is followed by Closed.
//
// Package conntrack receives only the packets of callers. It infers Accepted from the first packet after the SYN,
// Refused from a SYN without a retransmission, and Answered from an acknowledgement that advances. Only conntrack
// creates Joined and Repeated.
const (
	Opened     Kind = iota + 1 // The flow was pinned to the host.
	Accepted                   // The SYN-ACK was received; Elapsed is the handshake time.
	Refused                    // The host responded to the SYN with a reset.
	Unanswered                 // The host did not respond to the SYN in time.
	Requested                  // The caller sent payload while no request was outstanding on the flow.
	Answered                   // The first payload after Requested was received; Elapsed is the response time.
	Abandoned                  // The flow ended or was reset with a request outstanding.
	Closed                     // The flow is no longer counted as open on the host.
	Joined                     // The flow was taken over from another entry VM after its handshake.
	Repeated                   // The caller retransmitted data; Elapsed is the time since the last transmission.
)

// Event is one event of a flow.
type Event struct {
	// Kind determines the meaning of Elapsed and Reset.
	Kind Kind
	// Service and Host are the IDs in the fleet catalog; in events of package conntrack, Host is a token and Service is 0.
	Service, Host uint32
	// Route is the address that the caller connected to, in an Answered event of package conntrack.
	Route netip.AddrPort
	// Elapsed is the time since the SYN or the request that the event ends, unless its kind defines another time; 0 if it
	// is unknown or does not apply.
	Elapsed time.Duration
	// Repeats is the number of retransmissions of the request that an Answered event of package conntrack ends.
	Repeats int
	// Reset reports whether Abandoned was caused by a reset from the host. Package conntrack never sets it.
	Reset bool
}
