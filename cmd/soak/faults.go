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
	// maxFaultInterval limits the time between the starts of two faults. Most faults last longer, so they overlap.
	maxFaultInterval = 1200 * time.Millisecond
	// minFaultTime and maxFaultTime limit the duration of a fault.
	minFaultTime, maxFaultTime = 300 * time.Millisecond, 4 * time.Second
	// seriesFaultTime is the duration of each fault of a series.
	seriesFaultTime = 1500 * time.Millisecond
	// leavingServeTime is how long a server keeps serving after it was published as leaving.
	leavingServeTime = drainBound + time.Second
	// addressReuseDelay is the time from the end of the fault until a new server uses the address of a crashed one.
	addressReuseDelay = 2 * time.Second
	// stopTimeout is the time in which a daemon must exit after SIGTERM: the default stop timeout of the settings, plus
	// the longest pause that can interrupt it.
	stopTimeout = 6*time.Second + maxFaultTime
	// slowRun and slowStop are how long a slow daemon runs and stands still in turn.
	slowRun, slowStop = 20 * time.Millisecond, 60 * time.Millisecond
	// readTime is the time in which the daemons read a change.
	readTime = time.Second
	// maxRestoreOutage limits the outage before a restored store replies. rewriteTime is the time in which the servers
	// write their entries again.
	maxRestoreOutage, rewriteTime = 2 * time.Second, 2 * time.Second
	// lateShare is the share of the reports that the store executes late, by minLateness to maxLateness.
	lateShare                = 0.35
	minLateness, maxLateness = time.Second, 6 * time.Second
	// restartTime is the time from a crash until the next server starts at the address while reports are late.
	// minLifeTime and maxLifeTime limit the time until that one crashes.
	restartTime              = 500 * time.Millisecond
	minLifeTime, maxLifeTime = 300 * time.Millisecond, 1500 * time.Millisecond
	// unansweredTime is how long the store gives no reply to most daemons of a zone. A daemon that keeps the server that leaves
	// meanwhile for longer than the bound is noticed in it.
	unansweredTime = drainBound + margin + 1500*time.Millisecond
	// evacuationTime is how long a zone stays evacuated. A daemon that sends flows to it for longer than the bound is
	// noticed in it.
	evacuationTime = evacuationBound + margin + 1500*time.Millisecond
	// storeRecoveryTime is the time from the end of a proxy fault until the disturbance of its daemon ends. It is longer
	// than the watch timeout, so the daemon has detected a lost reply by then.
	storeRecoveryTime = 4 * time.Second
)

// fault is a kind of fault that can be injected.
type fault struct {
	name string
	// start injects a fault of the given length. It returns the function to call after that time, which ends the fault,
	// or nil when the fault cannot be injected now.
	start func(random *rand.Rand, length time.Duration) func()
}

// faultKinds returns all faults. Their order is part of the plan of a seed.
func (s *site) faultKinds() []fault {
	return []fault{
		{"kill", s.killDaemon},
		{"roll", s.rollDaemon},
		{"pause", s.pauseDaemon},
		{"hup", s.reloadDaemon},
		{"store-proxy", s.disturbProxy},
		{"store-down", s.failStore},
		{"store-forgets", s.dropStoreHistory},
		{"store-restored", s.restoreStore},
		{"server-leaves", s.drainServer},
		{"server-crashes", s.crashServer},
		{"server-cut", s.partitionServer},
		{"route", s.changeRoute},
		{"slow", s.slowDaemon},
		{"late-reports", s.delayReports},
		{"unanswered", s.silenceStoreForZone},
		{"zone-evacuated", s.evacuateZone},
	}
}

// injectRandom injects random faults until the given time and waits until all of them have ended.
func (s *site) injectRandom(random *rand.Rand, end time.Time) {
	kinds := s.faultKinds()
	var group sync.WaitGroup
	for time.Now().Before(end) {
		f := kinds[random.IntN(len(kinds))]
		length := randomDuration(random, minFaultTime, maxFaultTime)
		if stop := f.start(random, length); stop != nil {
			s.faults[f.name]++
			group.Go(func() {
				time.Sleep(length)
				stop()
			})
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxFaultInterval))))
	}
	group.Wait()
}

