package coldstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rates are the rates of the cold servers in all cases; the token of a server is its index.
var rates = []float64{0.5, 1, 4, 10, 50, 200}

// cluster sends SYNs to one cold server of each rate through all entry VMs, as many as the limiters allow.
type cluster struct {
	t      *testing.T
	random *rand.Rand
	now    time.Duration
	vms    []*entryVM
	sent   [][]time.Duration // by server: times of the SYNs
	peak   []int             // by server: most SYNs in a sliding second
	start  []int             // by server: index of the first SYN of the current second
}

type entryVM struct {
	Limiter
	zone   int
	paused bool
}

func newCluster(t *testing.T, vms int, seed uint64) *cluster {
	n := len(rates)
	c := &cluster{
		t: t, random: rand.New(rand.NewPCG(seed, 3)), now: time.Minute,
		sent: make([][]time.Duration, n), peak: make([]int, n), start: make([]int, n),
	}
	for range vms {
		c.add()
	}
	c.seeAll()
	return c
}

func (c *cluster) add() *entryVM {
	v := &entryVM{Limiter: Limiter{Self: fmt.Sprint("entry-", len(c.vms))}, zone: len(c.vms) % 3}
	c.vms = append(c.vms, v)
	return v
}

func all(*entryVM) bool { return true }

// see sets the members of an entry VM to itself and those for which seen returns true.
func (c *cluster) see(v *entryVM, seen func(other *entryVM) bool, more ...string) {
	names := more
	for _, o := range c.vms {
		if o != v && seen(o) {
			names = append(names, o.Self)
		}
	}
	if len(names) > 0 {
		v.Unreached = 0
	}
	v.SetMembers(c.now, names)
}

func (c *cluster) seeAll() {
	for _, v := range c.vms {
		c.see(v, all)
	}
}

// run sends SYNs for a duration and calls step every 100 ms.
func (c *cluster) run(d time.Duration, step func()) {
	for end := c.now + d; c.now < end; c.now += 2 * time.Millisecond {
		if step != nil && c.now%(100*time.Millisecond) == 0 {
			step()
		}
		for range 6 {
			v := c.vms[c.random.IntN(len(c.vms))]
			for token, rate := range rates {
				if !v.paused && v.Allow(c.now, uint32(token), rate) {
					v.Record(c.now, uint32(token))
					c.count(token)
				}
			}
		}
	}
}

func (c *cluster) count(token int) {
	c.sent[token] = append(c.sent[token], c.now)
	for c.now-c.sent[token][c.start[token]] >= time.Second {
		c.start[token]++
	}
	c.peak[token] = max(c.peak[token], len(c.sent[token])-c.start[token])
}

// checkShare fails if the servers received less than the given share of their rates since a point in time.
func (c *cluster) checkShare(since time.Duration, share float64) {
	c.t.Helper()
	for token, rate := range rates {
		i, _ := slices.BinarySearch(c.sent[token], since)
		n := len(c.sent[token]) - i
		if want := share * rate * (c.now - since).Seconds(); float64(n) < want {
			c.t.Errorf("rate %g: %d SYNs in %v, want at least %.0f", rate, n, c.now-since, want)
		}
	}
}

