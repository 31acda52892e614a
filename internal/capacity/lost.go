package capacity

import (
	"math"
	"time"
)

// minLostTimeConstant is the shortest time constant of the estimate of lost requests.
const minLostTimeConstant = 10 * time.Second

// lostRequests estimates how many outstanding requests will never get a response, because their connections stopped
// responding. They put no load on the host, and counting a few of them would keep all work from it until the idle
// timeout.
//
// The time integral of outstanding requests is the time that completed requests took plus the age of those that are
// still outstanding. That age is bounded while every request completes, and grows by one second a second for each lost
// request. The smoothed growth is therefore the number of lost requests.
type lostRequests struct {
	outstandingTime time.Duration // time integral of outstanding requests since the last tick
	answeredTime    time.Duration // sum of the response times of requests that completed since the last tick
	responses       int           // number of requests in answeredTime

	responseSeconds float64 // smoothed response time in seconds
	growth          float64 // smoothed growth of the age in seconds per second
	lost            float64 // estimated number of lost requests, rounded
}

// estimateLost updates the estimate; gap is the time since the last update.
func (h *host) estimateLost(gap time.Duration) {
	seconds := gap.Seconds()
	if h.responses > 0 {
		weight := min(1, float64(h.responses)/learnedSamples)
		h.responseSeconds += (h.answeredTime.Seconds()/float64(h.responses) - h.responseSeconds) * weight
	}
	// Ages vary with the waiting time, so slow hosts need a longer time constant.
	constant := max(minLostTimeConstant.Seconds(), 10*h.responseSeconds)
	h.growth += ((h.outstandingTime-h.answeredTime).Seconds()/seconds - h.growth) * (1 - math.Exp(-seconds/constant))
	h.outstandingTime, h.answeredTime, h.responses = 0, 0, 0
	h.lost = max(0, min(float64(h.outstanding), math.Round(h.growth)))
}

// live returns the own outstanding requests that can still get a response.
func (h *host) live() float64 {
	return max(0, float64(h.outstanding)-h.lost)
}