// checkFaults returns an error for the first unknown name; the error lists the known faults.
func checkFaults(names []string) error {
	var known []string
	for _, f := range (&site{}).faultKinds() {
		known = append(known, f.name)
	}
	for _, name := range names {
		if !slices.Contains(known, name) {
			return errors.Errorf("fault %q is none of %s", name, strings.Join(known, ", "))
		}
	}
	return nil
}

// injectSeries injects the named faults one after the other and prints the name of each.
func (s *site) injectSeries(random *rand.Rand, names []string) {
	for _, name := range names {
		for _, f := range s.faultKinds() {
			if f.name != name {
				continue
			}
			fmt.Println("fault:", name)
			if stop := f.start(random, seriesFaultTime); stop != nil {
				s.faults[name]++
				time.Sleep(seriesFaultTime)
				stop()
			}
		}
	}
}

// clearFaults ends the faults of the store, the proxies and the network paths that are still active.
func (s *site) clearFaults() {
	s.store.SetFaults(store.Faults{})
	for _, d := range s.daemons {
		d.proxy.set(modeRelay)
	}
	s.mu.Lock()
	s.blockedPaths = map[[2]netip.Addr]bool{}
	s.mu.Unlock()
}

func (s *site) randomDaemon(random *rand.Rand) *daemon { return s.daemons[random.IntN(len(s.daemons))] }

// killDaemon kills a daemon and restarts it at the end of the fault.
func (s *site) killDaemon(random *rand.Rand, length time.Duration) func() {
	d := s.randomDaemon(random)
	s.checker.disturbEntry(d.address, time.Now().Add(length+time.Second))
	d.kill()
	return func() { s.restart(d) }
}

// rollDaemon stops a daemon with SIGTERM, checks that it exits in time, and restarts it.
func (s *site) rollDaemon(random *rand.Rand, _ time.Duration) func() {
	d := s.randomDaemon(random)
	s.checker.disturbEntry(d.address, time.Now().Add(10*time.Second))
	exited := d.signal(syscall.SIGTERM)
	return func() {
		select {
		case <-exited:
		case <-time.After(stopTimeout):
			s.checker.mu.Lock()
			s.checker.addViolation("%s did not end within %v after SIGTERM", d.name, stopTimeout)
			s.checker.mu.Unlock()
			d.kill()
		}
		s.restart(d)
	}
}

// restart starts the process of a daemon unless another fault has already restarted it.
func (s *site) restart(d *daemon) {
	if d.running() {
		return
	}
	if err := d.start(s.Binary); err != nil {
		s.checker.mu.Lock()
		s.checker.addViolation("%s did not start: %v", d.name, err)
		s.checker.mu.Unlock()
	}
	s.checker.disturbEntry(d.address, time.Now().Add(time.Second))
}

// pauseDaemon stops the process of a daemon with SIGSTOP until the end of the fault.
func (s *site) pauseDaemon(random *rand.Rand, length time.Duration) func() {
	d := s.randomDaemon(random)
	s.checker.disturbEntry(d.address, time.Now().Add(length))
	d.signal(syscall.SIGSTOP)
	return func() {
		s.checker.disturbEntry(d.address, time.Now())
		d.signal(syscall.SIGCONT)
	}
}

// slowDaemon lets a daemon run for a quarter of the time only. The daemon does not count as disturbed: it must keep all
// bounds, and must not take servers that it hears late for dead.
func (s *site) slowDaemon(random *rand.Rand, _ time.Duration) func() {
	d := s.randomDaemon(random)
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			d.signal(syscall.SIGSTOP)
			time.Sleep(slowStop)
			d.signal(syscall.SIGCONT)
			select {
			case <-done:
				return
			case <-time.After(slowRun):
			}
		}
	}()
	return func() {
		close(done)
		<-stopped
	}
}

