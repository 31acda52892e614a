package site

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/masticspar/masticspar/internal/standin/caller"
)

func run(seed uint64, d time.Duration) *Site {
	c := QuokkaLane(seed)
	c.Callers = []CallerGroup{{
		Services: []string{"standdesk", "photointake"},
		Plan:     caller.Plan{Rate: 40, Bytes: 3000, FeedShare: 0.2, FeedCount: 20, FeedInterval: 500 * time.Millisecond},
	}}
	s := New(c)
	s.Run(d)
	return s
}

func trace(s *Site) string {
	out := fmt.Sprint(s.queue.Added(), s.Violations, s.BrokenFlows)
	for _, c := range s.Callers {
		out += fmt.Sprintf("%+v", c.Report())
	}
	for _, v := range s.VMs {
		out += fmt.Sprint(v.MessageBytes, v.Counters.Values())
	}
	return out
}

// Guards against runs that cannot be repeated from their seed.
func TestSameSeedGivesSameRun(t *testing.T) {
	is := is.New(t)
	a, b := trace(run(7, 20*time.Second)), trace(run(7, 20*time.Second))
	is.Equal(a, b)
	is.True(a != trace(run(8, 20*time.Second))) // want another run for another seed
}

// Guards against a site on which callers receive no responses. Other tests, which check for violations and broken
// flows, would then pass.
func TestResponsesArrive(t *testing.T) {
	s := run(1, 60*time.Second)
	r := s.Callers[0].Report()
	t.Logf("%+v", r)
	for _, v := range s.VMs {
		t.Log(v.Name, v.MessageBytes, v.ControlRate(), v.Counters.Values())
	}
	is := is.New(t)
	is.True(r.Whole > 1500) // want more than 1,500 whole flows
	is.Equal(len(s.BrokenFlows), 0)
	is.Equal(len(s.Violations), 0)
}
