package entry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/packet"
)

const inventoryText = `{"version": 1, "availability-zones": ["a"],
"services": [{"name": "standdesk", "protocol": "tcp", "addresses": ["10.9.0.1:443"], "owner-group": 8}],
"hosts": [
{"name": "host-0", "service": "standdesk", "availability-zone": "a", "address": "10.1.0.1:6081", "weight": 1},
{"name": "host-1", "service": "standdesk", "availability-zone": "a", "address": "10.1.0.2:6081", "weight": 1},
{"name": "host-2", "service": "standdesk", "availability-zone": "a", "address": "10.1.0.3:6081", "weight": 1},
{"name": "host-3", "service": "standdesk", "availability-zone": "a", "address": "10.1.0.4:6081", "weight": 1}]}`

// startedEngine returns an engine that has accepted the inventory.
func startedEngine(is *is.I) *Engine {
	e := &Engine{
		Self: member.Member{Name: "entry-0", Size: 1, Control: netip.MustParseAddrPort("10.0.0.1:7000")}, FlowCapacity: 100,
		Send: func(member.Member, Kind, []byte) {},
	}
	e.Start(0)
	e.Tick(4 * time.Second)
	is.True(e.HandleDocument(4*time.Second, fleet.Prepare(fleet.Inventory, "platform", []byte(inventoryText))))
	return e
}

// Guards against payload that is sent to a host by a pin from before a pause: the connection may be another one by now.
func TestPinsAreUnverifiedAfterPause(t *testing.T) {
	is := is.New(t)
	e := startedEngine(is)
	s := e.catalog.Services()[0]
	k := packet.NewKey(packet.TCP, netip.MustParseAddrPort("192.0.2.1:4000"), s.Addresses[0])
	b, err := packet.Segment{Key: k, SYN: true}.Bytes()
	is.NoErr(err)
	is.NoErr(e.parsed.Parse(b))
	e.flows.FromCaller(5*time.Second, s, &e.parsed)
	e.HandlePause(10*time.Second, 4*time.Second)
	n, ok := e.flows.Get(10*time.Second, &k)
	is.True(ok)
	is.Equal(n.State, "unverified")
	is.True(!e.Ready())
}

// Guards against a SYN that is sent to the same unresponsive host again although an untried host is left.
func TestPickAvoidsAllHostsThatWereTried(t *testing.T) {
	is := is.New(t)
	e := startedEngine(is)
	s := e.catalog.Services()[0]
	for port := range uint16(100) {
		k := packet.NewKey(packet.TCP, netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), 4000+port), s.Addresses[0])
		var tried []uint32
		for range s.Hosts {
			h, reason := e.pick(5*time.Second, s, &k, tried)
			is.Equal(reason, "")
			tried = append(tried, h.ID)
		}
		h, _ := e.pick(5*time.Second, s, &k, tried)
		is.True(h == nil)
	}
}
