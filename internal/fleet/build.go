package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/inventory"
	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/rules"
)

// build creates the services and hosts from the active documents. It modifies none of the previous services and hosts,
// so that callers may continue to read those that they hold.
func (c *Catalog) build() {
	c.generation++
	c.services = nil
	c.byListener, c.byAddress = map[listener]*Service{}, map[netip.Addr]serviceHost{}
	if c.serviceIDs == nil {
		c.serviceIDs, c.hostIDs = map[string]uint32{}, map[string]uint32{}
	}
	byName := map[string]*Service{}
	if c.inventory != nil {
		for i := range c.inventory.Services {
			s := c.newService(&c.inventory.Services[i])
			byName[s.Name] = s
			c.services = append(c.services, s)
		}
		for i := range c.inventory.Hosts {
			h := &c.inventory.Hosts[i]
			s := byName[h.Service]
			s.Hosts = append(s.Hosts, c.newHost(h))
		}
	}
	slices.SortFunc(c.services, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	for _, s := range c.services {
		slices.SortFunc(s.Hosts, func(a, b *Host) int { return cmp.Compare(a.Name, b.Name) })
		for _, h := range s.Hosts {
			c.byAddress[h.Address.Addr()] = serviceHost{s, h}
		}
	}
	c.ignoredNames = c.applyRules(byName)
	c.Counters.SetGauge("rules-ignored", int64(c.ignoredNames))
}

func (c *Catalog) newService(d *inventory.Service) *Service {
	s := &Service{
		ID: assignID(c.serviceIDs, d.Name), Name: d.Name, Protocol: packet.TCP, Addresses: d.Addresses,
		OwnerGroup: d.OwnerGroup, IdleTimeout: time.Duration(d.IdleTimeout), WarmUp: time.Duration(d.WarmUp),
		MaxWait: time.Duration(d.MaxWait),
	}
	if d.Protocol == "udp" {
		s.Protocol = packet.UDP
	}
	for _, a := range d.Addresses {
		c.byListener[listener{a.Addr().As16(), a.Port(), s.Protocol}] = s
	}
	return s
}

func (c *Catalog) newHost(d *inventory.Host) *Host {
	return &Host{
		ID: assignID(c.hostIDs, d.Name), Name: d.Name, Zone: d.AvailabilityZone, Address: d.Address, Weight: d.Weight,
		Slots: d.Slots, Connections: d.Connections, Started: d.Started,
	}
}

// assignID returns the ID of a name and assigns the next one to a new name. Names are never removed, because pins and
// the sums of package capacity may still refer to a host that is removed from the inventory and added again.
func assignID(ids map[string]uint32, name string) uint32 {
	id, ok := ids[name]
	if !ok {
		id = uint32(len(ids) + 1)
		ids[name] = id
	}
	return id
}

// applyRules applies the rules to the services and returns the number of names that are not in the inventory. The rules
// for such a name take effect with an inventory that has the name, so the order in which documents arrive does not
// matter.
func (c *Catalog) applyRules(services map[string]*Service) int {
	if c.rules == nil {
		return 0
	}
	hosts, zones := map[string]*Host{}, map[string]bool{}
	for _, s := range c.services {
		for _, h := range s.Hosts {
			hosts[h.Name] = h
		}
	}
	if c.inventory != nil {
		for _, z := range c.inventory.AvailabilityZones {
			zones[z] = true
		}
	}
	ignored := 0
	for _, name := range c.rules.Leaving {
		if h := hosts[name]; h != nil {
			h.Leaving = true
		} else {
			ignored++
		}
	}
	for _, r := range c.rules.Hosts {
		if h := hosts[r.Name]; h != nil {
			h.MaxShare = r.MaxShare
		} else {
			ignored++
		}
	}
	for _, r := range c.rules.Services {
		ignored += restrictZones(services[r.Name], r, zones)
	}
	return ignored
}

// restrictZones marks the hosts of s outside the zones of the rule. It returns the number of names in the rule that are
// not in the inventory.
func restrictZones(s *Service, r rules.Service, zones map[string]bool) int {
	if s == nil {
		return 1
	}
	ignored := 0
	for _, z := range r.AvailabilityZones {
		if !zones[z] {
			ignored++
		}
	}
	// If all zones are unknown, the rule is most likely misspelled and restricts nothing.
	if ignored == len(r.AvailabilityZones) {
		return ignored
	}
	for _, h := range s.Hosts {
		h.OutsideZone = !slices.Contains(r.AvailabilityZones, h.Zone)
	}
	return ignored
}
