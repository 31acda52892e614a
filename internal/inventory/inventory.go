package inventory

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	"github.com/masticspar/masticspar/internal/document"
)

// Defaults of fields that a document omits. DefaultSlots and DefaultConnections are the values that all hosts usually
// have, because omitting them keeps a document of 5,700 hosts below document.MaxSize.
const (
	DefaultOwnerGroup     = 8
	DefaultTCPIdleTimeout = time.Hour
	DefaultUDPIdleTimeout = 2 * time.Minute
	DefaultWarmUp         = 2 * time.Minute
	DefaultMaxWait        = 2 * time.Second
	DefaultSlots          = 2
	DefaultConnections    = 2000
)

// idleTimeoutUnset marks an idle timeout that the document omits; an explicit 0s is rejected as out of range.
const idleTimeoutUnset document.Duration = math.MinInt64

// Document is one version of the inventory.
type Document struct {
	// Version orders the documents; the one with the greatest version is active.
	Version uint64 `json:"version"`
	// AvailabilityZones are the names of the zones that hosts may refer to.
	AvailabilityZones []string `json:"availability-zones,omitempty"`
	// Services are the services that hosts may refer to.
	Services []Service `json:"services,omitempty"`
	// Hosts are the VMs of the backend servers of all services.
	Hosts []Host `json:"hosts,omitempty"`
}

// Service is a service that callers connect to.
type Service struct {
	// Name is unique among the services.
	Name string `json:"name"`
	// Protocol is tcp or udp.
	Protocol string `json:"protocol"`
	// Addresses are the addresses and ports that callers connect to; each is unique for its protocol.
	Addresses []netip.AddrPort `json:"addresses"`
	// OwnerGroup is the number of entry VMs that own flows of the service, from 1 to 64.
	OwnerGroup int `json:"owner-group"`
	// IdleTimeout is the time without packets after which an established flow ends, from 1 s to 24 h. The default depends
	// on the protocol.
	IdleTimeout document.Duration `json:"idle-timeout,omitzero"`
	// WarmUp is the time in which a new host reaches its full share, at most 1 h.
	WarmUp document.Duration `json:"warm-up"`
	// MaxWait is the expected waiting time of a new request above which flows are refused, from 10 ms to 10 min.
	MaxWait document.Duration `json:"max-wait"`
}

// Host is the VM of one backend server.
type Host struct {
	// Name is unique among the hosts.
	Name string `json:"name"`
	// Service is the name of the service that the host serves.
	Service string `json:"service"`
	// AvailabilityZone is the name of the zone that the host runs in.
	AvailabilityZone string `json:"availability-zone"`
	// Address is the tunnel address; its IP address is unique among the hosts.
	Address netip.AddrPort `json:"address"`
	// Weight is the relative speed, from 0.001 to 1000; the default is 1.
	Weight float64 `json:"weight"`
	// Slots is the number of requests that the host processes concurrently, from 1 to 4096.
	Slots int `json:"slots"`
	// Connections is the greatest number of open flows across all entry VMs, from 1 to 1,000,000.
	Connections int `json:"connections"`
	// Started is when the host started; zero if unknown.
	Started time.Time `json:"started,omitzero"`
}

// SetDefaults sets the fields that a document may omit.
func (s *Service) SetDefaults() {
	s.OwnerGroup = DefaultOwnerGroup
	s.IdleTimeout = idleTimeoutUnset
	s.WarmUp = document.Duration(DefaultWarmUp)
	s.MaxWait = document.Duration(DefaultMaxWait)
}

// SetDefaults sets the fields that a document may omit.
func (h *Host) SetDefaults() {
	h.Weight, h.Slots, h.Connections = 1, DefaultSlots, DefaultConnections
}

// Decode decodes b strictly, applies the defaults and validates the document. Faults are returned as *document.Error.
func Decode(b []byte) (*Document, error) {
	d := &Document{}
	if err := document.Decode("inventory", b, d); err != nil {
		return nil, err
	}
	for i := range d.Services {
		if s := &d.Services[i]; s.IdleTimeout == idleTimeoutUnset {
			s.IdleTimeout = document.Duration(DefaultTCPIdleTimeout)
			if s.Protocol == "udp" {
				s.IdleTimeout = document.Duration(DefaultUDPIdleTimeout)
			}
		}
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return d, nil
}

// Validate returns the first fault of the document as a *document.Error, or nil.
func (d *Document) Validate() error {
	c := &document.Checker{Document: "inventory"}
	c.Version(d.Version)
	zones := map[string]bool{}
	for i, name := range d.AvailabilityZones {
		field := fmt.Sprintf("availability-zones[%d]", i)
		c.Name(field, name)
		document.Unique(c, zones, field, "a unique name", name)
	}
	services := d.checkServices(c)
	d.checkHosts(c, zones, services)
	return c.Err()
}

func (d *Document) checkServices(c *document.Checker) map[string]bool {
	type listener struct {
		address  netip.AddrPort
		protocol string
	}
	names, listeners := map[string]bool{}, map[listener]bool{}
	for i, s := range d.Services {
		at := fmt.Sprintf("services[%d].", i)
		c.Name(at+"name", s.Name)
		document.Unique(c, names, at+"name", "a unique name", s.Name)
		c.Require(s.Protocol == "tcp" || s.Protocol == "udp", at+"protocol", "tcp or udp", fmt.Sprintf("%q", s.Protocol))
		c.Require(len(s.Addresses) > 0, at+"addresses", "a list of at least 1 address", "none")
		for j, a := range s.Addresses {
			field := fmt.Sprintf("%saddresses[%d]", at, j)
			c.Address(field, a)
			document.Unique(c, listeners, field, "a unique address and protocol", listener{a, s.Protocol})
		}
		c.Integer(at+"owner-group", s.OwnerGroup, 1, 64)
		c.Duration(at+"idle-timeout", s.IdleTimeout, time.Second, 24*time.Hour)
		c.Duration(at+"warm-up", s.WarmUp, 0, time.Hour)
		c.Duration(at+"max-wait", s.MaxWait, 10*time.Millisecond, 10*time.Minute)
	}
	return names
}

func (d *Document) checkHosts(c *document.Checker, zones, services map[string]bool) {
	names, addresses := map[string]bool{}, map[netip.Addr]bool{}
	for i, h := range d.Hosts {
		at := fmt.Sprintf("hosts[%d].", i)
		c.Name(at+"name", h.Name)
		document.Unique(c, names, at+"name", "a unique name", h.Name)
		if !services[h.Service] {
			c.Require(false, at+"service", "the name of a service of this document", fmt.Sprintf("%q", h.Service))
		}
		if !zones[h.AvailabilityZone] {
			c.Require(false, at+"availability-zone",
				"one of availability-zones ("+strings.Join(d.AvailabilityZones, ", ")+")", fmt.Sprintf("%q", h.AvailabilityZone))
		}
		c.Address(at+"address", h.Address)
		// The outer source IP address of a return packet identifies the host, so two hosts cannot share an address.
		document.Unique(c, addresses, at+"address", "a unique IP address", h.Address.Addr())
		c.Require(h.Weight >= 0.001 && h.Weight <= 1000, at+"weight", "a number from 0.001 to 1000", h.Weight)
		c.Integer(at+"slots", h.Slots, 1, 4096)
		c.Integer(at+"connections", h.Connections, 1, 1_000_000)
	}
}
