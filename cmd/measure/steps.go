package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/masticspar/masticspar/internal/standin/backend"
	"github.com/masticspar/masticspar/internal/standin/site"
)

// host returns host n of a service by the positions in the configuration.
func (r *run) host(service, n int) *site.Host {
	return r.site.Host(fmt.Sprintf("%s-%d", r.site.Config.Services[service].Name, n))
}

func mode(service, n int, m backend.Mode, fails bool) func(r *run) {
	return func(r *run) {
		h := r.host(service, n)
		h.SetMode(r.site.Now, m)
		if fails {
			r.failed[h.Name] = true
		}
	}
}

func slow(service, n int, factor float64) func(r *run) {
	return mode(service, n, backend.Mode{Kind: backend.ModeSlow, Factor: factor}, false)
}

func stop(service, n int) func(r *run) {
	return mode(service, n, backend.Mode{Kind: backend.ModeDead}, true)
}

func silence(service, n int) func(r *run) {
	return mode(service, n, backend.Mode{Kind: backend.ModeUnresponsive}, true)
}

func refuse(service, n int) func(r *run) {
	return mode(service, n, backend.Mode{Kind: backend.ModeRefuse}, true)
}

// stepChange changes the speed of a host and follows its weight.
func stepChange(service, n int, factor float64) func(r *run) {
	return func(r *run) {
		slow(service, n, factor)(r)
		r.settle = &settle{host: r.host(service, n), at: r.site.Now}
	}
}

func kill(name string) func(r *run) {
	return func(r *run) { r.site.VM(name).Kill() }
}

// join starts an entry VM process; an empty zone selects that of the earlier process with the name.
func join(name, zone string, size uint32) func(r *run) {
	return func(r *run) {
		if v := r.site.VM(name); v != nil && zone == "" {
			zone = v.Zone
		}
		r.site.StartVM(site.Entry{Name: name, Zone: zone, Size: size})
	}
}

// replace starts an entry VM and lets another one leave as planned 5 s later.
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

// leave publishes that a host is leaving; 5 s later it stops as soon as nothing is open on it.
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

// updateByPeers publishes that a host is leaving while the platform answers one entry VM and, a second later, none.
func updateByPeers(reader string, service, n int) func(r *run) {
	return func(r *run) {
		r.site.Platform.AllowedVMs = map[string]bool{reader: true}
		leave(service, n)(r)
		r.site.After(time.Second, func() { r.site.Platform.Down = true })
	}
}

func isolate(zone int) func(r *run) {
	return func(r *run) {
		r.cutZone = r.site.Config.Zones[zone]
		r.site.Isolate(r.cutZone)
	}
}

func heal(r *run) { r.site.Heal() }

// absent takes hosts out of service before the start.
func absent(service int, hosts ...int) func(r *run) {
	return func(r *run) {
		for _, n := range hosts {
			stop(service, n)(r)
			r.site.Rules.Leaving = append(r.site.Rules.Leaving, r.host(service, n).Name)
		}
		r.site.PublishRules()
	}
}

// coldStart starts the absent hosts at a tenth of their speed, which they reach in full after the warm-up of the inventory.
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
