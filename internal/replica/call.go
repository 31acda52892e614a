package replica

import (
	"fmt"
	"strings"
	"time"
)

// Calls returns the calls in progress to the store and to other processes, with the time since their start, as text for
// logs.
func (r *Replica) Calls() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	var parts []string
	for _, c := range r.calls {
		parts = append(parts, fmt.Sprintf("%s:%v", c.name, (now-c.started).Round(time.Millisecond)))
	}
	return strings.Join(parts, ",")
}

// call is a call in progress.
type call struct {
	name    string
	started time.Duration
}

// beginCall records a call until the returned function is called.
func (r *Replica) beginCall(name string) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &call{name, r.Now()}
	r.calls = append(r.calls, c)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for i := range r.calls {
			if r.calls[i] == c {
				r.calls = append(r.calls[:i], r.calls[i+1:]...)
				return
			}
		}
	}
}
