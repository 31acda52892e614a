package configcheck

import "github.com/masticspar/masticspar/platform/written"

// checkLimits finds limits that contradict each other.
func (c *checker) checkLimits() {
	lifetime := c.FlowLifetime.Milliseconds()
	idle, longer, longest := c.Document.Limits.IdleTimeout, 0, 0
	for i := range c.Document.Routes {
		r := &c.Document.Routes[i]
		switch {
		case r.TargetLatency < 0:
			c.addError(routePath(i, "target_latency_ms"), r.TargetLatency, "must not be negative")
		case r.Timeout > 0 && r.TargetLatency > r.Timeout:
			c.addError(routePath(i, "target_latency_ms"), r.TargetLatency, "is above timeout_ms (%d)", r.Timeout)
		case r.Timeout == 0 && r.TargetLatency > lifetime:
			c.addError(routePath(i, "target_latency_ms"), r.TargetLatency, "is above the maximum age of a flow (%v)",
				c.FlowLifetime)
		}
		switch {
		case r.Timeout < 0:
			c.addError(routePath(i, "timeout_ms"), r.Timeout, "must not be negative")
		case r.Timeout > lifetime:
			c.addError(routePath(i, "timeout_ms"), r.Timeout, "is above the maximum age of a flow (%v)", c.FlowLifetime)
		}
		switch {
		case r.Priority < 0:
			c.addError(routePath(i, "priority"), r.Priority, "must not be negative: entry VMs use 0, the most urgent priority")
		case r.Priority > written.MaxPriority:
			c.addError(routePath(i, "priority"), r.Priority, "must be at most %d, which entry VMs use", written.MaxPriority)
		}
		if r.TargetLatency > idle {
			longer++
			if r.TargetLatency > c.Document.Routes[longest].TargetLatency {
				longest = i
			}
		}
	}
	switch {
	case idle < 0:
		c.addError("limits.idle_timeout_ms", idle, "must not be negative")
	case idle > 0 && longer > 0:
		c.addError("limits.idle_timeout_ms", idle,
			"is below the target latency of %d routes; the longest is %d ms in routes[%d]",
			longer, c.Document.Routes[longest].TargetLatency, longest)
	}
	for i := range c.Document.Services {
		c.checkCold(i, &c.Document.Services[i])
	}
	if c.InForce != nil && c.Document.Version <= c.InForce.Version && c.Document.Version > 0 {
		c.addError("version", c.Document.Version, "is not above the version in force (%d): entry VMs ignore it",
			c.InForce.Version)
	}
}

// checkCold checks the limit of cold servers of a service.
func (c *checker) checkCold(i int, s *written.Service) {
	if !(s.ColdRate >= 0 && s.ColdRate <= written.MaxColdRate) { // Not a number is out of range, too.
		c.addError(servicePath(i, "cold_per_s"), s.ColdRate, "must be 0 to %d: entry VMs set no limit", written.MaxColdRate)
		return
	}
	hasWarmUp := s.WarmUp > 0
	switch {
	case s.ColdRate > 0 && !hasWarmUp:
		c.addError(servicePath(i, "warmup_s"), s.WarmUp,
			"must be above 0 with cold_per_s %v: servers of a zone that is taken back are not treated as cold", s.ColdRate)
	case s.WarmUp < 0:
		c.addError(servicePath(i, "warmup_s"), s.WarmUp, "must not be negative")
	case s.WarmUp > written.MaxWarmUp.Seconds():
		c.addError(servicePath(i, "warmup_s"), s.WarmUp, "must be at most %v, which entry VMs use",
			written.MaxWarmUp.Seconds())
	}
}
