package network

import "time"

// event is a call at a virtual time. Events with equal due times run in order of arrival, so that the messages of a
// step are delivered before a periodic call at its end.
type event struct {
	due      time.Duration
	arrival  time.Duration
	sequence int
	call     func()
}

// events implements heap.Interface.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e events) Less(i, j int) bool {
	switch {
	case e[i].due != e[j].due:
		return e[i].due < e[j].due
	case e[i].arrival != e[j].arrival:
		return e[i].arrival < e[j].arrival
	}
	return e[i].sequence < e[j].sequence
}

// Push appends x.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last].call = nil
	*e = (*e)[:last]
	return x
}
