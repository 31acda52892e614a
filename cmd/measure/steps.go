package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/standin/backend"
	"github.com/masticspar/masticspar/internal/standin/site"
)

// host returns a host by the position of its service in the configuration and its number in the service.
func (r *run) host(service, n int) *site.Host {
	return r.site.Host(fmt.Sprintf("%s-%d", r.site.Config.Services[service].Name, n))
}

// mode returns a step that sets the mode of a host; fails reports whether flows on the host may break from then on.
func mode(service, n int, m backend.Mode, fails bool) func(r *run) {
	return func(r *run) {
		h := r.host(service, n)
		h.SetMode(r.site.Now, m)
		if fails {
			r.failed[h.Name] = true
		}
	}
}

// slow returns a step after which requests to a host take factor times as long.
func slow(service, n int, factor float64) func(r *run) {
	return mode(service, n, backend.Mode{Kind: backend.ModeSlow, Factor: factor}, false)
}

func stop(service, n int) func(r *run) {
	return mode(service, n, backend.Mode{Kind: backend.ModeDead}, true)
}

// silence returns a step after which a host accepts connections and never responds to a request.
func silence(service, n int) func(r *run) {
	return mode(service, n, backend.Mode{Kind: backend.ModeUnresponsive}, true)
}

func refuse(service, n int) func(r *run) {
	return mode(service, n, backend.Mode{Kind: backend.ModeRefuse}, true)
}

// stepChange returns a step that divides the speed of a host by factor and tracks the weight of the host from then on.
func stepChange(service, n int, factor float64) func(r *run) {
	return func(r *run) {
		slow(service, n, factor)(r)
		r.tracker = &weightTracker{host: r.host(service, n), at: r.site.Now}
	}
}

func kill(name string) func(r *run) {
	return func(r *run) { r.site.VM(name).Kill() }
}

// join returns a step that starts an entry VM. An empty zone selects the zone of the previous process with the same
// name.
func join(name, zone string, size uint32) func(r *run) {
	return func(r *run) {
		if v := r.site.VM(name); v != nil && zone == "" {
			zone = v.Zone
		}
		r.site.StartVM(site.Entry{Name: name, Zone: zone, Size: size})
	}
}

// replace returns a step that starts the entry VM name in the zone of old, and drains old 5 s later.
func replace(old, name string) func(r *run) {
	return func(r *run) {
		v := r.site.VM(old)
		join(name, v.Zone, v.Size)(r)
		r.site.After(5*time.Second, v.Drain)
	}
}

func pause(name string, d time.Duration) func(r *run) {
	return func(r *run) {
		v := r.site.VM(name)
		v.Pause()
		r.site.After(d, v.Resume)
	}
}

// leave returns a step that publishes a host as leaving. After 5 s, the host stops as soon as it has no open
// connections.
func leave(service, n int) func(r *run) {
	return func(r *run) {
		h := r.host(service, n)
		r.leaving = h
		r.site.Rules.Leaving = append(r.site.Rules.Leaving, h.Name)
		r.site.PublishRules()
		r.awaitRules()
		r.site.After(5*time.Second, func() { h.StopWhenIdle = true })
	}
}

// updateByPeers returns a step that publishes a host as leaving while the platform responds only to the entry VM reader
// and, a second later, to none. The other entry VMs can get the update only from peers.
func updateByPeers(reader string, service, n int) func(r *run) {
	return func(r *run) {
		r.site.Platform.AllowedVMs = map[string]bool{reader: true}
		leave(service, n)(r)
		r.site.After(time.Second, func() { r.site.Platform.Down = true })
	}
}

// isolate returns a step that cuts an availability zone off from all others and from the platform.
func isolate(zone int) func(r *run) {
	return func(r *run) {
		r.cutZone = r.site.Config.Zones[zone]
		r.site.Isolate(r.cutZone)
	}
}

func heal(r *run) { r.site.Heal() }

// absent returns a step that stops hosts and publishes them as leaving; it is used before the site starts.
func absent(service int, hosts ...int) func(r *run) {
	return func(r *run) {
		for _, n := range hosts {
			stop(service, n)(r)
			r.site.Rules.Leaving = append(r.site.Rules.Leaving, r.host(service, n).Name)
		}
		r.site.PublishRules()
	}
}

// coldStart returns a step that starts the absent hosts at a tenth of their speed. They reach their full speed after
// the warm-up time in the inventory.
func coldStart(service int, hosts ...int) func(r *run) {
	return func(r *run) {
		for _, n := range hosts {
			h := r.host(service, n)
			delete(r.failed, h.Name)
			h.SetMode(r.site.Now, backend.Mode{Kind: backend.ModeCold, WarmUp: 120 * time.Second})
			i := slices.Index(r.site.Hosts, h)
			r.site.Inventory.Hosts[i].Started = site.Epoch.Add(r.site.Now)
		}
		r.site.Rules.Leaving = nil
		r.site.PublishInventory()
		r.site.PublishRules()
	}
}
