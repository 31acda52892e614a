package backend

import (
	"time"

	"github.com/masticspar/masticspar/internal/packet"
	"github.com/masticspar/masticspar/internal/standin/request"
)

// Kind is the kind of a Mode.
type Kind string

// Kinds of modes.
const (
	ModeNormal       Kind = ""
	ModeSlow         Kind = "slow"   // requests take Factor times as long
	ModeUnresponsive Kind = "silent" // accepts connections and ignores all requests
	ModeRefuse       Kind = "refuse" // rejects each SYN with a reset
	ModeAbort        Kind = "abort"  // accepts connections and resets them at the first request
	ModeCold         Kind = "cold"   // starts at a tenth of the speed and rises linearly to full speed over WarmUp
	ModeDead         Kind = "dead"   // drops all packets, connections and requests
)

const coldFactor = 10 // divisor of the speed at the start of ModeCold

// Mode is the behaviour of a host.
type Mode struct {
	Kind   Kind          `json:"mode"`
	Factor float64       `json:"factor"`     // divisor of the speed, for ModeSlow; zero keeps the speed
	WarmUp time.Duration `json:"warm-up-ns"` // time until full speed, for ModeCold
}

// SetMode changes the behaviour. Requests in progress keep their end, except that ModeDead drops all connections and
// requests.
func (h *Host) SetMode(now time.Duration, m Mode) {
	h.advance(now)
	if m.Kind == ModeDead {
		h.connections, h.order, h.openConnections, h.queue, h.running = nil, nil, 0, nil, nil
	}
	h.Mode, h.modeSince = m, now
}

// Capacity returns the requests per second that the host can execute at now.
func (h *Host) Capacity(now time.Duration) float64 {
	return float64(h.slots()) * h.speed(now) / h.ServiceTime.Seconds()
}

func (h *Host) slots() int {
	if h.Slots == 0 {
		return defaultSlots
	}
	return h.Slots
}

func (h *Host) speed(now time.Duration) float64 {
	speed := h.Speed
	if speed == 0 {
		speed = 1
	}
	switch h.Mode.Kind {
	case ModeSlow:
		if h.Mode.Factor > 0 {
			speed /= h.Mode.Factor
		}
	case ModeCold:
		if age := now - h.modeSince; age < h.Mode.WarmUp {
			warm := float64(age) / float64(h.Mode.WarmUp)
			speed *= 1./coldFactor + (1-1./coldFactor)*warm
		}
	}
	return speed
}

func (h *Host) submit(now time.Duration, j job) {
	h.advance(now)
	h.queue = append(h.queue, j)
	h.startQueued(now)
}

// advance completes the requests that end by now, in order of their end, and starts a queued request at each end.
func (h *Host) advance(now time.Duration) {
	for {
		first := -1
		for i := range h.running {
			if h.running[i].end <= now && (first < 0 || h.running[i].end < h.running[first].end) {
				first = i
			}
		}
		if first < 0 {
			return
		}
		j := h.running[first]
		h.running = append(h.running[:first], h.running[first+1:]...)
		h.Statistics.Busy += j.end - j.started
		h.Statistics.Completed++
		h.respond(now, j)
		h.startQueued(j.end)
	}
}

func (h *Host) startQueued(at time.Duration) {
	for len(h.queue) > 0 && len(h.running) < h.slots() {
		j := h.queue[0]
		h.queue = h.queue[1:]
		if j.connection != nil && j.connection.endpoint.Done() {
			continue // the connection has ended, so the request is dropped
		}
		h.recordStart(j.request)
		j.started = at
		j.end = at + time.Duration(h.Random.ExpFloat64()*float64(h.ServiceTime)/h.speed(at))
		h.running = append(h.running, j)
	}
}

func (h *Host) recordStart(r request.Request) {
	h.Statistics.Requests++
	if h.Executed != nil {
		h.Executed(r.Token)
	}
}

func (h *Host) respond(now time.Duration, j job) {
	header := []byte(j.request.Header(h.Name, 0))
	if j.connection == nil {
		h.emit(packet.Segment{Key: j.key, Payload: append(header, j.request.Body(0, j.request.Bytes)...)})
		return
	}
	c := j.connection
	c.endpoint.Write(now, header)
	c.response, c.bodySent, c.sending = j.request, 0, j.request.Bytes > 0
	h.sendBody(now, c)
}