// reloadDaemon sends SIGHUP to a daemon, which reloads its settings.
func (s *site) reloadDaemon(random *rand.Rand, _ time.Duration) func() {
	s.randomDaemon(random).signal(syscall.SIGHUP)
	return func() {}
}

// disturbProxy puts the store proxy of a daemon into a random faulty mode.
func (s *site) disturbProxy(random *rand.Rand, length time.Duration) func() {
	d := s.randomDaemon(random)
	m := []mode{modeBlackhole, modeRequestsOnly, modeDelay, modeRefuse}[random.IntN(4)]
	s.checker.disturbEntry(d.address, time.Now().Add(length+storeRecoveryTime))
	d.proxy.set(m)
	return func() { d.proxy.set(modeRelay) }
}

// silenceStoreForZone lets the store give no reply to the daemons of a zone, except one, while a server leaves and the routes
// change. The daemon that is served does not count as disturbed: it must keep all bounds.
func (s *site) silenceStoreForZone(random *rand.Rand, _ time.Duration) func() {
	served := s.randomDaemon(random)
	own := rand.New(rand.NewPCG(random.Uint64(), 0)) // The end of the fault runs beside the plan, which uses random.
	var silent []*daemon
	for _, d := range s.daemons {
		if d.zone == served.zone && d != served {
			s.checker.disturbEntry(d.address, time.Now().Add(unansweredTime+storeRecoveryTime))
			d.proxy.set(modeBlackhole)
			silent = append(silent, d)
		}
	}
	silentSince := time.Now()
	replaceServer := s.drainServer(own, 0)
	s.changeRoute(own, 0)
	return func() {
		time.Sleep(unansweredTime - time.Since(silentSince))
		for _, d := range silent {
			d.proxy.set(modeRelay)
		}
		if replaceServer != nil {
			replaceServer()
		}
	}
}

// failStore makes the store fail for all daemons.
func (s *site) failStore(random *rand.Rand, length time.Duration) func() {
	f := []store.Faults{
		{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {NoReply: true}, {DropConnection: true},
	}
	s.checker.disturbStore(time.Now().Add(length))
	s.store.SetFaults(f[random.IntN(len(f))])
	return func() {
		s.checker.disturbStore(time.Now())
		s.store.SetFaults(store.Faults{})
	}
}

// dropStoreHistory compacts the history of the store, so that watches of earlier revisions fail.
func (s *site) dropStoreHistory(*rand.Rand, time.Duration) func() {
	s.checker.disturbStore(time.Now())
	s.store.DropHistory()
	return func() {}
}

// restoreStore copies the store, and restores it from this copy at the end of the fault. The operators and the servers
// then write again what was lost, and the entries of servers that have ended are removed again.
func (s *site) restoreStore(random *rand.Rand, _ time.Duration) func() {
	backup := s.store.Backup()
	outage := time.Duration(random.Int64N(int64(maxRestoreOutage)))
	own := rand.New(rand.NewPCG(random.Uint64(), 0)) // The end of the fault runs beside the plan, which uses random.
	return func() {
		s.changeRoute(own, 0) // It is lost; the next one has its revision and includes it.
		time.Sleep(readTime)
		s.checker.disturbStore(time.Now().Add(outage + rewriteTime))
		s.store.SetFaults(store.Faults{DropConnection: true})
		time.Sleep(outage)
		s.store.Restore(backup)
		s.changeRoute(own, 0)
		s.rewriteEvacuations()
		s.store.SetFaults(store.Faults{})
		servers := s.allServers()
		for _, v := range servers {
			if v.Stopped() {
				continue
			}
			s.report(v, 0)
			time.Sleep(rewriteTime / time.Duration(2*len(servers)))
		}
	}
}

// evacuateZone evacuates a zone and takes it back after evacuationTime. Only one zone is evacuated at a time.
func (s *site) evacuateZone(random *rand.Rand, _ time.Duration) func() {
	zone := serverZone(random.IntN(zones))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuated != "" {
		return nil
	}
	s.evacuated = zone
	s.writeEvacuations()
	s.checker.publishEvacuation(zone)
	since := time.Now()
	return func() {
		time.Sleep(evacuationTime - time.Since(since))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.checker.endEvacuation(zone)
		s.evacuated, s.returnedAt[zone] = "", time.Now()
		s.writeEvacuations()
	}
}

// rewriteEvacuations writes the evacuations to a store that was restored.
func (s *site) rewriteEvacuations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeEvacuations()
}

