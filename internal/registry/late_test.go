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

// Guards against a snapshot that lists a leaving server as ready, or lacks a server that is deferred.
func TestSnapshotHasDeferredReports(t *testing.T) {
	for _, leaving := range []bool{true, false} {
		is := is.New(t)
		var r, fresh Registry
		former, live := host("i-1", 5000, addressA), host("i-1", 3000, addressA) // The clock was set back.
		former.Leaving, former.Sequence = !leaving, 4
		live.Leaving, live.Sequence = leaving, 1
		r.Apply(0, listed(former, 1), false)
		r.Apply(0, Change{Name: "i-1", Host: live, Revision: 2, Created: 1}, false)
		is.Equal(names(&r), []string{})
		fresh.Replace(0, r.Changes(0), history.Position{Revision: 2}, true)
		is.Equal(names(&fresh), []string{})
		fresh.Sweep(deferPeriod)
		is.Equal(len(names(&fresh)) == 1, !leaving)
	}
}

// Guards against resetting the flows of a leaving server because its entry was removed, although it is listed again.
func TestDeferredServerIsNotRemoved(t *testing.T) {
	is := is.New(t)
	var r Registry
	h := host("i-1", 1000, addressA)
	h.Leaving, h.Sequence = true, 7
	r.Apply(0, listed(h, 2), false)
	r.Apply(0, Change{Name: "i-1", Revision: 3}, false)
	late := *h
	late.Leaving, late.Sequence = false, 6
	r.Apply(0, listed(&late, 4), false)
	is.True(!r.Lifetime(NewToken("i-1", 1000)).Removed)
	is.Equal(names(&r), []string{})
}

// Guards against losing a server whose entry is removed during an outage of the store, after a late report of its former
// start.
func TestDeferredServerLapsesDuringOutage(t *testing.T) {
	is := is.New(t)
	var r Registry
	for i, started := range []int64{1000, 2000, 1000} {
		c := Change{Name: "i-1", Host: host("i-1", started, addressA), Revision: uint64(i + 1), Created: 1}
		r.Apply(0, c, false)
	}
	r.Apply(time.Second, Change{Name: "i-1", Revision: 4}, true)
	is.Equal(names(&r), []string{"i-1"})
}

// Guards against a deferred server whose changes are applied in the wrong order, because it was forgotten.
func TestDeferredServerIsNotForgotten(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Apply(0, listed(host("i-1", 3000, addressA), 1), false)
	r.Apply(0, listed(host("i-2", 2000, addressA), 3), false)
	r.Sweep(2 * DefaultRetention)
	r.Apply(0, listed(host("i-2", 2000, addressB), 2), false) // a delayed reply
	is.Equal(names(&r), []string{"i-1"})
	r.Replace(0, nil, history.Position{Revision: 4}, false)
	r.Sweep(4 * DefaultRetention)
	is.Equal(len(r.names)+len(r.tokens)+len(r.positions)+len(r.addresses)+len(r.retired)+len(r.deferred), 0)
}

// Guards against memory that grows while a server without a token is deferred.
func TestDeferredServerWithoutTokenIsAddedOnce(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Apply(0, listed(host("i-1", 2000, addressA), 1), false)
	r.Apply(0, listed(host("i-2", 1, addressB), 2), false)
	r.tokens[NewToken("i-1", 1000)] = r.names["i-2"] // Simulates a token collision.
	r.Apply(0, listed(host("i-1", 1000, addressA), 3), false)
	for range 10 {
		r.Sweep(time.Second)
	}
	is.Equal(len(r.retired), 2) // The lapsed start and the deferred one.
}

// Guards against entry VMs that use different ones of two servers whose start times do not order them.
func TestDeferredServersAreOrdered(t *testing.T) {
	for range 50 {
		is := is.New(t)
		var r Registry
		for i, started := range []int64{9, 5, 5} {
			r.Apply(0, listed(host(fmt.Sprint("i-", i), started, addressA), uint64(i+1)), false)
		}
		r.Apply(0, Change{Name: "i-0", Revision: 4}, false)
		is.Equal(names(&r), []string{"i-1"})
	}
}

// lateStore is a store that executes some reports late, with the backend servers that report to it.
type lateStore struct {
	now           time.Duration
	era, revision uint64
	entries       map[string]Change
	writtenAt     map[string]time.Duration
	running       map[string]*Host
	late          []*Host // reports that are not executed yet
	deliver       func(Change)
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
	m.deliver(in(m.era, c))
}

// expire removes the entries without a recent report.
func (m *lateStore) expire() {
	for _, name := range slices.Sorted(maps.Keys(m.entries)) {
		if m.now-m.writtenAt[name] >= entryTimeout {
			delete(m.entries, name)
			m.revision++
			m.deliver(Change{Name: name, Era: m.era, Revision: m.revision})
		}
	}
}

// list returns all entries in the order of their names.
func (m *lateStore) list() []Change {
	var list []Change
	for _, name := range slices.Sorted(maps.Keys(m.entries)) {
		list = append(list, in(m.era, m.entries[name]))
	}
	return list
}

func (m *lateStore) position() history.Position {
	return history.Position{Era: m.era, Revision: m.revision}
}

// Guards against any order of starts, drains, crashes, reused addresses, late reports, restores, lookups, and starts of an
// entry VM from the store or from another one, after which a registry differs from the servers that run, and against
// resetting flows of one of them, or sending new flows to one that leaves, meanwhile.
func TestRegistriesConvergeAfterLateReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { testLateReports(t, false) })
}

