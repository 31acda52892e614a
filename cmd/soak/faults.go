package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/masticspar/masticspar/platform/standin/store"
	"github.com/masticspar/masticspar/platform/standin/wire"
)

const (
	// gap is the longest time between two faults; they last longer, so that they overlap.
	gap = 1200 * time.Millisecond
	// shortest and longest bound the time of a fault.
	shortest, longest = 300 * time.Millisecond, 4 * time.Second
	// seriesLength is the time of each fault of a series.
	seriesLength = 1500 * time.Millisecond
	// serveOn is how long a server goes on after it was published as leaving.
	serveOn = drainBound + time.Second
	// crashLapse is the time after which the entry of a crashed server vanishes.
	crashLapse = 3600 * time.Millisecond
	// reuseAfter is the time after which an address is used again.
	reuseAfter = 2 * time.Second
	// stopBound is the grace of a daemon with the longest pause.
	stopBound = 6*time.Second + longest
	// pollWait is longer than a call of a daemon to the store may wait, so that a lost answer was noticed.
	pollWait = 4 * time.Second
)

// fault starts something and returns the function that ends it, or nil when that is not needed.
type fault struct {
	name  string
	start func(random *rand.Rand, length time.Duration) func()
}

func (s *site) kinds() []fault {
	return []fault{
		{"kill", s.killDaemon},
		{"roll", s.rollDaemon},
		{"pause", s.pauseDaemon},
		{"hup", s.hangUp},
		{"store-proxy", s.disturbProxy},
		{"store-down", s.storeDown},
		{"store-forgets", s.storeForgets},
		{"server-leaves", s.serverLeaves},
		{"server-crashes", s.serverCrashes},
		{"server-cut", s.serverCut},
		{"route", s.changeRoute},
	}
}

// disturb injects faults until the given time and waits for all of them to end.
func (s *site) disturb(random *rand.Rand, end time.Time) {
	kinds := s.kinds()
	var group sync.WaitGroup
	for time.Now().Before(end) {
		f := kinds[random.IntN(len(kinds))]
		length := shortest + time.Duration(random.Int64N(int64(longest-shortest)))
		if stop := f.start(random, length); stop != nil {
			s.faults[f.name]++
			group.Go(func() {
				time.Sleep(length)
				stop()
			})
		}
		time.Sleep(time.Duration(random.Int64N(int64(gap))))
	}
	group.Wait()
}

// checkFaults returns an error that names the first fault that does not exist, and all that do.
func checkFaults(names []string) error {
	var known []string
	for _, f := range (&site{}).kinds() {
		known = append(known, f.name)
	}
	for _, name := range names {
		if !slices.Contains(known, name) {
			return errors.Errorf("fault %q is none of %s", name, strings.Join(known, ", "))
		}
	}
	return nil
}

// series injects the named faults one after the other and tells of each.
func (s *site) series(random *rand.Rand, names []string) {
	for _, name := range names {
		for _, f := range s.kinds() {
			if f.name != name {
				continue
			}
			fmt.Println("fault:", name)
			if stop := f.start(random, seriesLength); stop != nil {
				s.faults[name]++
				time.Sleep(seriesLength)
				stop()
			}
		}
	}
}

// heal ends what is still disturbed.
func (s *site) heal() {
	s.store.SetFaults(store.Faults{})
	for _, d := range s.daemons {
		d.proxy.set(relayAll)
	}
	s.mu.Lock()
	s.cuts = map[[2]netip.Addr]bool{}
	s.mu.Unlock()
}

func (s *site) anyDaemon(random *rand.Rand) *daemon { return s.daemons[random.IntN(len(s.daemons))] }

func (s *site) killDaemon(random *rand.Rand, length time.Duration) func() {
	d := s.anyDaemon(random)
	s.check.disturb(d.address, time.Now().Add(length+time.Second))
	d.kill()
	return func() { s.restart(d) }
}

func (s *site) rollDaemon(random *rand.Rand, _ time.Duration) func() {
	d := s.anyDaemon(random)
	s.check.disturb(d.address, time.Now().Add(10*time.Second))
	exited := d.signal(syscall.SIGTERM)
	return func() {
		select {
		case <-exited:
		case <-time.After(stopBound):
			s.check.mu.Lock()
			s.check.violate("%s did not end within %v after SIGTERM", d.name, stopBound)
			s.check.mu.Unlock()
			d.kill()
		}
		s.restart(d)
	}
}

// restart starts the process of a daemon unless another fault has done so.
func (s *site) restart(d *daemon) {
	if d.running() {
		return
	}
	if err := d.start(s.Binary); err != nil {
		s.check.mu.Lock()
		s.check.violate("%s did not start: %v", d.name, err)
		s.check.mu.Unlock()
	}
	s.check.disturb(d.address, time.Now().Add(time.Second))
}

