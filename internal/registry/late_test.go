package registry

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/masticspar/masticspar/internal/history"
)

// Guards against resetting the flows of a server because a late report of the former server at its address created an
// entry after its own.
func TestLateReportDoesNotReplaceLaterServer(t *testing.T) {
	former, present := host("i-1", 1000, addressA), host("i-2", 2000, addressA)
	for name, before := range map[string][]Change{
		"known":   {listed(former, 1), {Name: "i-1", Revision: 2}, listed(present, 3)},
		"unknown": {listed(present, 3)}, // This entry VM started after the former entry was removed.
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r Registry
			for _, c := range before {
				r.Apply(0, c, false)
			}
			token := NewToken("i-2", 2000)
			r.Apply(time.Second, listed(former, 4), false)
			is.True(!r.Lifetime(token).Replaced)
			is.Equal(names(&r), []string{"i-2"})
			r.Apply(4*time.Second, Change{Name: "i-1", Revision: 5}, false) // The former server reports no more.
			r.Sweep(10 * time.Second)
			is.True(!r.Lifetime(token).Replaced)
			is.Equal(names(&r), []string{"i-2"})
		})
	}
}

// Guards against the same in a full read, whose entries are in the order of their names.
func TestFullReadWithLateReportReplacesNoServer(t *testing.T) {
	for _, formerName := range []string{"i-1", "i-3"} {
		is := is.New(t)
		var r Registry
		present := host("i-2", 2000, addressA)
		late := listed(host(formerName, 1000, addressA), 4)
		list := []Change{listed(present, 3), late}
		if formerName < "i-2" {
			list[0], list[1] = list[1], list[0]
		}
		r.Replace(0, list, history.Position{Revision: 4}, false)
		is.True(!r.Lifetime(NewToken("i-2", 2000)).Replaced)
		r.Apply(4*time.Second, Change{Name: formerName, Revision: 5}, false)
		is.True(!r.Lifetime(NewToken("i-2", 2000)).Replaced)
		is.Equal(names(&r), []string{"i-2"})
	}
}

// Guards against resetting the flows of a server that started again under its name, because a late report of its former
// start overwrote its entry.
func TestLateReportOfFormerStartReplacesNothing(t *testing.T) {
	is := is.New(t)
	var r Registry
	former, present := host("i-1", 1000, addressA), host("i-1", 2000, addressA)
	write := func(now time.Duration, h *Host, revision uint64) {
		r.Apply(now, Change{Name: h.Name, Host: h, Revision: revision, Created: 1}, false)
	}
	write(0, former, 1)
	write(time.Second, present, 2)
	token := NewToken("i-1", 2000)
	write(2*time.Second, former, 3)
	is.True(!r.Lifetime(token).Replaced)
	is.Equal(names(&r), []string{"i-1"})
	write(3*time.Second, present, 4) // The next report of the present start.
	is.True(!r.Lifetime(token).Replaced)
	is.Equal(r.Hosts("standdesk")[0].Started, int64(2000))
	r.Sweep(10 * time.Second)
	is.Equal(r.Hosts("standdesk")[0].Started, int64(2000))
}

// Guards against new flows to a leaving server, because an earlier report of it, or of its former start, was written late.
func TestLateReportDoesNotListLeavingServer(t *testing.T) {
	for _, formerStarted := range []int64{2000, 1000} {
		is := is.New(t)
		var r Registry
		h := host("i-1", 2000, addressA)
		h.Sequence = 7
		r.Apply(0, listed(h, 1), false)
		leaving := *h
		leaving.Leaving, leaving.Sequence = true, 9
		r.Apply(0, Change{Name: "i-1", Host: &leaving, Revision: 2, Created: 1}, false)
		late := *h
		late.Started, late.Sequence = formerStarted, 8
		r.Apply(time.Second, Change{Name: "i-1", Host: &late, Revision: 3, Created: 1}, false)
		is.Equal(names(&r), []string{})
		again := leaving
		again.Sequence = 10
		r.Apply(2*time.Second, Change{Name: "i-1", Host: &again, Revision: 4, Created: 1}, false)
		r.Sweep(20 * time.Second)
		is.Equal(names(&r), []string{})
	}
}