// cases are what happens to the members; each is played with all sizes and seeds.
var cases = []struct {
	name string
	play func(c *cluster)
}{
	{"equal views", func(c *cluster) {
		c.run(13*time.Second, nil)
		c.checkShare(c.now-8*time.Second, 0.45)
	}},
	{"a fifth of each view missing", func(c *cluster) {
		c.restart()
		for _, v := range c.vms {
			c.see(v, func(*entryVM) bool { return c.random.IntN(5) > 0 }, fmt.Sprint("ended-", c.random.IntN(5)))
		}
		c.run(10*time.Second, nil)
		if len(c.vms) > 3 {
			c.checkShare(c.now-5*time.Second, 0.4)
		}
	}},
	{"a fifth of each view missing, another one each second", func(c *cluster) {
		c.restart()
		c.run(10*time.Second, func() {
			for i, v := range c.vms {
				if i%10 == int(c.now/(100*time.Millisecond))%10 {
					c.see(v, func(*entryVM) bool { return c.random.IntN(5) > 0 })
				}
			}
		})
	}},
	{"an entry VM is added every 100 ms", func(c *cluster) {
		c.run(4*time.Second, nil)
		c.run(7*time.Second, func() {
			v := c.add()
			c.see(v, func(*entryVM) bool { return c.random.IntN(10) > 0 })
			for i, o := range c.vms { // Each learns of the others up to 1 s late.
				if i%10 == int(c.now/(100*time.Millisecond))%10 {
					c.see(o, all)
				}
			}
		})
		c.run(5*time.Second, nil)
	}},
	{"an entry VM is cut off", func(c *cluster) {
		c.run(5*time.Second, nil)
		c.see(c.vms[0], func(*entryVM) bool { return false })
		c.run(4*time.Second, nil)
		for _, v := range c.vms[1:] {
			c.see(v, func(o *entryVM) bool { return o != c.vms[0] })
		}
		for range 4 {
			c.run(5*time.Second, nil)
			c.now += time.Minute
		}
		c.seeAll()
		c.run(8*time.Second, nil)
		c.checkShare(c.now-4*time.Second, 0.4)
	}},
	{"an entry VM knows nobody after its start", func(c *cluster) {
		v := c.add()
		v.Unreached = 3
		v.SetMembers(c.now, nil)
		c.run(10*time.Second, nil)
	}},
	{"all are restarted at once and learn of each other within 2 s", func(c *cluster) { c.restartAll(2 * time.Second) }},
	{"all are restarted at once and learn of each other within 10 s", func(c *cluster) { c.restartAll(10 * time.Second) }},
	{"a third is paused and resumes", func(c *cluster) {
		c.run(5*time.Second, nil)
		for _, v := range c.vms {
			v.paused = v.zone == 0
		}
		c.run(4*time.Second, nil)
		for _, v := range c.vms {
			if !v.paused {
				c.see(v, func(o *entryVM) bool { return !o.paused })
			}
		}
		c.run(2*time.Second, nil)
		c.now += 2 * time.Minute
		c.run(2*time.Second, nil)
		for _, v := range c.vms {
			v.paused = false
		}
		c.run(time.Second, nil)
		c.seeAll()
		c.run(5*time.Second, nil)
	}},
	{"all are paused and resume", func(c *cluster) {
		c.run(5*time.Second, nil)
		c.now += 5 * time.Minute
		c.run(5*time.Second, nil)
	}},
	{"each zone sees only itself, then all see each other within 1 s", func(c *cluster) {
		c.split(func(v, o *entryVM) bool { return v.zone == o.zone })
	}},
	{"two zones do not see the third", func(c *cluster) {
		c.split(func(v, o *entryVM) bool { return (v.zone == 2) == (o.zone == 2) })
	}},
	{"two zones do not see each other, the third sees both", func(c *cluster) {
		c.split(func(v, o *entryVM) bool { return v.zone == o.zone || v.zone == 0 || o.zone == 0 })
	}},
}

// restart replaces all entry VMs by new processes that know nobody yet.
func (c *cluster) restart() {
	for _, v := range c.vms {
		v.Limiter = Limiter{Self: v.Self, Unreached: 2}
		v.SetMembers(c.now, nil)
	}
}

// restartAll restarts all entry VMs. Their views grow evenly over the given time.
func (c *cluster) restartAll(within time.Duration) {
	c.run(5*time.Second, nil)
	c.restart()
	began := c.now
	c.run(within+5*time.Second, func() {
		if c.now-began > within+time.Second {
			return
		}
		for _, v := range c.vms {
			n := c.random.IntN(10) // Each learns of more members once a second.
			if n == 0 {
				c.see(v, func(*entryVM) bool { return time.Duration(c.random.Int64N(int64(within))) < c.now-began })
			}
		}
	})
	c.seeAll()
	c.run(8*time.Second, nil)
	c.checkShare(c.now-4*time.Second, 0.4)
}

