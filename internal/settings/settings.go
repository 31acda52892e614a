package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/masticspar/masticspar/internal/document"
)

// Settings are the settings of one entry VM.
type Settings struct {
	// Name is the name of the VM, unique in the whole system.
	Name string `json:"name"`
	// Region and AvailabilityZone are the location of the VM.
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability-zone"`
	// Size is the relative size of the VM, from 0.01 to 100; its share of the flows is proportional to it.
	Size float64 `json:"size"`

	// FabricAddress is the UDP address for encapsulated packets from the fabric and from hosts.
	FabricAddress netip.AddrPort `json:"fabric-address"`
	// Fabric are the addresses to which packets for callers are sent.
	Fabric []netip.AddrPort `json:"fabric"`
	// DataAddress is the UDP address for encapsulated packets from other entry VMs.
	DataAddress netip.AddrPort `json:"data-address"`
	// ControlAddress is the UDP address for QUIC connections from peers.
	ControlAddress netip.AddrPort `json:"control-address"`
	// OperatorAddress is the TCP address of the HTTP interface for operators and collectors.
	OperatorAddress netip.AddrPort `json:"operator-address"`
	// Contacts are control addresses of other entry VMs through which the process joins them at its start.
	Contacts []netip.AddrPort `json:"contacts,omitempty"`
	// Platform is the base URL of the configuration service.
	Platform string `json:"platform"`

	// CAFile, CertificateFile and KeyFile are PEM files for the mutual TLS between peers.
	CAFile          string `json:"ca-file"`
	CertificateFile string `json:"certificate-file"`
	KeyFile         string `json:"key-file"`

	// MTU is the maximum size of a caller's IP packet in bytes.
	MTU int `json:"mtu"`
	// FlowCapacity is the maximum number of open flows.
	FlowCapacity int `json:"flow-capacity"`
	// ControlBytesPerSecond is the byte budget for messages to peers.
	ControlBytesPerSecond int `json:"control-bytes-per-second"`
	// DrainTimeout is the time limit for the handover of flows before a planned stop.
	DrainTimeout document.Duration `json:"drain-timeout"`
}

// SetDefaults sets the fields that a file may omit.
func (s *Settings) SetDefaults() {
	s.Size = 1
	s.MTU = 1440
	// An entry VM holds 300,000 open flows; the remainder is reserved for the flows of a VM that fails.
	s.FlowCapacity = 500_000
	s.ControlBytesPerSecond = 4096
	s.DrainTimeout = document.Duration(30 * time.Second)
}

// Decode decodes and validates settings; errors name the file.
func Decode(file string, b []byte) (*Settings, error) {
	s := &Settings{}
	if err := document.Decode(file, b, s); err != nil {
		return nil, err
	}
	if err := s.Validate(file); err != nil {
		return nil, err
	}
	return s, nil
}

// Validate returns an error for the first invalid field, or nil; errors name the file.
func (s *Settings) Validate(file string) error {
	c := &document.Checker{Document: file}
	c.Name("name", s.Name)
	c.Name("region", s.Region)
	c.Name("availability-zone", s.AvailabilityZone)
	c.Require(s.Size >= 0.01 && s.Size <= 100, "size", "a number from 0.01 to 100", s.Size)
	s.checkAddresses(c)
	u, err := url.Parse(s.Platform)
	c.Require(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" &&
		u.RawQuery == "" && u.Fragment == "",
		"platform", "an http or https URL without a query", fmt.Sprintf("%q", s.Platform))
	c.Require(s.CAFile != "", "ca-file", "the name of a PEM file", "nothing")
	c.Require(s.CertificateFile != "", "certificate-file", "the name of a PEM file", "nothing")
	c.Require(s.KeyFile != "", "key-file", "the name of a PEM file", "nothing")
	// IPv6 requires an MTU of at least 1280 bytes; the maximum leaves room for the outer headers in a jumbo frame.
	c.Integer("mtu", s.MTU, 1280, 8900)
	c.Integer("flow-capacity", s.FlowCapacity, 1000, 10_000_000)
	c.Integer("control-bytes-per-second", s.ControlBytesPerSecond, 1024, 1<<20)
	c.Duration("drain-timeout", s.DrainTimeout, time.Second, 10*time.Minute)
	return c.Err()
}

func (s *Settings) checkAddresses(c *document.Checker) {
	// Only UDP addresses can conflict, as the operator address is the only TCP one.
	used := map[netip.AddrPort]bool{}
	for _, a := range []struct {
		field   string
		address netip.AddrPort
	}{
		{"fabric-address", s.FabricAddress},
		{"data-address", s.DataAddress},
		{"control-address", s.ControlAddress},
	} {
		c.Address(a.field, a.address)
		document.Unique(c, used, a.field, "an address that no other field has", a.address)
	}
	c.Address("operator-address", s.OperatorAddress)
	c.Require(len(s.Fabric) > 0, "fabric", "a list of at least 1 address", "none")
	fabric, contacts := map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	for i, a := range s.Fabric {
		field := fmt.Sprintf("fabric[%d]", i)
		c.Address(field, a)
		document.Unique(c, fabric, field, "a unique address", a)
	}
	for i, a := range s.Contacts {
		field := fmt.Sprintf("contacts[%d]", i)
		c.Address(field, a)
		document.Unique(c, contacts, field, "a unique address", a)
	}
}