// writeEvacuations writes the key of the evacuated zone and removes those of the others. s.mu must be locked.
func (s *site) writeEvacuations() {
	for i := range zones {
		if key := wire.EvacuationKey(serverZone(i)); s.evacuated == serverZone(i) {
			s.store.Put(key, emptyMap)
		} else {
			s.store.Delete(key)
		}
	}
}

// isServable reports whether a service has servers that take new flows. While no zone is evacuated, and none was taken
// back recently, the faults leave such a server to each service.
func (s *site) isServable(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	avoided := map[string]bool{}
	if s.evacuated != "" {
		avoided[s.evacuated] = true
	}
	for zone, at := range s.returnedAt {
		if time.Since(at) <= evacuationBound+margin {
			avoided[zone] = true
		}
	}
	if len(avoided) == 0 {
		return true
	}
	for _, v := range s.servers {
		if v.Service == service && !v.ending && !avoided[v.AvailabilityZone] &&
			time.Since(time.UnixMilli(v.Started)) > settleTime {
			return true
		}
	}
	return false
}

// returnedZones returns the zones that were taken back and have settled servers.
func (s *site) returnedZones() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for zone := range s.returnedAt {
		for _, v := range s.servers {
			if v.AvailabilityZone == zone && !v.ending &&
				time.Since(time.UnixMilli(v.Started)) > quietTime {
				list = append(list, zone)
				break
			}
		}
	}
	return list
}

// randomServer returns a server that no fault will stop and that is not the last such one of its service, or nil.
func (s *site) randomServer(random *rand.Rand) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.spareServers()
	if len(list) == 0 {
		return nil
	}
	return list[random.IntN(len(list))]
}

// chooseServer returns a server like randomServer, for a fault that stops it. A server other than nil that is given and
// can be chosen is chosen half of the times.
func (s *site) chooseServer(random *rand.Rand, given *server) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.spareServers()
	if slices.Contains(list, given) && random.IntN(2) == 0 {
		list = []*server{given}
	}
	if len(list) == 0 {
		return nil
	}
	v := list[random.IntN(len(list))]
	v.ending = true
	return v
}

// spareServers returns the servers that no fault will stop, except the last such one of a service. s.mu must be locked.
func (s *site) spareServers() []*server {
	left := map[string]int{}
	var list []*server
	for _, v := range s.servers {
		if !v.ending {
			left[v.Service]++
			list = append(list, v)
		}
	}
	list = slices.DeleteFunc(list, func(v *server) bool { return left[v.Service] < 2 })
	slices.SortFunc(list, func(a, b *server) int { return int(a.Number) - int(b.Number) })
	return list
}

// drainServer publishes a server as leaving, stops it after leavingServeTime and replaces it.
func (s *site) drainServer(random *rand.Rand, _ time.Duration) func() {
	v := s.chooseServer(random, nil)
	if v == nil {
		return nil
	}
	s.mu.Lock()
	v.Leaving = true
	s.mu.Unlock()
	s.report(v, 0)
	s.checker.publishLeaving(v.Name)
	return func() {
		time.Sleep(leavingServeTime)
		// The server stays disturbed until the end of the run, because it does not return.
		s.checker.disturbServer(v.Name, time.Now().Add(time.Hour))
		v.stop()
		s.silence(v)
		s.store.Delete(wire.HostKey(v.Name))
		s.replace(v, v.Service)
	}
}

