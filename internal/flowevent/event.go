package flowevent

import "time"

// Kind is the kind of an event.
type Kind uint8

// Kinds of events. For each flow, Opened or Joined comes first and Closed last; each Requested is followed by one of
// Answered and Abandoned. Unanswered comes again each second or later while the flow stays at a silent host. A handshake
// that ends with Refused or Unanswered is followed by Closed. Joined and Repeated come from package conntrack only.
const (
	Opened     Kind = iota + 1 // a flow was pinned to the host
	Accepted                   // the SYN-ACK arrived; Elapsed is the handshake time
	Refused                    // the host answered the SYN with a reset
	Unanswered                 // the host did not answer the SYN in time
	Requested                  // payload of a caller went out while nothing was outstanding on the flow
	Answered                   // the first payload after Requested came back; Elapsed is the first-answer time
	Abandoned                  // the flow ended or was reset with a request outstanding
	Closed                     // the flow no longer counts as open on the host
	Joined                     // the flow came from another entry VM, after its handshake
	Repeated                   // the caller sent data again; Elapsed is the time since it sent it last
)

// Event is one observation of a flow.
type Event struct {
	// Kind is what happened.
	Kind Kind
	// Service and Host are the IDs in the fleet catalog; from package conntrack, Host is a token and Service is 0.
	Service, Host uint32
	// Elapsed is the time since the SYN or the request, where the kind has one.
	Elapsed time.Duration
	// Reset says that Abandoned was caused by a reset from the host.
	Reset bool
}
