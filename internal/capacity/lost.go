package capacity

import (
	"math"
	"time"
)

// minLostTimeConstant is the shortest time constant for counting silent requests.
const minLostTimeConstant = 10 * time.Second

// lostRequests estimates how many outstanding requests will never be answered, because their connections went silent. They
// are no load on the host, and a few of them would otherwise keep all work away from it until the idle timeout.
//
// The time integral of outstanding requests is the time that answered requests took plus the age of those that are still
// outstanding. That age is bounded while all are answered, and grows by one second a second for each silent one, so the
// smoothed growth is their number.
type lostRequests struct {
	outstandingTime time.Duration // time integral of outstanding requests since the last tick
	answeredTime    time.Duration // time that requests took that were answered since the last tick
	responses       int           // their number

	responseSeconds float64 // smoothed time of an answer in seconds
	growth          float64 // smoothed growth of the age
	lost            float64 // whole number of silent requests
}

// estimateLost updates the estimate after the given time.
func (h *host) estimateLost(gap time.Duration) {
	seconds := gap.Seconds()
	if h.responses > 0 {
		weight := min(1, float64(h.responses)/learnedSamples)
		h.responseSeconds += (h.answeredTime.Seconds()/float64(h.responses) - h.responseSeconds) * weight
	}
	// Ages vary with the waiting time, so slow hosts need a longer mean.
	constant := max(minLostTimeConstant.Seconds(), 10*h.responseSeconds)
	h.growth += ((h.outstandingTime-h.answeredTime).Seconds()/seconds - h.growth) * (1 - math.Exp(-seconds/constant))
	h.outstandingTime, h.answeredTime, h.responses = 0, 0, 0
	h.lost = max(0, min(float64(h.outstanding), math.Round(h.growth)))
}

// live returns the own outstanding requests that can still be answered.
func (h *host) live() float64 {
	return max(0, float64(h.outstanding)-h.lost)
}
