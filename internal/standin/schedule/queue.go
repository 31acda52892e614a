package schedule

import (
	"cmp"
	"container/heap"
	"time"
)

// Queue holds calls that are due in the future. The zero value is ready for use.
type Queue struct {
	calls    calls
	sequence uint64
}

type call struct {
	due      time.Duration
	sequence uint64
	do       func()
}

type calls []call

func (c calls) Len() int { return len(c) }
func (c calls) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(c[i].due, c[j].due), cmp.Compare(c[i].sequence, c[j].sequence)) < 0
}
func (c calls) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *calls) Push(x any)   { *c = append(*c, x.(call)) }
func (c *calls) Pop() any {
	old := *c
	last := old[len(old)-1]
	old[len(old)-1] = call{}
	*c = old[:len(old)-1]
	return last
}

// At adds a call of do at the given time.
func (q *Queue) At(due time.Duration, do func()) {
	q.sequence++
	heap.Push(&q.calls, call{due, q.sequence, do})
}

// Added returns the number of calls added so far.
func (q *Queue) Added() uint64 { return q.sequence }

// Next removes and returns the first call that is due at or before end, and its time. It returns nil if there is none.
func (q *Queue) Next(end time.Duration) (do func(), due time.Duration) {
	if len(q.calls) == 0 || q.calls[0].due > end {
		return nil, 0
	}
	c := heap.Pop(&q.calls).(call)
	return c.do, c.due
}
