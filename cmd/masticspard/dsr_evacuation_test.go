package main

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/conntrack"
	standin "github.com/masticspar/masticspar/platform/standin/store"
	"github.com/masticspar/masticspar/platform/standin/wire"
)

// Guards against flows to servers of an evacuated zone from an entry VM that reads the store, one that does not, and
// one that starts meanwhile; also while the store is down and after it dropped its history. SYNs are reset at once if
// no other zone has servers, and open flows stay.
func TestDSRKeepsFlowsFromEvacuatedZone(t *testing.T) {
	is := is.New(t)
	s := newDSRSite(t, "i-1")
	all, _ := s.startZone(4)
	s.send(all[0].settings.DataAddress, 1, conntrack.Packet{SYN: true})
	p, _ := s.packet(s.receive(s.hosts["i-1"], time.Second))
	token := p.Token
	s.store.Put(wire.EvacuationKey("wa-perth"), []byte{0xa0})
	s.waitFor("evacuation", func() bool { return evacuatedAt(all) == len(all) })
	s.store.DropHistory()
	s.store.SetFaults(standin.Faults{Status: 503})
	set := s.settings("entry-late", all[0].settings.PeerAddress)
	set.PeerAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 9}), all[0].settings.PeerAddress.Port())
	late, _ := s.start(set)
	s.waitFor("ready", isReady(set))
	all = append(all, late)
	for i, d := range all {
		s.send(d.settings.DataAddress, uint16(10+i), conntrack.Packet{SYN: true})
		reset, err := wire.Decode(s.receive(s.caller, time.Second))
		is.NoErr(err)
		is.True(reset.RST)
		is.Equal(d.counters.Values()["refused-evacuated"], int64(1))
	}
	s.send(late.settings.DataAddress, 1, conntrack.Packet{ACK: true, Token: token, Length: 3, Sequence: 1})
	p, _ = s.packet(s.receive(s.hosts["i-1"], time.Second))
	is.Equal(p.Token, token)
	s.store.SetFaults(standin.Faults{})
	s.store.Delete(wire.EvacuationKey("wa-perth"))
	s.waitFor("end of the evacuation", func() bool { return evacuatedAt(all) == 0 })
}

// evacuatedAt returns the number of daemons that know of an evacuation.
func evacuatedAt(all []*dsrDaemon) (n int) {
	for _, d := range all {
		d.mu.Lock()
		if len(d.engine.Registry.EvacuatedZones()) > 0 {
			n++
		}
		d.mu.Unlock()
	}
	return n
}