// Guards against a server whose flows are reset for good, because it was taken for replaced on wrong evidence.
func TestReplacedServerIsUsedWhenListedAlone(t *testing.T) {
	is := is.New(t)
	var r Registry
	// The clock of the former server was ahead, and its only report was written late: all evidence is for a later start.
	present, former := host("i-2", 2000, addressA), host("i-1", 3000, addressA)
	r.Apply(0, listed(present, 1), false)
	r.Apply(0, listed(former, 2), false)
	r.Apply(4*time.Second, Change{Name: "i-1", Revision: 3}, false)
	r.Sweep(20 * time.Second)
	is.Equal(names(&r), []string{"i-2"})
	is.True(!r.Lifetime(NewToken("i-2", 2000)).Replaced)
}

// Guards against resetting the flows of a listed server because another entry VM takes it for replaced.
func TestReportedReplacementEndsWhenServerIsListed(t *testing.T) {
	is := is.New(t)
	var r Registry
	h := host("i-1", 1000, addressA)
	is.True(r.AddRetired(0, &Record{Host: *h, First: history.Position{Revision: 3}, Replaced: true}))
	r.Apply(0, Change{Name: "i-1", Host: h, Revision: 9, Created: 3}, false)
	is.True(!r.Lifetime(NewToken("i-1", 1000)).Replaced)
	is.Equal(names(&r), []string{"i-1"})
}

// Guards against resetting the flows of a live server that an entry VM learns from another one, because a late report of
// the former server is all that it has read.
func TestLookupDoesNotReplaceLaterStart(t *testing.T) {
	for _, formerName := range []string{"i-1", "i-2"} {
		is := is.New(t)
		former, present := host(formerName, 1000, addressA), host("i-2", 2000, addressA)
		var r, fresh Registry
		r.Apply(0, listed(former, 1), false)
		r.Apply(0, Change{Name: formerName, Revision: 2}, false)
		r.Apply(0, listed(present, 3), false)
		r.Apply(0, Change{Name: "i-2", Revision: 4}, false) // Its own reports are late.
		r.Apply(0, listed(former, 5), false)
		fresh.Replace(0, []Change{listed(former, 5)}, history.Position{Revision: 5}, false)
		record, ok := r.Record(NewToken("i-2", 2000))
		is.True(ok)
		is.True(!record.Replaced)
		is.True(fresh.AddRetired(time.Second, &record))
		is.True(!fresh.Lifetime(NewToken("i-2", 2000)).Replaced)
	}
}

// Guards against resetting the flows of a server that was learned from another entry VM, because another server whose
// clock was ahead was listed before it.
func TestRetiredServerIsNotReplacedByEarlierListing(t *testing.T) {
	is := is.New(t)
	var r Registry
	live, dead := host("i-2", 2000, addressA), host("i-1", 3000, addressA)
	r.AddRetired(0, &Record{Host: *live, First: history.Position{Revision: 5}})
	r.Apply(0, listed(dead, 1), false)
	is.True(!r.Lifetime(NewToken("i-2", 2000)).Replaced)
	r.Apply(0, listed(live, 5), false)
	is.True(!r.Lifetime(NewToken("i-2", 2000)).Replaced)
}

// lateStore is a store that executes some reports late, with the backend servers that report to it.
type lateStore struct {
	now       time.Duration
	revision  uint64
	entries   map[string]Change
	writtenAt map[string]time.Duration
	running   map[string]*Host
	late      []*Host // reports that are not executed yet
	deliver   func(Change)
}

const (
	reportPeriod = 1200 * time.Millisecond
	entryTimeout = 3 * reportPeriod
)

// report lets a running server report, at once or late.
func (m *lateStore) report(name string, late bool) {
	h := m.running[name]
	h.Sequence++
	executed := *h
	if late {
		m.late = append(m.late, &executed)
		return
	}
	m.execute(&executed)
}

// execute writes an entry, unless only its sequence would change.
func (m *lateStore) execute(h *Host) {
	m.writtenAt[h.Name] = m.now
	old, ok := m.entries[h.Name]
	if ok {
		same := *old.Host
		same.Sequence = h.Sequence
		if same == *h {
			return
		}
	}
	m.revision++
	c := Change{Name: h.Name, Revision: m.revision, Created: m.revision, Host: h}
	if ok {
		c.Created = old.Created
	}
	m.entries[h.Name] = c
	m.deliver(c)
}

