package site

import (
	"fmt"
	"time"

	"github.com/masticspar/masticspar/internal/standin/caller"
)

// Config describes a site; a zero duration or size selects the default named at the field.
type Config struct {
	// Seed is the source of all randomness.
	Seed uint64
	// Zones are the availability zones.
	Zones []string
	// Entries are the entry VMs that start with the site.
	Entries []Entry
	// Services are the services with their hosts.
	Services []Service
	// Callers are groups of callers.
	Callers []CallerGroup
	// LocalDelay, ZoneDelay and CallerDelay are one-way delays within an availability zone (200 µs), between two of them
	// (1 ms) and to callers outside of them (1 ms).
	LocalDelay, ZoneDelay, CallerDelay time.Duration
	// Tick is the period of hosts and callers; zero selects 5 ms. It limits the delay of an answer.
	Tick time.Duration
	// FlowCapacity is the greatest number of pins of an entry VM; zero selects 20,000.
	FlowCapacity int
	// MaxRetries is that of the TCP endpoints of callers and hosts.
	MaxRetries int
	// PausedQueueLimit is the number of datagrams and messages that wait for a paused entry VM; zero selects 256.
	PausedQueueLimit int
	// Setup changes an entry VM before it starts, for policies to compare with; nil leaves it as it is.
	Setup func(s *Site, v *VM)
}

// Entry describes an entry VM.
type Entry struct {
	// Name is unique.
	Name string
	// Zone is the availability zone.
	Zone string
	// Size is the relative size.
	Size uint32
}

// Service describes a service.
type Service struct {
	// Name is the name in the inventory.
	Name string
	// Protocol is tcp or udp.
	Protocol string
	// Hosts are spread over the availability zones in turn.
	Hosts int
	// Speeds are given to the hosts in turn; none selects 1 for all. Published weights stay 1.
	Speeds []float64
	// ServiceTime is the mean time of a request at speed 1.
	ServiceTime time.Duration
	// MaxWait is the expected wait above which flows are refused; zero selects the default of the inventory.
	MaxWait time.Duration
}

// CallerGroup describes a group of callers.
type CallerGroup struct {
	// Zone is the availability zone of the group; an empty one is outside and reaches all of them.
	Zone string
	// Services are the names of the services.
	Services []string
	// Plan says what the group does; Services, Source4, Addresses, Token and MaxRetries are set by the site.
	Plan caller.Plan
}

// QuokkaLane returns the site of that user without callers.
func QuokkaLane(seed uint64) Config {
	zones := []string{"wa-perth", "wa-south", "wa-north"}
	return Config{Seed: seed, Zones: zones, Entries: entries(zones, 8), Services: []Service{
		{Name: "standdesk", Protocol: "tcp", Hosts: 14, Speeds: []float64{1, 2, 4}, ServiceTime: 100 * time.Millisecond},
		{Name: "photointake", Protocol: "tcp", Hosts: 4, Speeds: []float64{1, 2}, ServiceTime: 200 * time.Millisecond},
	}}
}

// Hivatal returns the site of that user without callers.
func Hivatal(seed uint64) Config {
	zones := []string{"buda-a", "pest-b", "obuda-c", "csepel-d"}
	return Config{Seed: seed, Zones: zones, Entries: entries(zones, 9), CallerDelay: 3 * time.Millisecond, Services: []Service{
		{Name: "allas", Protocol: "tcp", Hosts: 14, Speeds: []float64{1, 2, 4}, ServiceTime: 100 * time.Millisecond},
		{Name: "eredmeny", Protocol: "tcp", Hosts: 4, Speeds: []float64{1, 4}, ServiceTime: 200 * time.Millisecond},
	}}
}

// entries returns n entry VMs of unequal size.
func entries(zones []string, n int) []Entry {
	list := make([]Entry, n)
	for i := range list {
		list[i] = Entry{Name: fmt.Sprintf("entry-%d", i), Zone: zones[i%len(zones)], Size: []uint32{2, 3, 4}[i/2%3]}
	}
	return list
}