// split lets the entry VMs see only some others for minutes; then they see all others again, at different times.
func (c *cluster) split(sees func(v, o *entryVM) bool) {
	c.run(5*time.Second, nil)
	for range 4 {
		for _, v := range c.vms {
			c.see(v, func(o *entryVM) bool { return sees(v, o) })
		}
		c.run(3*time.Second, nil)
		c.now += time.Minute
	}
	c.run(2*time.Second, nil)
	i := 0
	c.run(time.Second, func() {
		for ; i < len(c.vms)*int(c.now/(100*time.Millisecond)%10+1)/10; i++ {
			c.see(c.vms[i], all)
		}
	})
	c.seeAll()
	c.run(8*time.Second, nil)
	c.checkShare(c.now-4*time.Second, 0.4)
}

// Guards against more SYNs to a cold server in a sliding second than its rate x 1.5 + 5, summed over all entry VMs,
// and against a cold server that receives none although all entry VMs agree.
func TestBoundHolds(t *testing.T) {
	for _, test := range cases {
		for _, vms := range []int{3, 58, 124, 500} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%s/%d/%d", test.name, vms, seed), func(t *testing.T) {
					c := newCluster(t, vms, seed)
					test.play(c)
					for token, rate := range rates {
						if float64(c.peak[token]) > 1.5*rate+5 {
							t.Errorf("rate %g: %d SYNs in a second, want at most %g", rate, c.peak[token], 1.5*rate+5)
						}
					}
					t.Logf("most SYNs in a second for the rates %v: %v", rates, c.peak)
				})
			}
		}
	}
}

// Guards against SYNs before the members are known: an entry VM that starts may not know of others that send SYNs, too.
func TestNewEntryVMWaits(t *testing.T) {
	is := is.New(t)
	l := Limiter{Self: "a"}
	is.True(!l.Allow(0, 1, 10))
	l.Record(0, 1)
	l.SetMembers(0, []string{"a"})
	is.True(!l.Allow(settlePeriod-1, 1, 10))
	is.True(l.Allow(settlePeriod, 1, 10))
	is.True(!l.Allow(settlePeriod, 1, 0))
	l.Resume(time.Minute) // Others may have started during the pause.
	is.True(!l.Allow(time.Minute, 1, 10))
	is.True(l.Allow(time.Minute+settlePeriod, 1, 10))
}

// Guards against cold servers without SYNs after most entry VMs were taken out of service in an orderly way.
func TestMembersThatLeaveDoNotCountAsUnreachable(t *testing.T) {
	is := is.New(t)
	l := Limiter{Self: "a"}
	l.SetMembers(0, []string{"b", "c", "d"})
	l.Leave(time.Minute, "c")
	l.Leave(time.Minute, "d")
	l.SetMembers(time.Minute, []string{"b"})
	is.True(l.Allow(time.Minute, 1, 1e9))
	l.SetMembers(time.Minute, nil) // b is cut off or has failed.
	is.True(!l.Allow(time.Hour, 1, 1e9))
}

// Guards against selected entry VMs that differ between those that started before and after members changed.
func TestRanksFollowMembers(t *testing.T) {
	is := is.New(t)
	former, later := Limiter{Self: "a"}, Limiter{Self: "a"}
	now := []string{"b", "c", "d", "e", "i"}
	former.SetMembers(0, []string{"b", "c", "d", "e", "f", "g", "h"})
	for token := range uint32(100) {
		former.Allow(time.Minute, token, 2)
	}
	former.SetMembers(time.Minute, now)
	later.SetMembers(time.Minute, now)
	allowed := 0
	for token := range uint32(100) {
		is.Equal(former.Allow(time.Hour, token, 2), later.Allow(time.Hour, token, 2))
		if later.Allow(time.Hour, token, 2) {
			allowed++
		}
	}
	is.True(allowed > 0 && allowed < 100)
}
