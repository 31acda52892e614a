package site

import (
	"fmt"
	"time"

	"github.com/masticspar/masticspar/internal/standin/caller"
)

// Config describes a site. A zero duration or size selects the default given at the field.
type Config struct {
	// Seed determines all random choices.
	Seed uint64
	// Zones are the names of the availability zones.
	Zones []string
	// Entries are the entry VMs that start with the site.
	Entries []Entry
	// Services are the services with their hosts.
	Services []Service
	// Callers are the groups of callers.
	Callers []CallerGroup
	// LocalDelay, ZoneDelay and CallerDelay are one-way delays within an availability zone (200 µs), between two of
	// them (1 ms) and to callers outside of them (1 ms).
	LocalDelay, ZoneDelay, CallerDelay time.Duration
	// Tick is the tick period of hosts and callers; zero selects 5 ms. It bounds the delay of a response.
	Tick time.Duration
	// FlowCapacity is the maximum number of pins of an entry VM; zero selects 20,000.
	FlowCapacity int
	// MaxRetries is passed to the TCP endpoints of callers and hosts; see tcp.Endpoint.
	MaxRetries int
	// PausedQueueLimit limits the datagrams and messages queued for a paused entry VM; zero selects 256.
	PausedQueueLimit int
	// Setup is called with each entry VM before it starts, for example to install another policy for comparison. It may
	// be nil.
	Setup func(s *Site, v *VM)
}

// Entry describes an entry VM.
type Entry struct {
	// Name is unique among the running entry VMs of a site.
	Name string
	// Zone is the name of the availability zone.
	Zone string
	// Size is relative to that of the other entry VMs.
	Size uint32
}

// Service describes a service.
type Service struct {
	// Name identifies the service in the inventory.
	Name string
	// Protocol is tcp or udp.
	Protocol string
	// Hosts is the number of hosts; they are assigned to the availability zones in turn.
	Hosts int
	// Speeds are assigned to the hosts in turn; an empty list selects 1 for all. Published weights are always 1.
	Speeds []float64
	// ServiceTime is the mean time of a request at speed 1.
	ServiceTime time.Duration
	// MaxWait is the expected waiting time above which flows are refused; zero selects the default of the inventory.
	MaxWait time.Duration
}

// CallerGroup describes a group of callers.
type CallerGroup struct {
	// Zone is the availability zone of the group. An empty name places it outside of all zones, with a path to each.
	Zone string
	// Services are the names of the services that the group sends requests to.
	Services []string
	// Plan describes the flows of the group. The site sets Services, Source4, Addresses, Token and MaxRetries.
	Plan caller.Plan
}

// QuokkaLane returns the site of the user Quokka Lane, without callers.
func QuokkaLane(seed uint64) Config {
	zones := []string{"wa-perth", "wa-south", "wa-north"}
	return Config{Seed: seed, Zones: zones, Entries: entries(zones, 8), Services: []Service{
		{Name: "standdesk", Protocol: "tcp", Hosts: 14, Speeds: []float64{1, 2, 4}, ServiceTime: 100 * time.Millisecond},
		{Name: "photointake", Protocol: "tcp", Hosts: 4, Speeds: []float64{1, 2}, ServiceTime: 200 * time.Millisecond},
	}}
}

// Hivatal returns the site of the user Hivatal, without callers.
func Hivatal(seed uint64) Config {
	zones := []string{"buda-a", "pest-b", "obuda-c", "csepel-d"}
	return Config{Seed: seed, Zones: zones, Entries: entries(zones, 9), CallerDelay: 3 * time.Millisecond, Services: []Service{
		{Name: "allas", Protocol: "tcp", Hosts: 14, Speeds: []float64{1, 2, 4}, ServiceTime: 100 * time.Millisecond},
		{Name: "eredmeny", Protocol: "tcp", Hosts: 4, Speeds: []float64{1, 4}, ServiceTime: 200 * time.Millisecond},
	}}
}

// entries returns n entry VMs of different sizes, assigned to the zones in turn.
func entries(zones []string, n int) []Entry {
	list := make([]Entry, n)
	for i := range list {
		list[i] = Entry{Name: fmt.Sprintf("entry-%d", i), Zone: zones[i%len(zones)], Size: []uint32{2, 3, 4}[i/2%3]}
	}
	return list
}
