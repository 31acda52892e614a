package main

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against entry VMs whose shares of a cold server do not add up because they count only the members of their own
// availability zone, and against a share for an entry VM that has reached nobody.
func TestDSRSharesColdServers(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1")
	all, _ := s.startZone(4)
	contact := all[0].settings.PeerAddress
	for i, zone := range []string{"wa-south", "wa-north"} {
		set := s.settings("entry-"+zone, contact)
		set.AvailabilityZone = zone
		set.PeerAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 11)}), contact.Port())
		d, _ := s.start(set)
		all = append(all, d)
	}
	lone, _ := s.start(s.settings("entry-lone", netip.MustParseAddrPort("127.0.0.99:9")))
	allowed := func(rate float64, daemons ...*dsrDaemon) (n int) {
		for _, d := range daemons {
			d.mu.Lock()
			if d.engine.Cold.Allow(d.timer.Now(), 7, rate) {
				n++
			}
			d.mu.Unlock()
		}
		return n
	}
	s.waitFor("shares of all entry VMs", func() bool { return allowed(6, all...) == len(all) })
	for rate := 1; rate < len(all); rate++ {
		is.Equal(allowed(float64(rate), all...), rate)
	}
	time.Sleep(time.Second)
	is.Equal(allowed(1000, lone), 0)
}
