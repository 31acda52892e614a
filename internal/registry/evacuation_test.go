package registry

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/history"
)

// evacuated returns the change that starts or ends the evacuation of a zone.
func evacuated(zone string, active bool, era, revision uint64) Change {
	return Change{Zone: zone, Evacuated: active, Era: era, Revision: revision}
}

// zonedRegistry returns a registry with one server in each zone.
func zonedRegistry(zones ...string) (*Registry, []Change) {
	r := &Registry{}
	var servers []Change
	for i, zone := range zones {
		h := host(fmt.Sprint("i-", zone), 1, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 1, byte(i + 1)}), 80))
		h.AvailabilityZone = zone
		servers = append(servers, listed(h, uint64(i+1)))
		r.Apply(0, servers[i], false)
	}
	return r, servers
}

// Guards against new flows to servers of an evacuated zone, whether they were listed before or after the evacuation,
// and against a zone that stays evacuated after it was taken back.
func TestEvacuatedZoneReceivesNoFlows(t *testing.T) {
	is := is.New(t)
	r, _ := zonedRegistry("a", "b")
	is.True(r.Apply(0, evacuated("a", true, 0, 10), false))
	is.Equal(names(r), []string{"i-b"})
	late := host("i-late", 1, addressB)
	late.AvailabilityZone = "a"
	r.Apply(0, listed(late, 11), false)
	is.Equal(names(r), []string{"i-b"})
	r.Apply(0, evacuated("b", true, 0, 12), false)
	is.Equal(names(r), []string{})
	is.True(r.HasEvacuatedHosts("standdesk"))
	is.Equal(r.EvacuatedZones(), []string{"a", "b"})
	r.Apply(0, evacuated("a", false, 0, 13), false)
	is.Equal(names(r), []string{"i-a", "i-late"})
}

// Guards against an entry VM that is never ready when it starts while all zones are evacuated.
func TestRegistryWithAllZonesEvacuatedIsComplete(t *testing.T) {
	is := is.New(t)
	r, _ := zonedRegistry("a")
	r.Apply(0, Change{Configuration: &Configuration{Version: 1}}, false)
	r.Apply(0, evacuated("a", true, 0, 10), false)
	is.True(r.Complete())
}

// Guards against an evacuation that is reverted by an earlier change, such as one of a late announcement, or by a full
// read or snapshot that began before it.
func TestOlderChangeDoesNotRevertEvacuation(t *testing.T) {
	is := is.New(t)
	r, servers := zonedRegistry("a")
	r.Apply(0, evacuated("a", true, 0, 10), false)
	is.True(!r.Apply(0, evacuated("a", false, 0, 9), false))
	is.True(r.Evacuated("a"))
	r.Replace(0, servers, history.Position{Revision: 9}, false)
	is.True(r.Evacuated("a"))
	r.Apply(0, evacuated("a", false, 0, 12), false)
	is.True(!r.Apply(0, evacuated("a", true, 0, 11), false))
	is.True(!r.Evacuated("a"))
}

// Guards against an evacuation that outlives its key when its removal was missed, for example because the history was
// compacted, and against one that is not in the first full read after a start.
func TestFullReadDecidesAboutEvacuations(t *testing.T) {
	is := is.New(t)
	r, servers := zonedRegistry("a", "b")
	r.Apply(0, evacuated("a", true, 0, 10), false)
	r.Replace(0, append(servers, evacuated("b", true, 0, 15)), history.Position{Revision: 20}, false)
	is.Equal(r.EvacuatedZones(), []string{"b"})
	fresh := &Registry{}
	fresh.Replace(0, append(r.Evacuations(), r.Changes(0)...), history.Position{Revision: 20}, false)
	is.Equal(fresh.EvacuatedZones(), []string{"b"})
}

// Guards against flows to an evacuated zone right after the store was restored from a copy without the key, and against
// an evacuation that never ends if the operators do not write it again.
func TestEvacuationLapsesAfterRestore(t *testing.T) {
	for _, again := range []bool{false, true} {
		is := is.New(t)
		r, servers := zonedRegistry("a", "b")
		r.Apply(0, evacuated("a", true, 0, 10), false)
		r.Replace(0, servers, history.Position{Era: 1, Revision: 5}, true)
		r.Sweep(evacuationLapse - time.Millisecond)
		is.True(r.Evacuated("a"))
		if again {
			r.Apply(time.Second, evacuated("a", true, 1, 6), false)
		}
		r.Sweep(evacuationLapse)
		is.Equal(r.Evacuated("a"), again)
		r.Apply(time.Minute, evacuated("b", true, 1, 7), false) // In a later era a lower revision counts.
		is.True(r.Evacuated("b"))
		is.True(!r.Evacuated("a") || again)
	}
}

// Guards against load on servers that were restarted during the evacuation and whose reports are late.
func TestServersOfReturnedZoneAreCold(t *testing.T) {
	for _, rate := range []float64{0, 4} {
		is := is.New(t)
		r, _ := zonedRegistry("a", "b")
		c := &Configuration{Version: 1}
		if rate > 0 {
			c.ColdLimits = []ColdLimit{{Service: "standdesk", Rate: rate, WarmUp: 2 * time.Second}}
		}
		r.Apply(0, Change{Configuration: c}, false)
		r.Apply(0, evacuated("a", true, 0, 10), false)
		r.Apply(time.Second, evacuated("a", false, 0, 11), false)
		want := map[string]time.Duration{"a": 0, "b": 0}
		if rate > 0 {
			want["a"] = 3 * time.Second
		}
		for _, l := range r.Hosts("standdesk") {
			is.Equal(l.ColdUntil, want[l.AvailabilityZone])
			h := l.Host // A report from before the restart.
			r.Apply(2*time.Second, Change{Name: h.Name, Revision: 12, Host: &h}, false)
			is.Equal(l.ColdUntil, max(2*time.Second, want[l.AvailabilityZone]))
		}
		var started Registry // Of an entry VM that starts with this state.
		started.Replace(2*time.Second, append(r.Changes(2*time.Second), Change{Configuration: c}), history.Position{}, true)
		for _, l := range started.Hosts("standdesk") {
			is.Equal(l.ColdUntil, max(2*time.Second, want[l.AvailabilityZone]))
		}
	}
}
