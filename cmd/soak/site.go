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
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"gopkg.in/tomb.v2"

	"github.com/masticspar/masticspar/internal/cleanup"
	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/platform/standin/backend"
	"github.com/masticspar/masticspar/platform/standin/caller"
	"github.com/masticspar/masticspar/platform/standin/store"
	"github.com/masticspar/masticspar/platform/standin/wire"
)

// Networks of the processes. An address is 127.SITE.NETWORK.NUMBER, with SITE from the seed.
const (
	daemonNet byte = 1
	callerNet byte = 2
	serverNet byte = 3
	proxyNet  byte = 4
)

// Ports; they can be fixed because each process has its own address.
const (
	dataPort     = 7101
	operatorPort = 7102
	peerPort     = 7103
	storePort    = 7104
	serverPort   = 7105
)

const (
	checkPeriod  = 500 * time.Millisecond // time between two readiness checks of the router, and their timeout
	maxMisses    = 2                      // consecutive failed checks after which a daemon receives no packets
	readyTimeout = 20 * time.Second       // maximum time until all daemons are ready
	workTime     = 15 * time.Millisecond  // mean service time of a request
	reportPeriod = 1200 * time.Millisecond
)

var services = []string{"standdesk", "photointake"}

// site is a store, servers, callers, a router and the processes of the daemons.
type site struct {
	options
	subnet  byte // second byte of all addresses
	tb      tomb.Tomb
	checker *checker
	store   *store.Server
	daemons []*daemon
	faults  map[string]int // number of injected faults by name

	mu           sync.Mutex
	servers      map[string]*server     // by name
	blockedPaths map[[2]netip.Addr]bool // from daemon to server
	config       registry.Configuration
	number       int                  // of the server that was started last
	evacuated    string               // zone that is evacuated, or empty
	returnedAt   map[string]time.Time // when a zone was last taken back
	lateFaults   int                  // active faults that delay reports
	lateness     *rand.Rand           // of reports while lateFaults is greater than zero
}

// server is a backend server and the function that stops it. Its other fields are protected by site.mu.
type server struct {
	backend.Server
	stop   func()
	silent bool // whether it reports no more
	ending bool // whether a fault has chosen it and will stop it
}

// daemon is an entry VM: its process and its proxy to the store.
type daemon struct {
	name     string
	address  netip.Addr
	zone     string
	settings string
	proxy    *proxy
	log      *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	misses  int // consecutive failed readiness checks
	ready   bool
}

// newSite starts a site and returns the function that stops it.
func newSite(o options) (*site, func(), error) {
	s := &site{
		options: o, subnet: byte(10 + o.Seed%200), checker: newChecker(), store: &store.Server{}, faults: map[string]int{},
		servers: map[string]*server{}, blockedPaths: map[[2]netip.Addr]bool{},
		returnedAt: map[string]time.Time{}, lateness: rand.New(rand.NewPCG(o.Seed, 1<<33)),
	}
	s.checker.holder, s.checker.servable = s.holder, s.isServable
	stop, err := cleanup.Start(s.startStore, s.startServers, s.startDaemons, s.startRouter)
	return s, stop, err
}

// ip returns address i of a network.
func (s *site) ip(network byte, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.subnet, network, byte(i + 1)})
}

// startStore starts the store and publishes one route for each service. Only the first route is idempotent. The store
// has number 200 in the network of the proxies, above the numbers of all proxies.
func (s *site) startStore() (func(), error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(s.ip(proxyNet, 200), storePort).String())
	if err != nil {
		return nil, errors.Trace(err)
	}
	server := &http.Server{Handler: s.store}
	s.tb.Go(func() error {
		_ = server.Serve(l) // It returns after Close.
		return nil
	})
	s.config.Version = 1
	for i, name := range services {
		s.config.Routes = append(s.config.Routes, registry.Route{
			Name: name, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i + 1)}), 443), Idempotent: i == 0,
			TargetLatency: 200 * time.Millisecond, Timeout: requestTimeout,
			Targets: []registry.Target{{Service: name, Weight: 1}},
		})
	}
	for i := range s.config.Routes {
		s.checker.publishRoute(&s.config.Routes[i], false)
	}
	s.store.Put(wire.ConfigurationKey, wire.ConfigurationEntry(&s.config))
	return func() {
		_ = server.Close()
		s.tb.Kill(nil)
		_ = s.tb.Wait()
	}, nil
}

