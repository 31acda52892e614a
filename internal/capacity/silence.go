package capacity

import (
	"math"
	"time"
)

// silentAfter is the shortest time constant for counting silent requests.
const silentAfter = 10 * time.Second

// silence estimates how many outstanding requests will never be answered, because their connections went silent. They
// are no load on the host, and a few of them would otherwise keep all work away from it until the idle timeout.
//
// The time integral of outstanding requests is the time that answered requests took plus the age of those that are still
// outstanding. That age is bounded while all are answered, and grows by one second a second for each silent one, so the
// smoothed growth is their number.
type silence struct {
	gross    time.Duration // time integral of outstanding requests since the last tick
	answered time.Duration // time that requests took that were answered since the last tick
	answers  int           // their number

	wait   float64 // smoothed time of an answer in seconds
	growth float64 // smoothed growth of the age
	silent float64 // whole number of silent requests
}

// estimateSilent updates the estimate after the given time.
func (h *host) estimateSilent(gap time.Duration) {
	seconds := gap.Seconds()
	if h.answers > 0 {
		weight := min(1, float64(h.answers)/learnedSamples)
		h.wait += (h.answered.Seconds()/float64(h.answers) - h.wait) * weight
	}
	// Ages vary with the waiting time, so slow hosts need a longer mean.
	constant := max(silentAfter.Seconds(), 10*h.wait)
	h.growth += ((h.gross-h.answered).Seconds()/seconds - h.growth) * (1 - math.Exp(-seconds/constant))
	h.gross, h.answered, h.answers = 0, 0, 0
	h.silent = max(0, min(float64(h.outstanding), math.Round(h.growth)))
}

// live returns the own outstanding requests that can still be answered.
func (h *host) live() float64 {
	return max(0, float64(h.outstanding)-h.silent)
}
