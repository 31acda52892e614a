package dsr

import (
	"time"

	"github.com/masticspar/masticspar/internal/flowevent"
)

const (
	// pathWindow is how long responses are evidence about the path through this entry VM.
	pathWindow = 3 * time.Second
	// maxPathSamples bounds the kept responses; an entry VM with more of them needs only the last ones.
	maxPathSamples = 128
	// promptResponse is the longest response time that a path without delays or losses has.
	promptResponse = 300 * time.Millisecond
)

// path holds the recent responses of all servers, as evidence about the links and the processing of this entry VM: the
// link of a small VM that is full, or a VM that is slow or was paused, delays the packets of all flows alike.
type path struct {
	samples []sample // oldest first
}

// sample is a request that was answered.
type sample struct {
	requestedAt, answeredAt time.Duration
	host                    uint32 // token of the server
	repeats                 int    // retransmissions of the request
}

func (h *path) observe(now time.Duration, e flowevent.Event) {
	if e.Kind != flowevent.Answered || e.Elapsed == 0 {
		return
	}
	if len(h.samples) == maxPathSamples {
		h.samples = append(h.samples[:0], h.samples[1:]...)
	}
	h.samples = append(h.samples, sample{now - e.Elapsed, now, e.Host, e.Repeats})
}

// prompt returns the number of servers other than host that answered requests received since the given time. It returns
// 0 if a response within pathWindow took longer than promptResponse or needed a retransmission, because the path is
// then delayed or lossy.
func (h *path) prompt(now, since time.Duration, host uint32) int {
	servers := map[uint32]bool{}
	for i := len(h.samples) - 1; i >= 0; i-- {
		s := &h.samples[i]
		if now-s.answeredAt > pathWindow {
			break
		}
		if s.repeats > 0 || s.answeredAt-s.requestedAt > promptResponse {
			return 0
		}
		if s.requestedAt >= since && s.host != host {
			servers[s.host] = true
		}
	}
	return len(servers)
}
