package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"github.com/masticspar/masticspar/internal/document"
	"github.com/masticspar/masticspar/internal/inventory"
	"github.com/masticspar/masticspar/internal/rules"
	"github.com/masticspar/masticspar/internal/settings"
	"github.com/masticspar/masticspar/internal/standin/authority"
)

const (
	serviceTime = 20 * time.Millisecond // mean time of a request at speed 1
	slots       = 2                     // requests that a host executes at once
)

// Last bytes of the addresses in the network of a site.
const (
	sharedByte = 1  // platform and fabric
	entryByte  = 10 // entry-1 is at 11
	callerByte = 20
	hostByte   = 64 // first of the prefix of the backend servers
)

// Ports; they can be fixed because each site has its own network.
const (
	fabricPort   = 6081
	dataPort     = 6082
	controlPort  = 6083
	operatorPort = 6084
	platformPort = 7070
	standinPort  = 7001 // HTTP control of the fabric, the callers and the backend servers
)

var zones = []string{"wa-perth", "wa-south", "wa-north"}

// group holds the hosts of one service, which run in one process.
type group struct {
	service string
	address string    // of the service
	first   byte      // last byte of the address of the first host
	speeds  []float64 // of each host, relative to serviceTime
}

var groups = []*group{
	{service: "standdesk", address: "198.51.100.1:443", first: hostByte, speeds: []float64{1, 2, 3, 4, 2}},
	{service: "photointake", address: "198.51.100.2:443", first: hostByte + 32, speeds: []float64{1, 3}},
}

// callerLoad is the load of the callers of one service: new flows per second, and the total number of flows.
type callerLoad struct{ rate, total int }

var demoPlan = []callerLoad{{140, 1900}, {30, 400}}

// site is a complete system: the stand-ins of platform, fabric, callers and backend servers, and the entry VMs.
type site struct {
	binaries, directory string
	network             netip.Addr // the first address of the loopback network of this site, 256 addresses long
	started             time.Time  // for the times of logf
	processes           []*process
	platform            *process
	entries             map[int]*process // by number
	callers             []*process
	plan                []callerLoad      // one for each group
	plannedFlows        int               // flows that the callers open
	feedLines           int               // lines of each feed, two per second
	log                 func(line string) // writes a line of output
	inventory           inventory.Document
	rules               rules.Document
	failures            []string // failed checks
}

// host returns the name of a host of the group.
func (g *group) host(i int) string { return fmt.Sprintf("%s-%d", g.service, i) }

// address returns an address in the network of the site.
func (s *site) address(last byte, port uint16) netip.AddrPort {
	a := s.network.As4()
	a[3] = last
	return netip.AddrPortFrom(netip.AddrFrom4(a), port)
}

func (s *site) fabricAddress() string { return s.address(sharedByte, fabricPort).String() }

func (s *site) hostAddress(g *group, i int) netip.AddrPort {
	return s.address(g.first+byte(i), fabricPort)
}

// control returns the HTTP control address of the backend servers of the group.
func (s *site) control(g *group) string { return s.address(g.first, standinPort).String() }

func (s *site) entryAddress(i int, port uint16) netip.AddrPort {
	return s.address(entryByte+byte(i), port)
}

func (s *site) operator(i int) string { return s.entryAddress(i, operatorPort).String() }

const maxNetworkAttempts = 50

// chooseNetwork selects a free loopback network by the process ID, so that several sites can run at the same time.
func (s *site) chooseNetwork() error {
	for i := range maxNetworkAttempts {
		n := os.Getpid()*maxNetworkAttempts + i
		s.network = netip.AddrFrom4([4]byte{127, byte(2 + n>>8%250), byte(n), 0})
		// The fabric of a running site uses this address.
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.address(sharedByte, fabricPort)))
		if err == nil {
			return errors.Trace(conn.Close())
		}
	}
	return errors.New("no loopback network is free")
}

// start starts the site with 3 entry VMs.
func (s *site) start() error {
	if err := s.prepare(); err != nil {
		return err
	}
	return s.startEntries(1, 2, 3)
}

// prepare starts all processes except the callers and the entry VMs, writes the settings and publishes the first
// documents.
func (s *site) prepare() error {
	s.entries = map[int]*process{}
	if err := s.chooseNetwork(); err != nil {
		return err
	}
	ca, err := authority.New()
	if err != nil {
		return err
	}
	if s.platform, err = s.launch("platform", "standin-platform", "--listen", s.platformAddress()); err != nil {
		return err
	}
	if _, err := s.launch("fabric", "standin-fabric", "--address", s.fabricAddress(), "--control", s.fabricControl(),
		"--hosts", netip.PrefixFrom(s.address(hostByte, 0).Addr(), 26).String()); err != nil {
		return err
	}
	for _, g := range groups {
		if err := s.startBackend(g); err != nil {
			return err
		}
	}
	for _, i := range []int{1, 2, 3, 4} {
		if err := ca.Write(s.directory, entryName(i)); err != nil {
			return err
		}
		if err := s.writeSettings(i); err != nil {
			return err
		}
	}
	return s.publishInitial()
}

