package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

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
