package configcheck

import (
	"fmt"
	"net/netip"
	"strings"
)

// checkRoutes finds routes that no flow matches.
func (c *checker) checkRoutes() {
	if c.Document.Used == nil {
		return // The addresses are known only if all of them can be decoded.
	}
	last := map[netip.AddrPort]int{} // the last route of an address is in force
	for i := range c.Document.Used.Routes {
		last[c.Document.Used.Routes[i].Address] = i
	}
	for i := range c.Document.Routes {
		r, address := &c.Document.Routes[i], c.Document.Used.Routes[i].Address
		switch j := last[address]; {
		case !address.Addr().Is4():
			c.addError(routePath(i, "host"), r.Host, "never matches: the packets of callers have IPv4 addresses")
		case address.Port() == 0:
			c.addError(routePath(i, "prefix"), r.Prefix, "never matches: the port is 0")
		case j != i:
			c.addError(routePath(i, "host"), r.Host, "never matches: hidden by routes[%d] with the same address and port %v",
				j, address)
		}
	}
}

// checkTargets finds targets that receive no flows.
func (c *checker) checkTargets() {
	known := map[string]bool{}
	for _, s := range c.Document.Services {
		known[s.Name] = true
	}
	for i := range c.Document.Routes {
		r := &c.Document.Routes[i]
		counted := false
		for j, t := range r.Split {
			path := routePath(i, fmt.Sprintf("traffic_split[%d].weight", j))
			switch {
			case t.Counts():
				counted = true
			case t.Weight == 0:
				c.addWarning(path, t.Weight, "never matches: the service %q receives no flows", t.Service)
			default:
				c.addError(path, t.Weight, "never matches: the weight of the service %q must be a finite number above 0",
					t.Service)
			}
		}
		if len(r.Split) > 0 && !counted && r.Service != "" {
			c.addWarning(routePath(i, "traffic_split"), "", "no weight is above 0: all flows go to the service %q", r.Service)
		}
		names, paths := targetsOf(i, r)
		for j, name := range names {
			if len(known) > 0 && !known[name] {
				c.addError(paths[j], name,
					"is not a service: its flows are reset, because servers of unlisted services are not used")
			}
		}
	}
}

// checkServices finds services that no route uses and those that are listed twice.
func (c *checker) checkServices() {
	used := map[string]bool{}
	for i := range c.Document.Routes {
		names, _ := targetsOf(i, &c.Document.Routes[i])
		for _, name := range names {
			used[name] = true
		}
	}
	first := map[string]int{}
	for i, s := range c.Document.Services {
		if j, ok := first[s.Name]; ok {
			c.addError(servicePath(i, "name"), s.Name,
				"is also the name of services[%d]: the first of them with a cold_per_s above 0 counts", j)
			continue
		}
		first[s.Name] = i
		if !used[s.Name] {
			c.addWarning(servicePath(i, "name"), s.Name, "is not used by any route")
		}
	}
}

// checkState finds routes that have no server for new flows. It also reports that the version in force is unknown.
func (c *checker) checkState() {
	if fault := c.State.ConfigurationFault; fault != "" {
		c.addWarning("version", c.Document.Version,
			"cannot be compared: entry VMs refuse the configuration in the store and use an earlier one: %s", fault)
	}
	evacuated := map[string]bool{}
	for _, zone := range c.State.EvacuatedZones {
		evacuated[zone] = true
	}
	available, listed := map[string]int{}, map[string]int{}
	for i := range c.State.Hosts {
		h := &c.State.Hosts[i]
		if h.Leaving {
			continue
		}
		if listed[h.Service]++; !evacuated[h.AvailabilityZone] {
			available[h.Service]++
		}
	}
	zones := strings.Join(c.State.EvacuatedZones, ", ")
	for i := range c.Document.Routes {
		names, paths := targetsOf(i, &c.Document.Routes[i])
		for j, name := range names {
			switch {
			case available[name] > 0:
			case listed[name] > 0:
				c.addError(paths[j], name, "has no server for new flows: all of its servers are in evacuated zones (%s)", zones)
			default:
				c.addWarning(paths[j], name, "has no server for new flows: none is registered as ready")
			}
		}
	}
}
