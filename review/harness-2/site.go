package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/platform/standin/backend"
	"github.com/masticspar/masticspar/platform/standin/caller"
	"github.com/masticspar/masticspar/platform/standin/store"
	"github.com/masticspar/masticspar/platform/standin/wire"
)

// Figures of the users' small sites.
const (
	settleTime  = 4 * time.Second
	heartbeat   = 1200 * time.Millisecond
	checkPeriod = 500 * time.Millisecond // of the routers; two misses take a daemon out of rotation
	serviceTime = 30 * time.Millisecond
)

// Networks of the site; an address is 127.SUBNET.NETWORK.NUMBER.
const (
	daemonNet = iota + 1
	callerNet
	serverNet
	storeNet
)

var route = netip.MustParseAddrPort("127.255.0.1:443")

// site is a store, servers, daemons, routers and callers on loopback addresses.
type site struct {
	subnet    byte
	dataPort  uint16
	directory string
	binary    string
	record    *recorder
	store     *store.Server
	storeAt   netip.AddrPort
	started   time.Time
	stop      chan struct{}
	wait      sync.WaitGroup

	mu      sync.Mutex
	servers []*server
	daemons []*daemon
	version uint64
	undo    []func()
}

// server is one start of a backend server.
type server struct {
	backend.Server
	site *site

	mu      sync.Mutex
	stopped bool
	halt    func()
}

// daemon is an entry VM and its process.
type daemon struct {
	name, zone, settings string
	address              netip.Addr

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	misses  int
	ready   bool
}

func newSite(folder string) (*site, error) {
	record, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/masticspard")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	s := &site{
		subnet: byte(20 + rand.N(200)), directory: directory, binary: binary, record: record, store: &store.Server{},
		started: time.Now(), stop: make(chan struct{}),
	}
	s.undo = append(s.undo, func() { _ = os.RemoveAll(directory) })
	probe, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, s.subnet, callerNet, 1)})
	if err != nil {
		return nil, err
	}
	s.dataPort = probe.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	_ = probe.Close()
	return s, s.startStore()
}

func (s *site) ip(network, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.subnet, byte(network), byte(number)})
}

func (s *site) startStore() error {
	l, err := net.Listen("tcp", netip.AddrPortFrom(s.ip(storeNet, 1), 0).String())
	if err != nil {
		return err
	}
	h := &http.Server{Handler: s.store}
	go func() { _ = h.Serve(l) }()
	s.undo = append(s.undo, func() { _ = h.Close() })
	s.storeAt = l.Addr().(*net.TCPAddr).AddrPort()
	return nil
}

// writeConfiguration writes the next version of the configuration with the given time-out.
func (s *site) writeConfiguration(timeout time.Duration) {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	b, err := cbor.Marshal(map[string]any{
		"version": version, "limits": map[string]any{"idle_timeout_ms": 12000},
		"services": []map[string]any{{"name": "standdesk"}},
		"routes": []map[string]any{{
			"name": "r-1", "host": route.Addr().String(), "prefix": fmt.Sprintf("/%d/", route.Port()), "kind": "idempotent",
			"timeout_ms": timeout.Milliseconds(), "target_latency_ms": 150, "priority": 2, "service": "standdesk",
			"max_attempts": 2,
		}},
	})
	if err != nil {
		panic(err)
	}
	s.store.Put(wire.ConfigurationKey, b)
	s.record.printf("config version %d acked", version)
}

// startServer starts a server and lets it report to the store.
func (s *site) startServer(name string, number uint64, host int, zone string, port uint16) (*server, error) {
	v := &server{site: s}
	v.Host = registry.Host{
		Name: name, Number: number, Service: "standdesk", Address: netip.AddrPortFrom(s.ip(serverNet, host), port),
		AvailabilityZone: zone, Slots: 2, Started: time.Now().UnixMilli(),
	}
	v.CallerPort, v.ServiceTime = s.dataPort, serviceTime
	v.OnRequest = func(b *backend.Server, _ netip.AddrPort, request string) { s.record.run(b, request) }
	halt, err := v.Start()
	if err != nil {
		return nil, err
	}
	v.halt = halt
	s.mu.Lock()
	s.servers = append(s.servers, v)
	s.mu.Unlock()
	s.record.printf("server %s (born %d) starts at %s", v.Name, v.Started, v.Address)
	v.report()
	s.wait.Go(func() {
		for s.sleep(heartbeat) {
			v.mu.Lock()
			stopped := v.stopped
			v.mu.Unlock()
			if stopped {
				return
			}
			v.report()
		}
	})
	return v, nil
}

// report writes the next report of the server. The store changes the entry only if more than the sequence differs.
func (v *server) report() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.Sequence++
	v.site.put(&v.Host)
}

// entries holds what the store has of each server, without the sequence.
var entries = struct {
	sync.Mutex
	byName map[string]registry.Host
}{byName: map[string]registry.Host{}}

// put applies a report to the store.
func (s *site) put(h *registry.Host) {
	entries.Lock()
	defer entries.Unlock()
	now, before := *h, entries.byName[h.Name]
	now.Sequence = 0
	if now == before {
		return
	}
	entries.byName[h.Name] = now
	revision := s.store.Put(wire.HostKey(h.Name), wire.HostEntry(h))
	s.record.printf("store: entry of %s is born %d leaving %t, revision %d", h.Name, h.Started, h.Leaving, revision)
}

