package network

import (
	"container/heap"
	"time"
)

// Clock is a virtual clock with a queue of events. The zero value is ready for use.
type Clock struct {
	now      time.Duration
	sequence int
	queue    events
}

// Now returns the virtual time since the start.
func (c *Clock) Now() time.Duration { return c.now }

// After calls f once the clock has advanced by d.
func (c *Clock) After(d time.Duration, f func()) { c.schedule(c.now+d, 0, f) }

// Every calls f after the delay first and then once per period.
func (c *Clock) Every(first, period time.Duration, f func()) {
	c.After(first, func() {
		f()
		c.Every(period, period, f)
	})
}

// Advance advances the clock by d and runs the events that become due, in order of their time.
func (c *Clock) Advance(d time.Duration) {
	end := c.now + d
	for len(c.queue) > 0 && c.queue[0].due <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = max(c.now, e.due)
		e.call()
	}
	c.now = end
}

// schedule calls call at the given time, or at the next multiple of step if step is not zero.
func (c *Clock) schedule(at, step time.Duration, call func()) {
	due := at
	if step > 0 {
		due = (at + step - 1) / step * step
	}
	c.sequence++
	heap.Push(&c.queue, event{due: due, arrival: at, sequence: c.sequence, call: call})
}