// Guards against clocks that are set back, together with late reports, after which a registry differs from the servers
// that run.
func TestRegistriesConvergeAfterClockSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { testLateReports(t, true) })
}

func testLateReports(t *rapid.T, clockSteps bool) {
	vms := []*Registry{{}, {}}
	left := []map[uint32]bool{{}, {}} // tokens of the starts that an entry VM, or the source of its snapshot, has seen leaving
	starts := map[int64]bool{}
	m := &lateStore{
		era: 1, entries: map[string]Change{}, writtenAt: map[string]time.Duration{}, running: map[string]*Host{},
	}
	m.deliver = func(c Change) {
		for i, r := range vms {
			if c.Host != nil && c.Host.Leaving {
				left[i][NewToken(c.Name, c.Host.Started)] = true
			}
			r.Apply(m.now, c, false)
		}
	}
	pass := func(t *rapid.T, d time.Duration, mayBeLate bool) {
		for end := m.now + d; m.now < end; {
			m.now += reportPeriod / 2
			for _, name := range slices.Sorted(maps.Keys(m.running)) {
				m.report(name, mayBeLate && rapid.IntRange(0, 2).Draw(t, "late") == 0)
			}
			m.expire()
			for _, r := range vms {
				r.Sweep(m.now)
			}
		}
	}
	copied, copiedAt := map[string]Change{}, uint64(0)
	t.Repeat(map[string]func(*rapid.T){
		"start": func(t *rapid.T) {
			address := rapid.ByteRange(1, 2).Draw(t, "address")
			name := fmt.Sprintf("i-%d%d", address, rapid.IntRange(0, 1).Draw(t, "name"))
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, address}), 80)
			for _, h := range m.running {
				if h.Address == a {
					t.Skip("the address is in use")
				}
			}
			m.now += time.Millisecond
			started := m.now.Milliseconds() + 1_000_000
			if clockSteps {
				started -= int64(rapid.IntRange(0, 10_000).Draw(t, "step"))
			}
			if starts[started] {
				t.Skip("the start time was used before")
			}
			starts[started] = true
			m.running[name] = host(name, started, a)
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
		"start entry VM": func(*rapid.T) {
			vms[0], left[0] = &Registry{}, map[uint32]bool{}
			vms[0].Replace(m.now, m.list(), m.position(), false)
		},
		"start entry VM from snapshot": func(*rapid.T) {
			vms[0], left[0] = &Registry{}, map[uint32]bool{}
			vms[0].Replace(m.now, vms[1].Changes(m.now), m.position(), true)
			for token := range left[1] {
				if l := vms[1].Lifetime(token); l != nil && l.State == StateLeaving {
					left[0][token] = true
				}
			}
		},
		"read again": func(*rapid.T) { vms[1].Replace(m.now, m.list(), m.position(), false) },
		"lookup": func(*rapid.T) {
			for _, name := range slices.Sorted(maps.Keys(m.running)) {
				token := NewToken(name, m.running[name].Started)
				if record, ok := vms[1].Record(token); ok && vms[0].Lifetime(token) == nil {
					vms[0].AddRetired(m.now, &record)
				}
			}
		},
		"backup": func(*rapid.T) { copied, copiedAt = maps.Clone(m.entries), m.revision },
		"restore": func(*rapid.T) {
			m.era++
			m.entries, m.revision = maps.Clone(copied), copiedAt
			for name := range m.entries {
				m.writtenAt[name] = m.now
			}
			for _, r := range vms {
				r.Replace(m.now, m.list(), m.position(), true)
			}
		},
		"": func(t *rapid.T) {
			for i, r := range vms {
				for name, h := range m.running {
					if l := r.Lifetime(NewToken(name, h.Started)); l != nil && l.Replaced && !clockSteps {
						t.Fatalf("entry VM %d: start %d of %s runs, but counts as replaced", i, h.Started, name)
					}
				}
				for _, l := range r.Hosts("standdesk") {
					h := m.running[l.Name]
					if h == nil || !left[i][NewToken(h.Name, h.Started)] {
						continue
					}
					if !clockSteps || h.Started == l.Started {
						t.Fatalf("entry VM %d: start %d of %s receives flows after start %d was listed as leaving",
							i, l.Started, l.Name, h.Started)
					}
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
	slices.Sort(want)
	for i, r := range vms {
		got := names(r)
		slices.Sort(got)
		if !slices.Equal(got, want) {
			t.Fatalf("entry VM %d: got servers %v, want %v", i, got, want)
		}
		for _, l := range r.Hosts("standdesk") {
			if l.Started != m.running[l.Name].Started {
				t.Fatalf("entry VM %d: got start %d of %s, want %d", i, l.Started, l.Name, m.running[l.Name].Started)
			}
			if l.Replaced {
				t.Fatalf("entry VM %d: %s receives flows, but counts as replaced", i, l.Name)
			}
		}
	}
	m.running = map[string]*Host{}
	pass(t, entryTimeout+deferPeriod, false)
	for i, r := range vms {
		r.Sweep(m.now + 2*DefaultRetention)
		r.Sweep(m.now + 4*DefaultRetention)
		if n := len(r.names) + len(r.tokens) + len(r.positions) + len(r.addresses) + len(r.retired) + len(r.deferred); n > 0 {
			t.Fatalf("entry VM %d: %d items are kept after all servers have ended", i, n)
		}
	}
}