func (s *site) startDaemons(zones []string) error {
	var contacts []netip.AddrPort
	for i := range zones {
		if i < 3 {
			contacts = append(contacts, netip.AddrPortFrom(s.ip(daemonNet, i+1), s.dataPort+1))
		}
	}
	for i, zone := range zones {
		d := &daemon{name: fmt.Sprintf("frontend-%s-%d", zone, i+1), zone: zone, address: s.ip(daemonNet, i+1)}
		d.settings = filepath.Join(s.directory, d.name+".json")
		// The fields of deploy/settings.json.tmpl.
		b, err := json.Marshal(map[string]any{
			"forwarding": "token", "name": d.name, "region": "r", "availability-zone": zone,
			"data-address":     netip.AddrPortFrom(d.address, s.dataPort),
			"operator-address": netip.AddrPortFrom(d.address, s.dataPort+2),
			"metrics-address":  netip.AddrPortFrom(d.address, s.dataPort+3),
			"peer-address":     netip.AddrPortFrom(d.address, s.dataPort+4),
			"contacts":         contacts, "size": 0.4, "store": s.storeAt,
			"settle-time": "4000ms", "drain-bound": "3000ms", "configuration-bound": "3000ms", "stop-timeout": "6s",
			"flow-lifetime": "60s", "memory-mb": 284,
		})
		if err != nil {
			return err
		}
		if err := os.WriteFile(d.settings, b, 0o600); err != nil {
			return err
		}
		s.mu.Lock()
		s.daemons = append(s.daemons, d)
		s.mu.Unlock()
		s.undo = append(s.undo, d.kill)
		if err := s.startDaemon(d); err != nil {
			return err
		}
		s.wait.Go(func() { s.checkReadiness(d) })
	}
	return nil
}

// waitReady waits until all daemons are in rotation.
func (s *site) waitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if s.readyCount() == len(s.daemons) {
			s.record.printf("all daemons are in rotation")
			return nil
		}
	}
	return fmt.Errorf("%d of %d daemons are ready", s.readyCount(), len(s.daemons))
}

func (s *site) startDaemon(d *daemon) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := exec.Command(s.binary, "--settings", d.settings)
	if folder := os.Getenv("REVIEW_LOGS"); folder != "" {
		f, err := os.OpenFile(filepath.Join(folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		c.Stdout, c.Stderr = f, f
	}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.process, d.exited = c, exited
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	s.record.printf("%s starts", d.name)
	return nil
}

func (d *daemon) kill() {
	d.mu.Lock()
	c, exited := d.process, d.exited
	d.mu.Unlock()
	if c != nil {
		_ = c.Process.Kill()
		<-exited
	}
}

// restart stops the daemon as the platform does and starts it again.
func (s *site) restart(d *daemon) error {
	d.mu.Lock()
	c, exited := d.process, d.exited
	d.mu.Unlock()
	s.record.printf("%s gets SIGTERM", d.name)
	_ = c.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(6 * time.Second):
		_ = c.Process.Kill()
		<-exited
	}
	return s.startDaemon(d)
}

func (s *site) checkReadiness(d *daemon) {
	client := &http.Client{Timeout: checkPeriod}
	url := "http://" + netip.AddrPortFrom(d.address, s.dataPort+2).String() + "/ready"
	for s.sleep(checkPeriod) {
		r, err := client.Get(url)
		ok := err == nil && r.StatusCode == http.StatusOK
		if err == nil {
			_ = r.Body.Close()
		}
		d.mu.Lock()
		before := d.ready
		if d.misses++; ok {
			d.misses = 0
		}
		d.ready = ok || d.ready && d.misses < 2
		after := d.ready
		d.mu.Unlock()
		if before != after {
			s.record.printf("%s in rotation: %t", d.name, after)
		}
	}
}

func (s *site) readyCount() (n int) {
	for _, d := range s.daemons {
		d.mu.Lock()
		if d.ready {
			n++
		}
		d.mu.Unlock()
	}
	return n
}

// router returns the function that selects the daemon of each packet of a zone's callers: by a hash of the addresses,
// modulo the daemons in rotation; over all of the zone if fewer than half are.
func (s *site) router(zone string) func(conntrack.Key) (netip.AddrPort, bool) {
	return func(k conntrack.Key) (netip.AddrPort, bool) {
		var all, ready []*daemon
		for _, d := range s.daemons {
			if d.zone != zone {
				continue
			}
			all = append(all, d)
			d.mu.Lock()
			if d.ready {
				ready = append(ready, d)
			}
			d.mu.Unlock()
		}
		if 2*len(ready) < len(all) {
			ready = all
		}
		h := xxhash.Sum64String(k.Caller.String() + " " + k.Service.String())
		return netip.AddrPortFrom(ready[h%uint64(len(ready))].address, s.dataPort), true
	}
}

func (s *site) newCaller(number int, zone string) (*caller.Caller, error) {
	c := &caller.Caller{Address: netip.AddrPortFrom(s.ip(callerNet, number), s.dataPort), Route: s.router(zone)}
	stop, err := c.Start()
	if err != nil {
		return nil, err
	}
	s.undo = append(s.undo, stop)
	return c, nil
}

// holder returns the live server that has the flow open, or nil.
func (s *site) holder(k conntrack.Key) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.servers {
		if v.HasFlow(k) {
			return v
		}
	}
	return nil
}

func (s *site) allDaemons() []*daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*daemon(nil), s.daemons...)
}

// sleep waits and reports whether the site still runs.
func (s *site) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.stop:
		return false
	}
}

func (s *site) end() {
	close(s.stop)
	s.wait.Wait()
	for _, v := range s.servers {
		v.mu.Lock()
		stopped := v.stopped
		v.stopped = true
		v.mu.Unlock()
		if !stopped {
			v.halt()
		}
	}
	for i := len(s.undo) - 1; i >= 0; i-- {
		s.undo[i]()
	}
	s.record.close()
}
