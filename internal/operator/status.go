package operator

import "net/netip"

// Status is what an entry VM tells about itself, its peers and its services.
type Status struct {
	// Name is the name of the entry VM.
	Name string `json:"name"`
	// Ready says that the start or the refresh after a pause is over.
	Ready bool `json:"ready"`
	// Draining says that the VM hands over its flows and is about to stop.
	Draining bool `json:"draining"`
	// Inventory and Rules are the documents in force.
	Inventory Document `json:"inventory"`
	Rules     Document `json:"rules"`
	// IgnoredRules is the number of names in the rules that the inventory does not have.
	IgnoredRules int `json:"ignored-rules"`
	// LastRefusal is the last invalid or conflicting document; nil means that there was none.
	LastRefusal *Refusal `json:"last-refusal,omitempty"`
	// Peers are the other entry VMs.
	Peers []Peer `json:"peers"`
	// Services are all services in the order of their names.
	Services []Service `json:"services"`
}

// Document is a document in force.
type Document struct {
	// Version is zero when there is none.
	Version uint64 `json:"version"`
	// Hash is the hash of the content in 16 hexadecimal digits.
	Hash string `json:"hash"`
	// AgeSeconds is the time since the document was accepted.
	AgeSeconds float64 `json:"age-seconds"`
	// Source is the platform or the peer that it came from.
	Source string `json:"source"`
}

// Refusal is a document that was refused.
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
	// State is serving, warming, leaving, outside-zone or bad.
	State string `json:"state"`
	// Leaving and OutsideZone are the rules in force, whatever the state.
	Leaving     bool `json:"leaving"`
	OutsideZone bool `json:"outside-zone"`
	// MaxShare is the operators' limit, zero for none.
	MaxShare float64 `json:"max-share"`
	// Weight is the published weight, LearnedWeight the learned capacity relative to the service's mean.
	Weight        float64 `json:"weight"`
	LearnedWeight float64 `json:"learned-weight"`
	// OpenFlows are the flows that this entry VM owns.
	OpenFlows int `json:"open-flows"`
	// FirstAnswerMS is the mean time to the first answer in milliseconds.
	FirstAnswerMS float64 `json:"first-answer-ms"`
	// Refusals counts refused flows by reason.
	Refusals map[string]int64 `json:"refusals"`
}

// Flow is what the asked entry VM knows about a flow.
type Flow struct {
	Protocol    string         `json:"protocol"`
	Source      netip.AddrPort `json:"source"`
	Destination netip.AddrPort `json:"destination"`
	// Service is empty when no service has the destination.
	Service string `json:"service"`
	// Owner and Backup are the entry VMs that rank first and second.
	Owner  string `json:"owner"`
	Backup string `json:"backup"`
	// Host and State describe the pin; they are empty when this VM has none.
	Host  string `json:"host"`
	State string `json:"state"`
	// Why explains the host, or why there is none.
	Why string `json:"why"`
}

// Drain is the answer to the request for a graceful shutdown.
type Drain struct {
	Name string `json:"name"`
	// OpenFlows are the flows whose ownership moves.
	OpenFlows int `json:"open-flows"`
	// TimeoutSeconds is the time after which the process stops at the latest.
	TimeoutSeconds float64 `json:"timeout-seconds"`
}
