package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/masticspar/masticspar/internal/flowevent"
)

func opened(service uint32) flowevent.Event {
	return flowevent.Event{Kind: flowevent.Opened, Service: service}
}

func closed(service uint32) flowevent.Event {
	return flowevent.Event{Kind: flowevent.Closed, Service: service}
}

// Guards against one service that fills the whole table, and against the refusal of a small service because of a large
// one.
func TestAdmitEnforcesEqualShares(t *testing.T) {
	is := is.New(t)
	g := Gate{MaxFlows: 100}
	for range 95 {
		if g.Admit(1) == "" {
			g.Observe(opened(1))
		}
	}
	is.Equal(g.Admit(1), "") // alone, its share is the whole table
	g.Observe(opened(2))
	is.Equal(g.Admit(1), ReasonUnfairShare)
	is.Equal(g.Admit(2), "")
	is.Equal(g.Admit(3), "")
	for range 4 {
		g.Observe(opened(2))
	}
	is.Equal(g.Admit(2), ReasonTableFull)
	for range 10 {
		g.Observe(closed(1))
	}
	is.Equal(g.Admit(1), "") // up to 90% use, shares are not limited
	g.Observe(closed(7))     // unknown service
	is.Equal(g.openFlows, 90)
}

// Guards against retries that amplify an overload. In any sequence of flows, retries and refusals, the retries never
// exceed a tenth of the other flows plus 5 per second, and they stop for a second after a refusal for overload.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g Gate
		now, flows, retries, refused := time.Duration(0), 0, 0, -time.Hour
		for range 500 {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 40).Draw(t, "step") {
			case 0:
				g.RecordOverload(now)
				refused = now
			case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12:
				if g.AllowRetry(now) {
					retries++
					if now-refused < time.Second {
						t.Fatalf("retry was allowed %v after a refusal for overload, want none for 1 s", now-refused)
					}
					if rapid.Bool().Draw(t, "opens") {
						g.Observe(closed(1))
						g.Observe(opened(1))
					}
				}
			default:
				g.Observe(opened(1))
				flows++
			}
			if float64(retries) > float64(flows)/10+5*now.Seconds()+1e-6 {
				t.Fatalf("%d retries for %d flows, want at most a tenth of the flows plus 5 per second", retries, flows)
			}
		}
	})
}

// Guards against searches that flood the hosts. In any period, also after a pause, the probes stay within the rate plus
// one burst.
func TestProbesStayWithinRate(t *testing.T) {
	is := is.New(t)
	var g Gate
	sent := 0
	for now := time.Duration(0); now < 2*time.Second; now += 100 * time.Microsecond {
		if g.AllowProbe(now) {
			sent++
		}
	}
	is.True(sent > 3990 && sent <= 4200) // 2 s at the default rate of 2,000/s, and one burst of 200
	sent = 0
	for range 1000 {
		if g.AllowProbe(time.Hour) {
			sent++
		}
	}
	is.Equal(sent, 200) // one burst after the pause
}
