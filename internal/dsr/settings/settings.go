package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/masticspar/masticspar/internal/document"
)

// Forwarding is the value of the field forwarding that selects this mode.
const Forwarding = "token"

// Values of the field placement. PlacementHash is the baseline of measurements.
const (
	PlacementAnswerTime = "answer-time"
	PlacementHash       = "hash"
)

// lostReplyMargin is the part of the settle time in which a lost answer of the store is noticed and the state is read again.
const lostReplyMargin = time.Second

// Settings are the settings of one entry VM that forwards by token.
type Settings struct {
	// Forwarding selects the mode; it is "token".
	Forwarding string `json:"forwarding"`
	// Name is the name of the VM, unique in the whole system.
	Name string `json:"name"`
	// Region and AvailabilityZone are where the VM runs.
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability-zone"`

	// DataAddress receives the packets of callers.
	DataAddress netip.AddrPort `json:"data-address"`
	// CallerPort is the port at which callers receive packets; zero selects the port of DataAddress.
	CallerPort int `json:"caller-port"`
	// OperatorAddress serves readiness by HTTP.
	OperatorAddress netip.AddrPort `json:"operator-address"`
	// MetricsAddress serves the metrics by HTTP.
	MetricsAddress netip.AddrPort `json:"metrics-address"`
	// PeerAddress receives messages of other entry VMs; empty works alone.
	PeerAddress netip.AddrPort `json:"peer-address"`
	// Contacts are the addresses of entry VMs to ask at the start; their port is that of PeerAddress.
	Contacts []netip.AddrPort `json:"contacts,omitempty"`
	// Size is the relative size of the VM; large ones read the store for the others.
	Size float64 `json:"size"`
	// Store is the address of the store with the asset register and the configuration.
	Store netip.AddrPort `json:"store"`

	// SettleTime is the time after a fault from which on the bounds below hold again.
	SettleTime document.Duration `json:"settle-time"`
	// DrainBound is the time after which a leaving backend server must get no new flow.
	DrainBound document.Duration `json:"drain-bound"`
	// ConfigurationBound is the time after which a new configuration must be in force.
	ConfigurationBound document.Duration `json:"configuration-bound"`
	// StopTimeout is the time from SIGTERM to the end of the process at the latest.
	StopTimeout document.Duration `json:"stop-timeout"`
	// FlowLifetime is the age up to which an open flow is kept.
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

// Decode reads settings strictly and validates them; file is the name that errors carry.
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

// Validate returns the first fault of the settings; file is the name that errors carry.
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
	c.Duration("stop-timeout", s.StopTimeout, 500*time.Millisecond, time.Hour)
	c.Duration("flow-lifetime", s.FlowLifetime, time.Second, 24*time.Hour)
	c.Require(s.MemoryMB >= 16 && s.MemoryMB <= 1<<20, "memory-mb", "a number from 16 to 1048576", s.MemoryMB)
	c.Require(s.Placement == PlacementAnswerTime || s.Placement == PlacementHash, "placement", `"answer-time" or "hash"`, s.Placement)
	return c.Err()
}

// WatchTimeout returns the longest wait for a change of the store: a lost answer must be noticed within the settle time, and
// within the bounds.
func (s *Settings) WatchTimeout() time.Duration {
	settle := time.Duration(s.SettleTime)
	return min(max(settle/2, settle-lostReplyMargin), s.Bound())
}

// Bound returns the shortest time in which a change of the store must be in force.
func (s *Settings) Bound() time.Duration {
	return time.Duration(min(s.DrainBound, s.ConfigurationBound))
}
