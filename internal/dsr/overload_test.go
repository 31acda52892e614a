package dsr

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/registry"
)

// Guards against a service of a split route receiving the retries of callers of another one that is full, and against a
// retry that goes to the server which has just refused the request, or to a service without servers, and against
// flows to other routes that count as retries. New flows keep the weights of the operators.
func TestRetriesStayAtOverloadedService(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, 0)
	e.Registry.Apply(e.now, registry.Change{Configuration: &registry.Configuration{
		Version: 2, Routes: []registry.Route{{
			Address: serviceAddress, TargetLatency: targetLatency,
			Targets: []registry.Target{{Service: "main", Weight: 90}, {Service: "trial", Weight: 10}},
		}, {
			Address: routeAddress(1), TargetLatency: targetLatency,
			Targets: []registry.Target{{Service: "trial", Weight: 1}},
		}},
	}}, false)
	for i := range 30 {
		service, zone := "main", "wa-perth"
		if i%3 == 0 {
			service, zone = "trial", "wa-south"
		}
		e.Registry.Apply(e.now, registry.Change{
			Name: fmt.Sprint("s-", i), Revision: 1, Created: 1, Host: &registry.Host{
				Name: fmt.Sprint("s-", i), Service: service, AvailabilityZone: zone, Slots: 2, Started: 1,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80),
			},
		}, false)
	}
	flows, trial, retries := 0, 0, 0
	for i := range 1000 {
		e.advance(20 * time.Millisecond)
		c := e.caller(byte(i))
		c.open()
		first := e.Registry.Lifetime(c.token)
		flows++
		if first.Service == "trial" {
			trial++
			c.request(5 * time.Millisecond)
			continue
		}
		c.request(80 * time.Millisecond) // The server is full and answers 503.
		if !e.Placement.Overloaded("main") {
			continue
		}
		retry := e.caller(byte(i))
		retry.open()
		second := e.Registry.Lifetime(retry.token)
		retries++
		is.Equal(second.Service, "main")
		is.True(second != first)
		retry.request(5 * time.Millisecond)
	}
	is.True(retries > 500)
	is.True(!e.Placement.Overloaded("trial"))
	if share := float64(trial) / float64(flows); math.Abs(share-0.1) > 0.03 {
		t.Errorf("share of new flows to the service with weight 10 of 100: %.3f", share)
	}
	// A flow to another route is not another attempt.
	observe, retried := e.Flows.Observe, 0
	e.Flows.Observe = func(now time.Duration, ev flowevent.Event) {
		if ev.Kind == flowevent.Retried {
			retried++
		}
		observe(now, ev)
	}
	late := func() {
		c := e.caller(1)
		for c.open(); e.Registry.Lifetime(c.token).Service != "main"; c.open() {
			c = e.caller(1)
		}
		c.request(80 * time.Millisecond)
	}
	late()
	other := e.caller(1)
	other.Service = routeAddress(1)
	other.open()
	is.Equal(retried, 0)
	// Retries leave an overloaded service without servers.
	late()
	e.Registry.Apply(e.now, registry.Change{Zone: "wa-perth", Evacuated: true, Era: 1, Revision: 9}, false)
	is.True(e.Placement.Overloaded("main"))
	c := e.caller(1)
	for targetService(e.Registry.Route(c.Service), flowHash(c.Key)) != "trial" {
		c = e.caller(1)
	}
	is.Equal(c.syn().Action, Forward)
}
