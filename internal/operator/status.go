package operator

import "net/netip"

// Status is the status of an entry VM, its peers and its services.
type Status struct {
	// Name is the name of the entry VM.
	Name string `json:"name"`
	// Ready reports whether the start, or the refresh after a pause, has completed.
	Ready bool `json:"ready"`
	// Draining reports whether the VM is handing over its flows before it stops.
	Draining bool `json:"draining"`
	// Inventory and Rules are the active documents.
	Inventory Document `json:"inventory"`
	Rules     Document `json:"rules"`
	// IgnoredRules is the number of names in the rules that are not in the inventory.
	IgnoredRules int `json:"ignored-rules"`
	// LastRefusal is the last invalid or conflicting document, or nil if there was none.
	LastRefusal *Refusal `json:"last-refusal,omitempty"`
	// Peers are the other entry VMs.
	Peers []Peer `json:"peers"`
	// Services are all services, sorted by name.
	Services []Service `json:"services"`
}

// Document describes an active document.
type Document struct {
	// Version is the version number, zero if there is no document.
	Version uint64 `json:"version"`
	// Hash is the hash of the content as 16 hexadecimal digits.
	Hash string `json:"hash"`
	// AgeSeconds is the time since the document was accepted.
	AgeSeconds float64 `json:"age-seconds"`
	// Source is the platform or the peer from which the document was received.
	Source string `json:"source"`
}

// Refusal describes a document that was refused.
type Refusal struct {
	Document   string  `json:"document"`
	Source     string  `json:"source"`
	Error      string  `json:"error"`
	AgeSeconds float64 `json:"age-seconds"`
}

// Peer is another entry VM as this one sees it.
type Peer struct {
	Name             string  `json:"name"`
	Region           string  `json:"region"`
	AvailabilityZone string  `json:"availability-zone"`
	Size             float64 `json:"size"`
	// State is alive, suspect, dead or leaving.
	State string `json:"state"`
}

// Service is a service with its backend servers.
type Service struct {
	Name      string           `json:"name"`
	Protocol  string           `json:"protocol"`
	Addresses []netip.AddrPort `json:"addresses"`
	Hosts     []Host           `json:"hosts"`
}

// Host is a backend server of a service.
type Host struct {
	Name             string         `json:"name"`
	AvailabilityZone string         `json:"availability-zone"`
	Address          netip.AddrPort `json:"address"`
	// State is leaving, bad, outside-zone or serving, of which the first that applies is given; a bad host receives only
	// trial flows.
	State string `json:"state"`
	// Leaving and OutsideZone report whether the active rules exclude the host, independently of State.
	Leaving     bool `json:"leaving"`
	OutsideZone bool `json:"outside-zone"`
	// MaxShare is the operators' limit for the share of new flows, zero for none.
	MaxShare float64 `json:"max-share"`
	// Weight is the published weight; LearnedWeight is the learned capacity relative to the mean of the service.
	Weight        float64 `json:"weight"`
	LearnedWeight float64 `json:"learned-weight"`
	// OpenFlows is the number of flows to the host that this entry VM owns.
	OpenFlows int `json:"open-flows"`
	// FirstAnswerMS is the mean response time in milliseconds, from a request to its first payload.
	FirstAnswerMS float64 `json:"first-answer-ms"`
	// Refusals is the number of refused flows by reason.
	Refusals map[string]int64 `json:"refusals"`
}

// Flow is the state of a flow as seen by the queried entry VM.
type Flow struct {
	Protocol    string         `json:"protocol"`
	Source      netip.AddrPort `json:"source"`
	Destination netip.AddrPort `json:"destination"`
	// Service is the service at the destination, or empty if there is none.
	Service string `json:"service"`
	// Owner and Backup are the entry VMs that rank first and second for the flow.
	Owner  string `json:"owner"`
	Backup string `json:"backup"`
	// Host and State describe the pin; they are empty if this VM has none.
	Host  string `json:"host"`
	State string `json:"state"`
	// Why is the reason for the choice of the host, or for the lack of one.
	Why string `json:"why"`
}

// Drain is the response to the request for a graceful shutdown.
type Drain struct {
	Name string `json:"name"`
	// OpenFlows is the number of flows whose ownership is handed over.
	OpenFlows int `json:"open-flows"`
	// TimeoutSeconds is the time after which the process stops even if the handover is incomplete.
	TimeoutSeconds float64 `json:"timeout-seconds"`
}
