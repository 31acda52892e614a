package rules

import (
	"fmt"

	"github.com/masticspar/masticspar/internal/document"
)

// Document is one version of the rules.
type Document struct {
	// Version orders the documents; the one with the greatest version is active.
	Version uint64 `json:"version"`
	// Leaving are the names of the hosts that receive no new flows.
	Leaving []string `json:"leaving,omitempty"`
	// Services are the services whose new flows are restricted to availability zones.
	Services []Service `json:"services,omitempty"`
	// Hosts are the hosts whose share of new flows is limited.
	Hosts []Host `json:"hosts,omitempty"`
}

// Service restricts new flows of a service to availability zones.
type Service struct {
	// Name is the name of the service in the inventory.
	Name string `json:"name"`
	// AvailabilityZones are the names of the zones whose hosts may receive new flows; at least one.
	AvailabilityZones []string `json:"availability-zones"`
}

// Host limits the share of a host.
type Host struct {
	// Name is the name of the host in the inventory.
	Name string `json:"name"`
	// MaxShare is the greatest share of the new flows of its service, above 0 and at most 1.
	MaxShare float64 `json:"max-share"`
}

// Decode decodes b strictly and validates the document. Faults are returned as *document.Error.
func Decode(b []byte) (*Document, error) {
	d := &Document{}
	if err := document.Decode("rules", b, d); err != nil {
		return nil, err
	}
	if err := d.Validate(); err != nil {
		return nil, err
	}
	return d, nil
}

// Validate returns the first fault of the document as a *document.Error, or nil.
func (d *Document) Validate() error {
	c := &document.Checker{Document: "rules"}
	c.Version(d.Version)
	leaving := map[string]bool{}
	for i, name := range d.Leaving {
		field := fmt.Sprintf("leaving[%d]", i)
		c.Name(field, name)
		document.Unique(c, leaving, field, "a unique name", name)
	}
	services := map[string]bool{}
	for i, s := range d.Services {
		at := fmt.Sprintf("services[%d].", i)
		c.Name(at+"name", s.Name)
		document.Unique(c, services, at+"name", "a unique name", s.Name)
		c.Require(len(s.AvailabilityZones) > 0, at+"availability-zones", "a list of at least 1 availability zone", "none")
		zones := map[string]bool{}
		for j, zone := range s.AvailabilityZones {
			field := fmt.Sprintf("%savailability-zones[%d]", at, j)
			c.Name(field, zone)
			document.Unique(c, zones, field, "a unique name", zone)
		}
	}
	hosts := map[string]bool{}
	for i, h := range d.Hosts {
		at := fmt.Sprintf("hosts[%d].", i)
		c.Name(at+"name", h.Name)
		document.Unique(c, hosts, at+"name", "a unique name", h.Name)
		c.Require(h.MaxShare > 0 && h.MaxShare <= 1, at+"max-share", "a number above 0 and at most 1", h.MaxShare)
	}
	return c.Err()
}
