package loadreport

import (
	"math"
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
)

// never is a time before all others.
const never = time.Duration(math.MinInt64 / 2)

// observation is what this entry VM observed of one server.
type observation struct {
	token        uint32
	outstanding  int
	responseTime float64 // mean in nanoseconds
	samples      float64 // responses behind responseTime, decayed up to observedAt
	failures     float64 // decayed up to observedAt
	observedAt   time.Duration
	changedAt    time.Duration // time of the last event
	loaded       bool
	loadedAt     time.Duration // when it was marked
	unloadedAt   time.Duration // when the mark was removed
	value        float64       // how informative its report is
	reportedIn   uint64        // sequence of the last message with the server
	listed       bool          // whether it is in Exchange.listed
}

// Observe records an event of a flow of this entry VM.
func (x *Exchange) Observe(now time.Duration, e flowevent.Event) {
	switch e.Kind {
	case flowevent.Opened, flowevent.Accepted, flowevent.Closed, flowevent.Joined:
		return
	}
	o := x.observation(e.Host)
	o.changedAt = now
	switch e.Kind {
	case flowevent.Requested:
		o.outstanding++
	case flowevent.Answered, flowevent.Abandoned:
		o.outstanding = max(0, o.outstanding-1)
		if e.Kind == flowevent.Answered && e.Elapsed > 0 {
			o.decay(now)
			o.samples++
			o.responseTime += (float64(e.Elapsed) - o.responseTime) / o.samples
		}
	case flowevent.Refused, flowevent.Unanswered, flowevent.Repeated:
		o.decay(now)
		o.failures++
	}
}

// SetLoaded marks a server whose observations are worth reporting, or removes the mark.
func (x *Exchange) SetLoaded(now time.Duration, token uint32, loaded bool) {
	o := x.observations[token]
	if o == nil {
		if !loaded {
			return
		}
		o = x.observation(token)
	}
	switch {
	case loaded && !o.loaded:
		o.loadedAt = now
	case !loaded && o.loaded:
		o.unloadedAt = now
	}
	o.loaded = loaded
	if loaded && !o.listed {
		o.listed = true
		x.listed = append(x.listed, o)
	}
}

// Forget removes what is known of a server whose token is no longer in use.
func (x *Exchange) Forget(token uint32) {
	if o := x.observations[token]; o != nil {
		o.loaded, o.unloadedAt = false, never // The next tick removes it from listed.
	}
	delete(x.observations, token)
	x.dropServer(token)
}

func (x *Exchange) observation(token uint32) *observation {
	o := x.observations[token]
	if o == nil {
		if x.observations == nil {
			x.observations = map[uint32]*observation{}
		}
		o = &observation{token: token, observedAt: never, changedAt: never}
		x.observations[token] = o
	}
	return o
}

// decay reduces the weights of earlier responses and failures for their age.
func (o *observation) decay(now time.Duration) {
	w := weight(now - o.observedAt)
	o.samples *= w
	o.failures *= w
	o.observedAt = now
}

// weight returns the weight of an observation of the given age.
func weight(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

// isRecent reports whether there is something to report.
func (o *observation) isRecent(now time.Duration) bool {
	return o.outstanding > 0 || now-o.changedAt < retention
}

// eventCount returns the number of recent events behind a report of the server, which makes it informative. A request
// without a response counts less than one with a recent response, because it tells nothing of the response time yet.
func (o *observation) eventCount(now time.Duration) float64 {
	const outstandingValue = 0.5
	return outstandingValue*float64(o.outstanding) + (o.samples+o.failures)*weight(now-o.observedAt)
}

// report returns the entry of the server in a report that is sent now.
func (o *observation) report(now time.Duration) Server {
	s := Server{Token: o.token, Outstanding: uint8(min(o.outstanding, math.MaxUint8))}
	age := max(0, now-o.observedAt)
	if age >= retention {
		return s
	}
	s.Age = uint8(age / ageUnit)
	s.Failures = quantize(o.failures)
	if s.Samples = quantize(o.samples); s.Samples > 0 {
		s.ResponseTime = uint16(min(max(1, math.Round(o.responseTime/float64(responseUnit))), maxResponse))
	}
	return s
}

// quantize returns a decayed number in countUnit.
func quantize(n float64) uint8 { return uint8(min(math.Round(n/countUnit), math.MaxUint8)) }
