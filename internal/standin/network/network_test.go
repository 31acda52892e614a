package network

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// run sends 200 messages from a to b with the faults that set applies. It returns the messages that b received, with
// their times.
func run(seed uint64, set func(n *Network[string, int])) []string {
	n := New[string, int](seed)
	n.Jitter = 30 * time.Millisecond
	a, b := &Node[string, int]{Name: "a", Address: "a"}, &Node[string, int]{Name: "b", Address: "b", Zone: "far"}
	var got []string
	b.Receive = func(from *Node[string, int], m int) { got = append(got, fmt.Sprint(n.Now(), from.Name, m)) }
	n.Add(a)
	n.Add(b)
	set(n)
	count := 0
	n.Every(time.Millisecond, time.Millisecond, func() {
		if count++; count <= 200 {
			n.Send(a, "b", count)
		}
	})
	n.Advance(time.Second)
	if b.Paused {
		n.Resume(b, func() { got = append(got, "noticed") })
	}
	return got
}

// Guards against faults that the network does not apply. Tests that use the network would then pass without the fault.
func TestFaultsApply(t *testing.T) {
	is := is.New(t)
	plain := run(1, func(*Network[string, int]) {})
	is.Equal(len(plain), 200)
	is.Equal(run(1, func(*Network[string, int]) {}), plain) // A seed gives the same run each time.
	is.True(fmt.Sprint(run(2, func(*Network[string, int]) {})) != fmt.Sprint(plain))
	lost := len(run(1, func(n *Network[string, int]) { n.Loss = 0.5 }))
	is.True(lost > 60 && lost < 140) // want about half of the 200 messages
	is.Equal(len(run(1, func(n *Network[string, int]) { n.Duplication = 1 })), 400)
	is.Equal(len(run(1, func(n *Network[string, int]) { n.Isolated["far"] = true })), 0)
	is.Equal(len(run(1, func(n *Network[string, int]) { n.nodes["b"].Stopped = true })), 0)
	is.Equal(len(run(1, func(n *Network[string, int]) { n.nodes["a"].Stopped = true })), 0)
	held := run(1, func(n *Network[string, int]) { n.nodes["b"].Paused, n.PausedQueueLimit = true, 64 })
	is.Equal(len(held), 65)      // want the 64 queued messages and the call of onResume
	is.Equal(held[0], "noticed") // onResume is called before the first message.
	late := run(1, func(n *Network[string, int]) { n.Delay, n.Step = 300*time.Millisecond, 100*time.Millisecond })
	is.Equal(len(late), 200)
	is.True(strings.HasPrefix(late[0], "400ms")) // Sent at 1 ms with a delay of at least 300 ms, read at the next step.
}