func (s *site) startServers() (func(), error) {
	for i := range s.Servers {
		address := netip.AddrPortFrom(s.ip(serverNet, i), serverPort)
		if _, err := s.addServer(services[i%len(services)], address); err != nil {
			return nil, err
		}
	}
	return func() {
		for _, v := range s.allServers() {
			v.stop()
		}
	}, nil
}

// zones is the number of availability zones of the daemons, and that of the servers.
const zones = 2

// emptyMap is an empty map in CBOR, the value of an evacuation.
var emptyMap = []byte{0xa0}

// zoneOf returns the zone of a daemon.
func zoneOf(i int) string { return fmt.Sprint("zone-", i%zones) }

// serverZone returns the name of a zone of servers. There are no daemons in it. Daemons prefer servers of their own
// zone, so that they would hardly use the others, and the checks of a server that leaves or fails would hold for half
// of the daemons only.
func serverZone(i int) string { return fmt.Sprint("zone-", zones+i%zones) }

// zoneOfServer returns the zone of the servers at an address. Each service starts with servers in all zones if there
// are enough of them.
func zoneOfServer(address netip.Addr) string {
	return serverZone((int(address.As4()[3]) - 1) / len(services))
}

// addServer starts a server with a new name and adds it to the registry.
func (s *site) addServer(service string, address netip.AddrPort) (*server, error) {
	s.mu.Lock()
	s.number++
	number := uint64(0x1000 + s.number)
	s.mu.Unlock()
	return s.startServer(registry.Host{
		Name: fmt.Sprintf("i-%x", number), Number: number, Service: service, Address: address,
		AvailabilityZone: zoneOfServer(address.Addr()), Slots: 2,
	})
}

// startServer starts a server, which may have been started before under the same name, and lets it report.
func (s *site) startServer(h registry.Host) (*server, error) {
	v := &server{}
	v.Host = h
	v.Started, v.Sequence = time.Now().UnixMilli(), 0
	v.CallerPort, v.ServiceTime = dataPort, workTime
	v.OnOpen, v.OnRequest = s.checker.flowArrived, func(b *backend.Server, _ netip.AddrPort, request string) {
		s.checker.requestExecuted(b, request)
	}
	v.Drop = func(from netip.Addr) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.blockedPaths[[2]netip.Addr{from, h.Address.Addr()}]
	}
	stop, err := v.Start()
	if err != nil {
		return nil, err
	}
	v.stop = sync.OnceFunc(stop)
	s.mu.Lock()
	s.servers[v.Name] = v
	s.mu.Unlock()
	s.tb.Go(func() error {
		for s.report(v, s.reportDelay()) {
			select {
			case <-time.After(reportPeriod):
			case <-s.tb.Dying():
				return nil
			}
		}
		return nil
	})
	return v, nil
}

// report sends the next report of a server to the store, which executes it after a delay. It reports whether the server
// reports at all.
func (s *site) report(v *server, delay time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.silent {
		return false
	}
	v.Sequence++
	s.store.PutReport(&v.Host, delay)
	return true
}

// reportDelay returns the delay of the next periodic report.
func (s *site) reportDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lateFaults == 0 || s.lateness.Float64() >= lateShare {
		return 0
	}
	return randomDuration(s.lateness, minLateness, maxLateness)
}

func randomDuration(random *rand.Rand, least, limit time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(limit-least)))
}

// silence ends the reports of a server.
func (s *site) silence(v *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.silent = true
}

func (s *site) allServers() (list []*server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.servers {
		list = append(list, v)
	}
	return list
}

// holder returns the live server that has the flow, or nil.
func (s *site) holder(f *caller.Flow) *backend.Server {
	for _, v := range s.allServers() {
		if v.HasFlow(f.Key) {
			return &v.Server
		}
	}
	return nil
}

func (s *site) startDaemons() (func(), error) {
	directory, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, errors.Trace(err)
	}
	var undo cleanup.Stack
	undo.Add(func() { _ = os.RemoveAll(directory) })
	for i := range s.Daemons {
		d := &daemon{name: fmt.Sprint("entry-", i), address: s.ip(daemonNet, i), zone: zoneOf(i)}
		d.settings = filepath.Join(directory, d.name+".json")
		address := netip.AddrPortFrom(s.ip(proxyNet, i), storePort)
		p, stop, err := newProxy(address.String(), netip.AddrPortFrom(s.ip(proxyNet, 200), storePort).String())
		if err != nil {
			return undo.Run, err
		}
		d.proxy = p
		undo.Add(stop)
		if err := s.writeSettings(d, address); err != nil {
			return undo.Run, err
		}
		s.daemons = append(s.daemons, d)
		undo.Add(d.kill)
		if err := d.start(s.Binary); err != nil {
			return undo.Run, err
		}
	}
	return undo.Run, nil
}

