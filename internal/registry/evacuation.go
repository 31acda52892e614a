package registry

import (
	"slices"
	"strings"
	"time"

	"github.com/masticspar/masticspar/internal/history"
)

// evacuationLapse is how long an evacuation stays in force after a full read during or shortly after an outage or a
// restore of the store does not list it. The operators may have to write it again after a restore.
const evacuationLapse = 5 * time.Second

// evacuation is what is known of the evacuation of one availability zone.
type evacuation struct {
	position history.Position // of the last change
	active   bool
	lapsed   bool          // whether the last full read did not list it
	lapsedAt time.Duration // when it lapsed
}

// Evacuated reports whether servers of an availability zone must not receive new flows.
func (r *Registry) Evacuated(zone string) bool {
	z := r.zones[zone]
	return z != nil && z.active
}

// EvacuatedZones returns the names of the availability zones that are evacuated, sorted.
func (r *Registry) EvacuatedZones() []string {
	var list []string
	for name, z := range r.zones {
		if z.active {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Evacuations returns the evacuations in force as changes, sorted by zone.
func (r *Registry) Evacuations() []Change {
	var list []Change
	for name, z := range r.zones {
		if z.active {
			list = append(list, Change{Zone: name, Evacuated: true, Era: z.position.Era, Revision: z.position.Revision})
		}
	}
	slices.SortFunc(list, func(a, b Change) int { return strings.Compare(a.Zone, b.Zone) })
	return list
}

// Hosts returns the lifetimes of a service that receive new flows. The caller must not modify the list, which is valid
// until the next change of the registry.
func (r *Registry) Hosts(service string) []*Lifetime {
	if list, ok := r.available[service]; ok {
		return list
	}
	list := r.services[service]
	if slices.ContainsFunc(list, func(l *Lifetime) bool { return r.Evacuated(l.AvailabilityZone) }) {
		list = slices.DeleteFunc(slices.Clone(list), func(l *Lifetime) bool { return r.Evacuated(l.AvailabilityZone) })
	}
	if r.available == nil {
		r.available = map[string][]*Lifetime{}
	}
	r.available[service] = list
	return list
}

// HasEvacuatedHosts reports whether a service has servers that receive no new flows only because of evacuations.
func (r *Registry) HasEvacuatedHosts(service string) bool {
	return len(r.services[service]) > len(r.Hosts(service))
}

func (r *Registry) applyEvacuation(now time.Duration, c *Change) bool {
	z := r.zones[c.Zone]
	if z == nil {
		if !c.Evacuated {
			return false
		}
		if r.zones == nil {
			r.zones = map[string]*evacuation{}
		}
		z = &evacuation{}
		r.zones[c.Zone] = z
	}
	if c.position().Compare(z.position) < 0 { // A later change was already applied.
		return false
	}
	z.position = c.position()
	z.lapsed = false
	return r.setEvacuated(now, c.Zone, z, c.Evacuated)
}

func (r *Registry) setEvacuated(now time.Duration, zone string, z *evacuation, active bool) bool {
	if z.active == active {
		return false
	}
	z.active, z.lapsed = active, false
	r.available = nil
	if !active {
		r.markZoneCold(now, zone)
	}
	if r.EvacuationChanged != nil {
		r.EvacuationChanged(now, zone, active)
	}
	return true
}

// markZoneCold treats the servers of a zone that is taken back as cold. They may have been restarted shortly before, and
// the reports of their restarts may be late.
func (r *Registry) markZoneCold(now time.Duration, zone string) {
	for service, list := range r.services {
		limit := r.config.ColdLimit(service)
		if limit.Rate == 0 {
			continue
		}
		for _, l := range list {
			if l.AvailabilityZone == zone {
				l.returnedUntil = now + limit.WarmUp
				l.ColdUntil = max(l.ColdUntil, l.returnedUntil)
			}
		}
	}
}

// endMissingEvacuations ends the evacuations that a full read does not list. While the store is unavailable or was just
// restored, they lapse first.
func (r *Registry) endMissingEvacuations(now time.Duration, changes []Change, at history.Position, storeDown bool) {
	for zone, z := range r.zones {
		listed := slices.ContainsFunc(changes, func(c Change) bool { return c.Zone == zone && c.Evacuated })
		if listed || !z.active || at.Compare(z.position) < 0 {
			continue
		}
		if !storeDown {
			z.position = at
			r.setEvacuated(now, zone, z, false)
		} else if !z.lapsed {
			z.lapsed, z.lapsedAt = true, now
		}
	}
}

// sweepEvacuations ends the evacuations that lapsed.
func (r *Registry) sweepEvacuations(now time.Duration) {
	for zone, z := range r.zones {
		if z.lapsed && now-z.lapsedAt >= evacuationLapse {
			r.setEvacuated(now, zone, z, false)
		}
	}
}
