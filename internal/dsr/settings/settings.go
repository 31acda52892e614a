package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/masticspar/masticspar/internal/document"
)

// Forwarding is the value of the setting forwarding that selects token mode.
const Forwarding = "token"

// Values of the setting placement. PlacementAnswerTime selects servers by response time and load. PlacementHash, a
// baseline for measurements, selects them by zone and the hash of the flow.
const (
	PlacementAnswerTime = "answer-time"
	PlacementHash       = "hash"
)

// lostReplyMargin is the time, within the settle time, that is reserved for detecting a lost reply of the store and
// reading the state again.
const lostReplyMargin = time.Second

// Settings are the settings of one entry VM in token mode.
type Settings struct {
	// Forwarding selects the forwarding mode and must be "token".
	Forwarding string `json:"forwarding"`
	// Name is the name of the VM, which is unique in the system.
	Name string `json:"name"`
	// Region and AvailabilityZone are where the VM runs.
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability-zone"`

	// DataAddress is where the VM receives packets of callers.
	DataAddress netip.AddrPort `json:"data-address"`
	// CallerPort is the port on which callers receive packets; 0 selects the port of DataAddress.
	CallerPort int `json:"caller-port"`
	// OperatorAddress is where readiness is served over HTTP.
	OperatorAddress netip.AddrPort `json:"operator-address"`
	// MetricsAddress is where metrics are served over HTTP.
	MetricsAddress netip.AddrPort `json:"metrics-address"`
	// PeerAddress is where the VM receives messages of other entry VMs; empty disables them.
	PeerAddress netip.AddrPort `json:"peer-address"`
	// Contacts are the addresses of the entry VMs to join through at the start, with the port of their PeerAddress.
	Contacts []netip.AddrPort `json:"contacts,omitempty"`
	// Size is the size of the VM relative to others; large VMs read the store on behalf of the others.
	Size float64 `json:"size"`
	// Store is the address of the store that holds the registry and the configuration.
	Store netip.AddrPort `json:"store"`

	// SettleTime is how long after a fault the bounds below may be exceeded.
	SettleTime document.Duration `json:"settle-time"`
	// DrainBound is the time after which a leaving backend server must not receive new flows.
	DrainBound document.Duration `json:"drain-bound"`
	// ConfigurationBound is the time within which a new configuration must become active.
	ConfigurationBound document.Duration `json:"configuration-bound"`
	// EvacuationBound is the time after which a server of an evacuated zone must not receive new flows; 0 sets no bound.
	EvacuationBound document.Duration `json:"evacuation-bound"`
	// StopTimeout is the maximum time from SIGTERM to the end of the process.
	StopTimeout document.Duration `json:"stop-timeout"`
	// FlowLifetime is the maximum age of an open flow.
	FlowLifetime document.Duration `json:"flow-lifetime"`
	// MemoryMB is the memory of the VM in megabytes.
	MemoryMB float64 `json:"memory-mb"`
	// Placement is "answer-time" or, as a baseline for measurements, "hash".
	Placement string `json:"placement"`
}

// SetDefaults sets the fields that a file may leave out.
func (s *Settings) SetDefaults() {
	s.SettleTime = document.Duration(4 * time.Second)
	s.DrainBound = document.Duration(3 * time.Second)
	s.ConfigurationBound = document.Duration(3 * time.Second)
	s.StopTimeout = document.Duration(6 * time.Second)
	s.FlowLifetime = document.Duration(time.Minute)
	s.MemoryMB = 256
	s.Size = 1
	s.Placement = PlacementAnswerTime
}

// Decode parses settings, rejecting unknown fields, and validates them. Errors name file.
func Decode(file string, b []byte) (*Settings, error) {
	s := &Settings{}
	if err := document.Decode(file, b, s); err != nil {
		return nil, err
	}
	if err := s.Validate(file); err != nil {
		return nil, err
	}
	if s.CallerPort == 0 {
		s.CallerPort = int(s.DataAddress.Port())
	}
	return s, nil
}

// Validate returns an error that describes the first setting outside its allowed range. Errors name file.
func (s *Settings) Validate(file string) error {
	c := &document.Checker{Document: file}
	c.Require(s.Forwarding == Forwarding, "forwarding", `"token"`, s.Forwarding)
	c.Name("name", s.Name)
	c.Name("region", s.Region)
	c.Name("availability-zone", s.AvailabilityZone)
	c.Address("data-address", s.DataAddress)
	c.Integer("caller-port", s.CallerPort, 0, 65535)
	c.Address("operator-address", s.OperatorAddress)
	c.Address("metrics-address", s.MetricsAddress)
	c.Address("store", s.Store)
	if s.PeerAddress.IsValid() {
		c.Address("peer-address", s.PeerAddress)
	}
	for i, a := range s.Contacts {
		c.Address(fmt.Sprintf("contacts[%d]", i), a)
	}
	c.Require(s.Size >= 0.001 && s.Size <= 1000, "size", "a number from 0.001 to 1000", s.Size)
	c.Duration("settle-time", s.SettleTime, 500*time.Millisecond, time.Minute)
	c.Duration("drain-bound", s.DrainBound, 500*time.Millisecond, time.Hour)
	c.Duration("configuration-bound", s.ConfigurationBound, 500*time.Millisecond, time.Hour)
	if s.EvacuationBound != 0 {
		c.Duration("evacuation-bound", s.EvacuationBound, 500*time.Millisecond, time.Hour)
	}
	c.Duration("stop-timeout", s.StopTimeout, 500*time.Millisecond, time.Hour)
	c.Duration("flow-lifetime", s.FlowLifetime, time.Second, 24*time.Hour)
	c.Require(s.MemoryMB >= 16 && s.MemoryMB <= 1<<20, "memory-mb", "a number from 16 to 1048576", s.MemoryMB)
	c.Require(s.Placement == PlacementAnswerTime || s.Placement == PlacementHash,
		"placement", `"answer-time" or "hash"`, s.Placement)
	return c.Err()
}

// WatchTimeout returns the timeout of a long poll for changes of the store. A lost reply must be detected within the
// settle time and within Bound.
func (s *Settings) WatchTimeout() time.Duration {
	settle := time.Duration(s.SettleTime)
	return min(max(settle/2, settle-lostReplyMargin), s.Bound())
}

// Bound returns the time within which any change of the store must take effect: the smallest of DrainBound,
// ConfigurationBound and, if it is set, EvacuationBound.
func (s *Settings) Bound() time.Duration {
	bound := min(s.DrainBound, s.ConfigurationBound)
	if s.EvacuationBound > 0 {
		bound = min(bound, s.EvacuationBound)
	}
	return time.Duration(bound)
}