// writeSettings writes the settings of a daemon and, if the logs are kept, opens its log.
func (s *site) writeSettings(d *daemon, storeAddress netip.AddrPort) error {
	b, err := json.Marshal(map[string]any{
		"forwarding": "token", "name": d.name, "region": "wa", "availability-zone": d.zone,
		"data-address":     netip.AddrPortFrom(d.address, dataPort),
		"operator-address": netip.AddrPortFrom(d.address, operatorPort),
		"metrics-address":  netip.AddrPortFrom(d.address, operatorPort),
		"peer-address":     netip.AddrPortFrom(d.address, peerPort),
		"contacts": []netip.AddrPort{
			netip.AddrPortFrom(s.ip(daemonNet, 0), peerPort), netip.AddrPortFrom(s.ip(daemonNet, 1), peerPort),
		},
		"store": storeAddress, "evacuation-bound": evacuationBound.String(),
	})
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.WriteFile(d.settings, b, 0o600); err != nil {
		return errors.Trace(err)
	}
	if s.Logs == "" {
		return nil
	}
	d.log, err = os.OpenFile(filepath.Join(s.Logs, fmt.Sprintf("%d-%s.log", s.Seed, d.name)),
		os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	return errors.Trace(err)
}

func (d *daemon) start(binary string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := exec.Command(binary, "--settings", d.settings)
	if d.log != nil {
		c.Stdout, c.Stderr = d.log, d.log
	}
	if err := c.Start(); err != nil {
		return errors.Trace(err)
	}
	exited := make(chan struct{})
	d.process, d.exited = c, exited
	go func() {
		_ = c.Wait() // The error is expected: the process ends by a signal.
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of the daemon and returns a channel that is closed when this process has exited.
func (d *daemon) signal(v os.Signal) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.process.Process.Signal(v) // The process may have exited already.
	return d.exited
}

// kill kills the process of the daemon, if it has been started.
func (d *daemon) kill() {
	d.mu.Lock()
	started := d.process != nil
	d.mu.Unlock()
	if started {
		<-d.signal(os.Kill)
	}
}

// running reports whether the process of the daemon runs.
func (d *daemon) running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// startRouter starts the periodic readiness checks of the daemons.
func (s *site) startRouter() (func(), error) {
	var tb tomb.Tomb
	client := &http.Client{Timeout: checkPeriod}
	for _, d := range s.daemons {
		tb.Go(func() error {
			for tb.Alive() {
				d.checkReady(client)
				select {
				case <-time.After(checkPeriod):
				case <-tb.Dying():
				}
			}
			return nil
		})
	}
	return func() {
		tb.Kill(nil)
		_ = tb.Wait()
	}, nil
}

// checkReady runs one readiness check. A successful check makes the daemon ready, maxMisses failed ones make it not
// ready.
func (d *daemon) checkReady(client *http.Client) {
	r, err := client.Get("http://" + netip.AddrPortFrom(d.address, operatorPort).String() + "/ready")
	ok := err == nil && r.StatusCode == http.StatusOK
	if err == nil {
		_ = r.Body.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.misses++; ok {
		d.misses = 0
	}
	d.ready = ok || d.ready && d.misses < maxMisses
}

// route returns the daemon that receives a packet: by a hash over the ready daemons, or over all when none is ready.
func (s *site) route(k conntrack.Key) (netip.AddrPort, bool) {
	var list []*daemon
	for _, d := range s.daemons {
		d.mu.Lock()
		if d.ready {
			list = append(list, d)
		}
		d.mu.Unlock()
	}
	if len(list) == 0 {
		list = s.daemons
	}
	h := xxhash.Sum64String(k.Caller.String() + k.Service.String())
	return netip.AddrPortFrom(list[h%uint64(len(list))].address, dataPort), true
}

// waitReady waits until all daemons are ready.
func (s *site) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(checkPeriod) {
		n := 0
		for _, d := range s.daemons {
			d.mu.Lock()
			if d.ready {
				n++
			}
			d.mu.Unlock()
		}
		if n == len(s.daemons) {
			return nil
		}
	}
	return errors.New("the daemons are not ready")
}

func (s *site) randomRoute(random *rand.Rand) registry.Route {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Routes[random.IntN(len(s.config.Routes))]
}