// crashServer stops a server, whose reports go on until the end of the fault. The address is reused while the entry
// still exists.
func (s *site) crashServer(random *rand.Rand, _ time.Duration) func() {
	v := s.chooseServer(random, nil)
	if v == nil {
		return nil
	}
	service := services[random.IntN(len(services))] // The address may be reused by another service.
	s.checker.disturbServer(v.Name, time.Now().Add(time.Hour))
	v.stop()
	return func() {
		s.silence(v)
		time.Sleep(addressReuseDelay)
		s.replace(v, service)
	}
}

// replace starts a new server at the address of a stopped one.
func (s *site) replace(v *server, service string) *server {
	next, err := s.addServer(service, v.Address)
	return s.checkStart(v, next, err)
}

// checkStart returns the server that was started at the address of v, or records a violation and returns nil.
func (s *site) checkStart(v, next *server, err error) *server {
	if err != nil {
		s.checker.mu.Lock()
		defer s.checker.mu.Unlock()
		s.checker.addViolation("a server at %v did not start: %v", v.Address, err)
		return nil
	}
	return next
}

// delayReports lets the store execute a share of the reports late, until the end of the fault. Meanwhile servers crash
// with a late report outstanding, and start again at the same address under another or the same name.
func (s *site) delayReports(random *rand.Rand, _ time.Duration) func() {
	own := rand.New(rand.NewPCG(random.Uint64(), 0)) // The crashes run beside the plan, which uses random.
	s.mu.Lock()
	s.lateFaults++
	s.mu.Unlock()
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for v := s.chooseServer(own, nil); v != nil; v = s.chooseServer(own, v) {
			v = s.restartServer(own, v)
			select {
			case <-done:
				return
			case <-time.After(randomDuration(own, minLifeTime, maxLifeTime)):
			}
		}
	}()
	return func() {
		close(done)
		<-stopped
		s.mu.Lock()
		s.lateFaults--
		s.mu.Unlock()
	}
}

// restartServer lets a server crash whose last report is executed late, and starts the next one at its address, under the
// same name or as a new server. It returns the next server, or nil after an error.
func (s *site) restartServer(random *rand.Rand, v *server) *server {
	s.report(v, randomDuration(random, minLateness, maxLateness))
	s.silence(v)
	v.stop()
	time.Sleep(restartTime)
	if random.IntN(2) == 0 {
		next, err := s.startServer(v.Host)
		return s.checkStart(v, next, err)
	}
	s.checker.disturbServer(v.Name, time.Now().Add(time.Hour))
	return s.replace(v, v.Service)
}

// partitionServer drops all packets from one daemon to one server.
func (s *site) partitionServer(random *rand.Rand, length time.Duration) func() {
	v, d := s.randomServer(random), s.randomDaemon(random)
	if v == nil {
		return nil
	}
	cut := [2]netip.Addr{d.address, v.Address.Addr()}
	s.checker.disturbEntry(d.address, time.Now().Add(length))
	s.checker.disturbServer(v.Name, time.Now().Add(length))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blockedPaths[cut] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.blockedPaths, cut)
	}
}

// changeRoute adds a route, or removes a route that was added before. The initial routes, one for each service, stay.
func (s *site) changeRoute(random *rand.Rand, _ time.Duration) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Version += 1 + uint64(random.IntN(3))
	routes := slices.Clone(s.config.Routes)
	if len(routes) > len(services) && random.IntN(2) == 0 {
		s.checker.publishRoute(&routes[len(services)], true)
		routes = slices.Delete(routes, len(services), len(services)+1)
	} else {
		r := routes[random.IntN(len(services))]
		r.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(s.config.Version)}), 443)
		r.Name = r.Address.String()
		s.checker.publishRoute(&r, false)
		routes = append(routes, r)
	}
	s.config.Routes = routes
	s.store.Put(wire.ConfigurationKey, wire.ConfigurationEntry(&s.config))
	return func() {}
}
