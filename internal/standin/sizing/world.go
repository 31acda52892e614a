package sizing

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/inventory"
	"github.com/masticspar/masticspar/internal/rules"
)

// scale is the size of a fleet.
type scale struct {
	size, hosts, services, regions int // size is the number of entry VMs
}

// The target, a single region of it, and two smaller fleets: the current one and one with a tenth of the target's
// hosts.
var (
	current = scale{8, 18, 4, 1}
	tenth   = scale{64, 570, 110, 1}
	region  = scale{167, 1900, 367, 1}
	target  = scale{500, 5700, 1100, 3}
)

const targetZones = 11

func zoneName(i int) string    { return fmt.Sprintf("availability-zone-%d", i+1) }
func serviceName(i int) string { return fmt.Sprintf("service-%04d", i+1) }

// zones returns the number of availability zones: 3 or 4 in each region.
func (s scale) zones() int {
	if s.regions == 1 {
		return 3
	}
	return targetZones
}

// listener is the address of a service.
func listener(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
}

// hostAddress is the tunnel address of a host.
func hostAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 64, byte(i >> 8), byte(i)}), 6081)
}

// encodeInventory returns an encoded inventory in which the hosts are assigned to the services in turn.
func encodeInventory(s scale, version uint64) []byte {
	d := inventory.Document{Version: version}
	for i := range s.zones() {
		d.AvailabilityZones = append(d.AvailabilityZones, zoneName(i))
	}
	for i := range s.services {
		v := inventory.Service{}
		v.SetDefaults()
		v.Name, v.Protocol, v.Addresses, v.IdleTimeout = serviceName(i), "tcp", []netip.AddrPort{listener(i)}, 0
		d.Services = append(d.Services, v)
	}
	// Fields with the default value for every host are omitted, as in a published document.
	type host struct {
		Name    string         `json:"name"`
		Service string         `json:"service"`
		Zone    string         `json:"availability-zone"`
		Address netip.AddrPort `json:"address"`
		Started time.Time      `json:"started"`
	}
	hosts := make([]host, s.hosts)
	for i := range hosts {
		hosts[i] = host{
			Name: fmt.Sprintf("host-%05d", i+1), Service: serviceName(i % s.services), Zone: zoneName(i / s.services % s.zones()),
			Address: hostAddress(i), Started: time.Date(2026, 11, 1, 0, 0, i%3600, 0, time.UTC),
		}
	}
	return encode(struct {
		inventory.Document
		Hosts []host `json:"hosts"`
	}{d, hosts})
}

// encodeRules returns encoded rules in which one host in 50 is leaving.
func encodeRules(s scale, version uint64) []byte {
	d := rules.Document{Version: version}
	for i := 0; i < s.hosts; i += 50 {
		d.Leaving = append(d.Leaving, fmt.Sprintf("host-%05d", i+1))
	}
	return encode(d)
}

func encode(d any) []byte {
	b, err := json.Marshal(d)
	if err != nil {
		panic(err) // cannot happen: the documents are plain data
	}
	return b
}

func encodeDocument(kind fleet.Kind, s scale, version uint64) []byte {
	if kind == fleet.Rules {
		return encodeRules(s, version)
	}
	return encodeInventory(s, version)
}

// processorTime returns the processor time of the process, including garbage collection.
func processorTime() time.Duration { return readClock(unix.CLOCK_PROCESS_CPUTIME_ID) }

// threadTime returns the processor time of the calling thread; the goroutine must be locked to it.
func threadTime() time.Duration { return readClock(unix.CLOCK_THREAD_CPUTIME_ID) }

func readClock(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		panic(err) // cannot happen: every Linux kernel has these clocks
	}
	return time.Duration(t.Nano())
}

// liveHeap returns the live heap in bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC() // The first collection only queues objects with finalizers.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

var printed = map[string]bool{}

// printTable prints a table, once per title: a benchmark that takes less than the benchmark time is called repeatedly.
// It writes to standard output, because the log of a benchmark is truncated after ten lines.
func printTable(t *Table) {
	if !printed[t.Title] {
		printed[t.Title] = true
		fmt.Printf("\n%s", t)
	}
}