func (s *site) startBackend(g *group) error {
	args := []string{
		"--name", g.service, "--count", fmt.Sprint(len(g.speeds)), "--address", s.hostAddress(g, 0).String(),
		"--fabric", s.fabricAddress(), "--control", s.control(g), "--service", g.address,
		"--service-time", serviceTime.String(),
	}
	for _, v := range g.speeds {
		args = append(args, "--speed", fmt.Sprint(v))
	}
	_, err := s.launch(g.service, "standin-backend", args...)
	return err
}

// startEntries starts entry VMs, waits until they are ready and adds them to the fabric.
func (s *site) startEntries(list ...int) error {
	for _, i := range list {
		if err := s.startEntry(i); err != nil {
			return err
		}
	}
	for _, i := range list {
		if err := s.waitReady(i); err != nil {
			return err
		}
	}
	s.logf("%d entry VMs are ready", len(list))
	return s.setEntries(list...)
}

func (s *site) platformAddress() string { return s.address(sharedByte, platformPort).String() }

func (s *site) fabricControl() string { return s.address(sharedByte, standinPort).String() }

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (s *site) writeSettings(i int) error {
	v := settings.Settings{}
	v.SetDefaults()
	v.Name, v.Region, v.AvailabilityZone = entryName(i), "wa", zones[i%len(zones)]
	v.FabricAddress, v.DataAddress = s.entryAddress(i, fabricPort), s.entryAddress(i, dataPort)
	v.ControlAddress, v.OperatorAddress = s.entryAddress(i, controlPort), s.entryAddress(i, operatorPort)
	v.Fabric = []netip.AddrPort{s.address(sharedByte, fabricPort)}
	for _, c := range []int{1, 2, 3} {
		if c != i {
			v.Contacts = append(v.Contacts, s.entryAddress(c, controlPort))
		}
	}
	v.Platform = "http://" + s.platformAddress()
	files := authority.PathsIn(s.directory, v.Name)
	v.CAFile, v.CertificateFile, v.KeyFile = files.CA, files.Certificate, files.Key
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(s.settingsFile(i), b, 0o600))
}

func (s *site) settingsFile(i int) string { return filepath.Join(s.directory, entryName(i)+".json") }

func (s *site) startEntry(i int) error {
	p, err := s.launch(entryName(i), "masticspard", "--settings", s.settingsFile(i))
	s.entries[i] = p
	return err
}

func (s *site) waitReady(i int) error {
	return waitUntil(entryName(i)+" ready", pollTimeout, func() bool {
		return requestJSON("GET", "http://"+s.operator(i)+"/ready", nil, nil) == nil
	})
}

// setEntries sets the entry VMs to which the fabric sends packets.
func (s *site) setEntries(list ...int) error {
	addresses := make([]string, 0, len(list))
	for _, i := range list {
		addresses = append(addresses, s.entryAddress(i, fabricPort).String())
	}
	return requestJSON("PUT", "http://"+s.fabricControl()+"/entries", addresses, nil)
}

// publishInitial publishes an inventory without the last host of the first service, which addBackend adds, and rules.
func (s *site) publishInitial() error {
	s.inventory = inventory.Document{Version: 1, AvailabilityZones: zones}
	for _, g := range groups {
		s.inventory.Services = append(s.inventory.Services, inventory.Service{
			Name: g.service, Protocol: "tcp", Addresses: []netip.AddrPort{netip.MustParseAddrPort(g.address)},
			OwnerGroup: 8, WarmUp: document.Duration(2 * time.Second), MaxWait: document.Duration(2 * time.Second),
		})
		for i := range g.speeds {
			if g == groups[0] && i == len(g.speeds)-1 {
				continue
			}
			s.addHost(g, i)
		}
	}
	s.rules = rules.Document{Version: 1}
	if err := waitUntil("platform", pollTimeout, func() bool {
		return s.publish("inventory", s.inventory) == nil
	}); err != nil {
		return err
	}
	return s.publish("rules", s.rules)
}

func (s *site) addHost(g *group, i int) {
	s.inventory.Hosts = append(s.inventory.Hosts, inventory.Host{
		Name: g.host(i), Service: g.service, AvailabilityZone: zones[i%len(zones)], Address: s.hostAddress(g, i),
		Weight: 1, Slots: slots, Connections: 2000, Started: time.Now().Add(-time.Hour),
	})
}

// publish publishes a document; kind is "inventory" or "rules".
func (s *site) publish(kind string, v any) error {
	return requestJSON("POST", "http://"+s.platformAddress()+"/publish/"+kind, v, nil)
}
