package dsr

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/conntrack"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/registry"
)

// Guards against urgency by the absolute value of a priority, and against urgency where no other route of the same
// service can wait.
func TestUrgentRoutesAreThoseWithLessUrgentOnesAtTheirService(t *testing.T) {
	for _, test := range []struct {
		priorities []int    // by route
		services   []string // by route, each letter is a service
		want       []bool
	}{
		{[]int{1, 2}, []string{"a", "a"}, []bool{true, false}},
		{[]int{5, 9, 7}, []string{"a", "a", "a"}, []bool{true, false, true}},
		{[]int{1, 1}, []string{"a", "a"}, []bool{false, false}},
		{[]int{1, 2}, []string{"a", "b"}, []bool{false, false}},
		{[]int{0, 1}, []string{"ab", "b"}, []bool{true, false}},
	} {
		var routes []registry.Route
		for i, p := range test.priorities {
			r := registry.Route{Address: routeAddress(i), Priority: p}
			for _, s := range test.services[i] {
				r.Targets = append(r.Targets, registry.Target{Service: string(s), Weight: 1})
			}
			routes = append(routes, r)
		}
		classes := classify(routes)
		for i, want := range test.want {
			if got := classes[routeAddress(i)].Urgent; got != want {
				t.Errorf("%v at %v: route %d urgent: %t, want %t", test.priorities, test.services, i, got, want)
			}
		}
	}
}

func routeAddress(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("198.18.0.%d:443", i+1))
}

// Guards against long flows that keep the urgency of an earlier configuration.
func TestOpenFlowFollowsConfiguration(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, 3)
	var last flowevent.Event
	e.Flows.Observe = func(_ time.Duration, ev flowevent.Event) { last = ev }
	c := e.caller(1)
	c.open()
	c.request(0)
	is.True(!last.Urgent)
	config := e.Registry.Configuration()
	feeds := config.Routes[0]
	feeds.Address, feeds.Priority = routeAddress(1), 3
	e.Registry.Apply(e.now, registry.Change{Configuration: &registry.Configuration{
		Version: 2, Routes: []registry.Route{config.Routes[0], feeds},
	}}, false)
	c.request(0)
	is.True(last.Urgent)
	is.Equal(e.Flows.Classify(routeAddress(2)), conntrack.Class{}) // No route has this address.
}
