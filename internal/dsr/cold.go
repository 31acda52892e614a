package dsr

import (
	"time"

	"github.com/masticspar/masticspar/internal/registry"
)

// usableHosts returns the servers of a service without the cold ones that this entry VM must not use now. The list is
// valid until the next call.
func (e *Engine) usableHosts(now time.Duration, service string, hosts []*registry.Lifetime) []*registry.Lifetime {
	c := e.Registry.Configuration()
	limit := c.ColdLimit(service)
	if limit.Rate <= 0 {
		return hosts
	}
	e.usable = e.usable[:0]
	for _, l := range hosts {
		if now >= l.ColdUntil || e.Cold.Allow(now, l.Token, limit.Rate) {
			e.usable = append(e.usable, l)
		}
	}
	return e.usable
}

// coldRate returns the number of SYNs per second that a cold server bears; 0 means that there is no limit.
func (e *Engine) coldRate(now time.Duration, l *registry.Lifetime) float64 {
	if now >= l.ColdUntil {
		return 0
	}
	c := e.Registry.Configuration()
	return max(0, c.ColdLimit(l.Service).Rate)
}

// recordCold counts a SYN that is forwarded to a server, if the server is cold and has a limit.
func (e *Engine) recordCold(now time.Duration, l *registry.Lifetime) {
	if e.coldRate(now, l) > 0 {
		e.Cold.Record(now, l.Token)
	}
}
