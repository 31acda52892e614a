package dsr

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/masticspar/masticspar/internal/registry"
)

// twoServers returns a flow to server i-0 and one to another server.
func twoServers(e *testEngine) (silent, live *caller) {
	for i := byte(0); silent == nil || live == nil; i++ {
		if c := e.caller(i); c.open().Host.Name == "i-0" {
			silent = c
		} else {
			live = c
		}
	}
	return silent, live
}

func (e *testEngine) removeHost(i int, storeDown bool) {
	e.Registry.Apply(e.now, registry.Change{Name: fmt.Sprint("i-", i), Revision: uint64(e.now)}, storeDown)
}

// retransmitUntil retransmits data of the flow, after 200 ms and then with doubled intervals, for the given time, and
// returns the first verdict that is not Forward. live receives responses meanwhile, unless it is nil.
func (c *caller) retransmitUntil(limit time.Duration, live *caller) Verdict {
	v := c.send(100)
	for wait, end := 200*time.Millisecond, c.now+limit; c.now < end && v.Action == Forward; wait *= 2 {
		c.advance(wait)
		if live != nil {
			live.request(10 * time.Millisecond)
		}
		v = c.retransmit(100)
	}
	return v
}

// Guards against callers of an idempotent route waiting for a server that was removed from the store until their
// timeout, and against resetting a flow whose server may still run.
func TestFlowOfRemovedServerIsReset(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(e *testEngine, silent, live *caller) (responding *caller)
		want    Action
	}{
		{"removed and silent", func(e *testEngine, _, live *caller) *caller {
			e.removeHost(0, false)
			return live
		}, Reset},
		{"listed and silent", func(_ *testEngine, _, live *caller) *caller { return live }, Forward},
		{"leaving and silent", func(e *testEngine, _, live *caller) *caller {
			e.listHost(0, "wa-perth", true)
			return live
		}, Forward},
		{"lapsed in an outage of the store", func(e *testEngine, _, live *caller) *caller {
			e.removeHost(0, true)
			return live
		}, Forward},
		{"listed again", func(e *testEngine, _, live *caller) *caller {
			e.removeHost(0, false)
			e.advance(time.Second)
			e.listHost(0, "wa-perth", false)
			return live
		}, Forward},
		{"no server responds", func(e *testEngine, _, _ *caller) *caller {
			e.removeHost(0, false)
			return nil
		}, Forward},
		{"requests must not be repeated", func(e *testEngine, _, live *caller) *caller {
			e.removeHost(0, false)
			e.Registry.Route(serviceAddress).Idempotent = false
			return live
		}, Forward},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestEngine(t, 2)
			silent, live := twoServers(e)
			e.advance(time.Second)
			responding := test.prepare(e, silent, live)
			v := silent.retransmitUntil(3*time.Second, responding)
			if v.Action != test.want {
				t.Fatalf("retransmissions: got %+v, want action %v", v, test.want)
			}
		})
	}
}

// Guards against resetting the flow of a live server whose entry was removed because its reports are late: at an entry VM
// that sees few of its flows it is silent, and its queue delays a response until the caller has retransmitted once.
func TestFlowOfServerWithLateReportsIsNotReset(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, 2)
	slow, live := twoServers(e)
	e.removeHost(0, false)
	e.advance(time.Second)
	slow.send(100)
	e.advance(200 * time.Millisecond)
	live.request(10 * time.Millisecond)
	is.Equal(slow.retransmit(100).Action, Forward)
	e.advance(300 * time.Millisecond)
	live.request(10 * time.Millisecond)
	slow.acknowledged += 500 // The response to the request arrived.
	is.Equal(slow.send(100).Action, Forward)
}

// Guards against resetting flows of a server that lost its entry but still responds to other flows.
func TestFlowOfRespondingServerIsNotReset(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(t, 2)
	silent, live := twoServers(e)
	other, _ := twoServers(e)
	e.removeHost(0, false)
	e.advance(time.Second)
	silent.send(100)
	for range 5 {
		e.advance(200 * time.Millisecond)
		live.request(10 * time.Millisecond)
		other.request(10 * time.Millisecond)
		is.Equal(silent.retransmit(100).Action, Forward)
	}
}

// Guards against resetting a flow whose server is listed and responds: the packets of callers were delayed by up to 3 s
// in the queue of a narrow link or by a pause of the VM, or lost, so callers retransmit. Replays the pattern of uploads
// that fill a link of 2 Mbit/s.
func TestDelayedFlowIsNotReset(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		e := newTestEngine(t, 3)
		flows := make([]*caller, rapid.IntRange(1, 40).Draw(r, "flows"))
		for i := range flows {
			flows[i] = e.caller(byte(i))
			flows[i].open()
			flows[i].send(100)
		}
		for range rapid.IntRange(1, 60).Draw(r, "packets") {
			delay := time.Duration(rapid.IntRange(1, 3000).Draw(r, "delay")) * time.Millisecond
			e.advance(delay / time.Duration(len(flows)))
			c := flows[rapid.IntRange(0, len(flows)-1).Draw(r, "flow")]
			var v Verdict
			switch rapid.IntRange(0, 3).Draw(r, "packet") {
			case 0, 1:
				v = c.retransmit(100)
			case 2:
				c.acknowledged += 500 // The response to the last request arrived.
				v = c.send(100)
			default:
				v = c.send(0)
			}
			if v.Action != Forward {
				r.Fatalf("packet: got %+v, want action Forward", v)
			}
		}
	})
}