func (s *site) pauseDaemon(random *rand.Rand, length time.Duration) func() {
	d := s.anyDaemon(random)
	s.check.disturb(d.address, time.Now().Add(length))
	d.signal(syscall.SIGSTOP)
	return func() {
		s.check.disturb(d.address, time.Now())
		d.signal(syscall.SIGCONT)
	}
}

func (s *site) hangUp(random *rand.Rand, _ time.Duration) func() {
	s.anyDaemon(random).signal(syscall.SIGHUP)
	return func() {}
}

func (s *site) disturbProxy(random *rand.Rand, length time.Duration) func() {
	d := s.anyDaemon(random)
	m := []mode{silence, oneWay, slow, refuse}[random.IntN(4)]
	s.check.disturb(d.address, time.Now().Add(length+pollWait))
	d.proxy.set(m)
	return func() { d.proxy.set(relayAll) }
}

func (s *site) storeDown(random *rand.Rand, length time.Duration) func() {
	f := []store.Faults{{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {NoReply: true}, {DropConnection: true}}
	s.check.disturbStore(time.Now().Add(length))
	s.store.SetFaults(f[random.IntN(len(f))])
	return func() {
		s.check.disturbStore(time.Now())
		s.store.SetFaults(store.Faults{})
	}
}

func (s *site) storeForgets(*rand.Rand, time.Duration) func() {
	s.check.disturbStore(time.Now())
	s.store.DropHistory()
	return func() {}
}

// anyServer returns a server that is neither leaving nor the last one of its service.
func (s *site) anyServer(random *rand.Rand) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := map[string]int{}
	var list []*server
	for _, v := range s.servers {
		if !v.Leaving && !v.Stopped() {
			left[v.Service]++
			list = append(list, v)
		}
	}
	list = slices.DeleteFunc(list, func(v *server) bool { return left[v.Service] < 2 })
	slices.SortFunc(list, func(a, b *server) int { return int(a.Number) - int(b.Number) })
	if len(list) == 0 {
		return nil
	}
	return list[random.IntN(len(list))]
}

func (s *site) serverLeaves(random *rand.Rand, _ time.Duration) func() {
	v := s.anyServer(random)
	if v == nil {
		return nil
	}
	s.mu.Lock()
	v.Leaving = true
	s.mu.Unlock()
	h := v.Host
	s.store.Put(wire.HostKey(v.Name), wire.HostEntry(&h))
	s.check.publishLeaving(v.Name)
	return func() {
		time.Sleep(serveOn)
		s.check.disturbServer(v.Name, time.Now().Add(time.Hour))
		v.stop()
		s.store.Delete(wire.HostKey(v.Name))
		s.replace(v, v.Service)
	}
}

func (s *site) serverCrashes(random *rand.Rand, _ time.Duration) func() {
	v := s.anyServer(random)
	if v == nil {
		return nil
	}
	service := services[random.IntN(len(services))] // Its address may go to another service.
	s.check.disturbServer(v.Name, time.Now().Add(time.Hour))
	v.stop()
	return func() {
		time.Sleep(reuseAfter)
		s.replace(v, service)
		time.Sleep(crashLapse - reuseAfter)
		s.store.Delete(wire.HostKey(v.Name))
	}
}

// replace starts a new server at the address of one that has ended.
func (s *site) replace(v *server, service string) {
	if err := s.addServer(service, v.Address); err != nil {
		s.check.mu.Lock()
		s.check.violate("a server at %v did not start: %v", v.Address, err)
		s.check.mu.Unlock()
	}
}

func (s *site) serverCut(random *rand.Rand, length time.Duration) func() {
	v, d := s.anyServer(random), s.anyDaemon(random)
	if v == nil {
		return nil
	}
	cut := [2]netip.Addr{d.address, v.Address.Addr()}
	s.check.disturb(d.address, time.Now().Add(length))
	s.check.disturbServer(v.Name, time.Now().Add(length))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts[cut] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.cuts, cut)
	}
}

// changeRoute adds a route, or removes one that was added.
func (s *site) changeRoute(random *rand.Rand, _ time.Duration) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Version += 1 + uint64(random.IntN(3))
	routes := slices.Clone(s.config.Routes)
	if len(routes) > len(services) && random.IntN(2) == 0 {
		s.check.publishRoute(&routes[len(services)], true)
		routes = slices.Delete(routes, len(services), len(services)+1)
	} else {
		r := routes[random.IntN(len(services))]
		r.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(s.config.Version)}), 443)
		r.Name = r.Address.String()
		s.check.publishRoute(&r, false)
		routes = append(routes, r)
	}
	s.config.Routes = routes
	s.store.Put(wire.ConfigurationKey, wire.ConfigurationEntry(&s.config))
	return func() {}
}
