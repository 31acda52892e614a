package main

import (
	"encoding/json"
	"fmt"
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
	platformAddress = "127.0.0.1:7070"
	fabricAddress   = "127.0.0.1:6081"
	fabricControl   = "127.0.0.1:7001"
	serviceTime     = 20 * time.Millisecond
	slots           = 2
)

var zones = []string{"wa-perth", "wa-south", "wa-north"}

// group is the hosts of one service, which run in one process.
type group struct {
	service string
	address string // of the service
	first   netip.AddrPort
	control string
	speeds  []float64
}

var groups = []*group{
	{
		service: "standdesk", address: "198.51.100.1:443", first: netip.MustParseAddrPort("127.1.0.1:6081"),
		control: "127.0.0.1:7002", speeds: []float64{1, 2, 3, 4, 2},
	},
	{
		service: "photointake", address: "198.51.100.2:443", first: netip.MustParseAddrPort("127.1.1.1:6081"),
		control: "127.0.0.1:7003", speeds: []float64{1, 3},
	},
}

// site is the whole path.
type site struct {
	binaries, directory string
	started             time.Time
	processes           []*process
	entries             map[int]*process
	callers             []*process
	inventory           inventory.Document
	rules               rules.Document
	failures            []string
}

func (g *group) host(i int) string { return fmt.Sprintf("%s-%d", g.service, i) }

func (g *group) hostAddress(i int) netip.AddrPort {
	a := g.first.Addr()
	for range i {
		a = a.Next()
	}
	return netip.AddrPortFrom(a, g.first.Port())
}

func (s *site) start() error {
	s.entries = map[int]*process{}
	ca, err := authority.New()
	if err != nil {
		return err
	}
	if _, err := s.launch("platform", "standin-platform", "--listen", platformAddress); err != nil {
		return err
	}
	if _, err := s.launch("fabric", "standin-fabric", "--address", fabricAddress, "--control", fabricControl); err != nil {
		return err
	}
	for _, g := range groups {
		args := []string{
			"--name", g.service, "--count", fmt.Sprint(len(g.speeds)), "--address", g.first.String(), "--fabric", fabricAddress,
			"--control", g.control, "--service", g.address, "--service-time", serviceTime.String(),
		}
		for _, v := range g.speeds {
			args = append(args, "--speed", fmt.Sprint(v))
		}
		if _, err := s.launch(g.service, "standin-backend", args...); err != nil {
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
	if err := s.publishFirst(); err != nil {
		return err
	}
	for _, i := range []int{1, 2, 3} {
		if err := s.startEntry(i); err != nil {
			return err
		}
	}
	for _, i := range []int{1, 2, 3} {
		if err := s.waitReady(i); err != nil {
			return err
		}
	}
	s.note("3 entry VMs are ready")
	return s.setEntries(1, 2, 3)
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func entryAddress(i, port int) string { return fmt.Sprintf("127.0.1.%d:%d", i, port) }

func (s *site) writeSettings(i int) error {
	v := settings.Settings{}
	v.SetDefaults()
	address := func(port int) netip.AddrPort { return netip.MustParseAddrPort(entryAddress(i, port)) }
	v.Name, v.Region, v.AvailabilityZone = entryName(i), "wa", zones[i%len(zones)]
	v.FabricAddress, v.DataAddress = address(6081), address(6082)
	v.ControlAddress, v.OperatorAddress = address(6083), address(6084)
	v.Fabric = []netip.AddrPort{netip.MustParseAddrPort(fabricAddress)}
	for _, c := range []int{1, 2, 3} {
		if c != i {
			v.Contacts = append(v.Contacts, netip.MustParseAddrPort(entryAddress(c, 6083)))
		}
	}
	v.Platform = "http://" + platformAddress
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
	return until(entryName(i)+" ready", 10*time.Second, func() bool {
		return exchange("GET", "http://"+entryAddress(i, 6084)+"/ready", nil, nil) == nil
	})
}

// setEntries tells the fabric which entry VMs get packets.
func (s *site) setEntries(list ...int) error {
	addresses := make([]string, 0, len(list))
	for _, i := range list {
		addresses = append(addresses, entryAddress(i, 6081))
	}
	return exchange("PUT", "http://"+fabricControl+"/entries", addresses, nil)
}

// publishFirst publishes an inventory without the last host of the first service.
func (s *site) publishFirst() error {
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
	if err := until("platform", 5*time.Second, func() bool { return s.publish("inventory", s.inventory) == nil }); err != nil {
		return err
	}
	return s.publish("rules", s.rules)
}

func (s *site) addHost(g *group, i int) {
	s.inventory.Hosts = append(s.inventory.Hosts, inventory.Host{
		Name: g.host(i), Service: g.service, AvailabilityZone: zones[i%len(zones)], Address: g.hostAddress(i),
		Weight: 1, Slots: slots, Connections: 2000, Started: time.Now().Add(-time.Hour),
	})
}

func (s *site) publish(kind string, v any) error {
	return exchange("POST", "http://"+platformAddress+"/publish/"+kind, v, nil)
}
