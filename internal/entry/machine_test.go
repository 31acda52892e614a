package entry_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticspar/masticspar/internal/standin/site"
)

// TestMain makes the runs of rapid repeatable and short unless its flags are set.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": machineChecks, "rapid.steps": "8",
		"rapid.nofailfile": "true", "rapid.shrinktime": "10s",
	} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// machine draws faults and planned changes. The names of the events are those of the specifications in the
// directory model.
type machine struct {
	*rapid.T
	s            *site.Site
	leavingHosts int // hosts that were published as leaving
}

// pick draws one of the processes that match.
func (m *machine) pick(match func(*site.VM) bool) *site.VM {
	var list []*site.VM
	for _, v := range m.s.VMs {
		if match(v) {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		m.Skip("no entry VM for this event")
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(m.T, "entry VM")]
}

// running reports whether the process runs and at least two others do.
func (m *machine) running(v *site.VM) bool {
	n := 0
	for _, o := range m.s.VMs {
		if !o.Dead && !o.Paused {
			n++
		}
	}
	return !v.Dead && !v.Paused && n > 2
}

func (m *machine) kill(*rapid.T)  { m.pick(m.running).Kill() }
func (m *machine) pause(*rapid.T) { m.pick(m.running).Pause() }
func (m *machine) drain(*rapid.T) { m.pick(m.running).Drain() }
func (m *machine) heal(*rapid.T)  { m.s.Heal() }

func (m *machine) wake(*rapid.T) {
	m.pick(func(v *site.VM) bool { return v.Paused && !v.Dead }).Resume()
}

func (m *machine) cut(*rapid.T) {
	m.s.Isolate(rapid.SampledFrom(m.s.Config.Zones).Draw(m.T, "availability zone"))
}

func (m *machine) publish(*rapid.T) {
	m.s.Platform.Down = rapid.IntRange(0, 3).Draw(m.T, "platform down") == 0
	m.s.Platform.Lag = rapid.IntRange(0, 2).Draw(m.T, "old copy")
	m.s.PublishInventory()
}

func (m *machine) leave(*rapid.T) {
	if m.leavingHosts == 6 {
		m.Skip("enough hosts leave")
	}
	publishLeaving(m.s, m.s.Hosts[m.leavingHosts].Name)
	m.leavingHosts++
}

func (m *machine) join(*rapid.T) {
	v := m.pick(func(v *site.VM) bool { return v.Dead && m.s.VM(v.Name) == v })
	m.s.StartVM(v.Entry)
}

func (m *machine) loss(*rapid.T) {
	m.s.Loss = float64(rapid.IntRange(0, 10).Draw(m.T, "packet loss in percent")) / 100
	m.s.MessageLoss = float64(rapid.IntRange(0, 20).Draw(m.T, "message loss in percent")) / 100
}

func (m *machine) check(*rapid.T) {
	m.s.Run(time.Duration(rapid.IntRange(1, 160).Draw(m.T, "tenths of a second")) * 100 * time.Millisecond)
	for _, v := range m.s.Violations {
		m.Fatalf("violation: %s", v)
	}
}

// Guards against a sequence of faults and planned changes that breaks a safety rule although each alone does not.
func TestFailureSequences(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		m := &machine{T: rt}
		c := site.QuokkaLane(rapid.Uint64().Draw(rt, "seed"))
		if rapid.Bool().Draw(rt, "Hivatal") {
			c = site.Hivatal(c.Seed)
		}
		c.Callers = load(10 * time.Second)
		for i := range c.Callers {
			c.Callers[i].Services = []string{c.Services[0].Name, c.Services[1].Name}
		}
		c.Tick = 50 * time.Millisecond
		m.s = site.New(c)
		rt.Repeat(map[string]func(*rapid.T){
			"": m.check, "kill": m.kill, "pause": m.pause, "wake": m.wake, "cut": m.cut, "heal": m.heal,
			"publish": m.publish, "leave": m.leave, "drain": m.drain, "join": m.join, "loss": m.loss,
		})
	})
}