// expire removes the entries without a recent report.
func (m *lateStore) expire() {
	for _, name := range slices.Sorted(maps.Keys(m.entries)) {
		if m.now-m.writtenAt[name] >= entryTimeout {
			delete(m.entries, name)
			m.revision++
			m.deliver(Change{Name: name, Revision: m.revision})
		}
	}
}

// Guards against any order of starts, drains, crashes, reused addresses, late reports and restarts of the entry VM after
// which the registry differs from the servers that run, and against resetting flows of one of them meanwhile.
func TestRegistryConvergesAfterLateReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &Registry{}
		m := &lateStore{
			entries: map[string]Change{}, writtenAt: map[string]time.Duration{}, running: map[string]*Host{},
		}
		known := map[uint32]bool{} // tokens of starts that this entry VM has seen leaving
		m.deliver = func(c Change) {
			if c.Host != nil && c.Host.Leaving {
				known[NewToken(c.Name, c.Host.Started)] = true
			}
			r.Apply(m.now, c, false)
		}
		pass := func(t *rapid.T, d time.Duration, mayBeLate bool) {
			for end := m.now + d; m.now < end; {
				m.now += reportPeriod / 2
				for _, name := range slices.Sorted(maps.Keys(m.running)) {
					m.report(name, mayBeLate && rapid.IntRange(0, 2).Draw(t, "late") == 0)
				}
				m.expire()
				r.Sweep(m.now)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				address := rapid.ByteRange(1, 3).Draw(t, "address")
				name := fmt.Sprint("i-", address, rapid.IntRange(0, 2).Draw(t, "name"))
				a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, address}), 80)
				for _, h := range m.running {
					if h.Address == a {
						t.Skip("the address is in use")
					}
				}
				m.now += time.Millisecond
				m.running[name] = host(name, m.now.Milliseconds(), a)
				m.report(name, rapid.Bool().Draw(t, "late"))
			},
			"drain": func(t *rapid.T) {
				for _, name := range slices.Sorted(maps.Keys(m.running)) {
					if rapid.Bool().Draw(t, "drains") {
						m.running[name].Leaving = true
						m.report(name, false)
					}
				}
			},
			"crash": func(t *rapid.T) {
				for _, name := range slices.Sorted(maps.Keys(m.running)) {
					if rapid.Bool().Draw(t, "crashes") {
						delete(m.running, name)
					}
				}
			},
			"execute": func(t *rapid.T) {
				if len(m.late) == 0 {
					t.Skip("no late report")
				}
				i := rapid.IntRange(0, len(m.late)-1).Draw(t, "report")
				h := m.late[i]
				m.late = slices.Delete(m.late, i, i+1)
				m.execute(h)
			},
			"wait": func(t *rapid.T) {
				pass(t, time.Duration(rapid.IntRange(1, 6).Draw(t, "periods"))*reportPeriod/2, true)
			},
			"restart": func(*rapid.T) {
				r, known = &Registry{}, map[uint32]bool{}
				var list []Change
				for _, name := range slices.Sorted(maps.Keys(m.entries)) {
					list = append(list, m.entries[name])
					known[NewToken(name, m.entries[name].Host.Started)] = m.entries[name].Host.Leaving
				}
				r.Replace(m.now, list, history.Position{Revision: m.revision}, false)
			},
			"": func(t *rapid.T) {
				for name, h := range m.running {
					if l := r.Lifetime(NewToken(name, h.Started)); l != nil && l.Replaced {
						t.Fatalf("start %d of %s runs, but counts as replaced", h.Started, name)
					}
				}
				for _, l := range r.Hosts("standdesk") {
					if known[l.Token] {
						t.Fatalf("start %d of %s receives flows after it was listed as leaving", l.Started, l.Name)
					}
				}
			},
		})
		for _, h := range m.late {
			m.execute(h)
		}
		m.late = nil
		pass(t, entryTimeout+deferPeriod, false)
		var want []string
		for name, h := range m.running {
			if !h.Leaving {
				want = append(want, name)
			}
		}
		got := names(r)
		slices.Sort(got)
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Fatalf("got servers %v, want %v", got, want)
		}
		for _, l := range r.Hosts("standdesk") {
			if l.Started != m.running[l.Name].Started {
				t.Fatalf("got start %d of %s, want %d", l.Started, l.Name, m.running[l.Name].Started)
			}
		}
	})
}
