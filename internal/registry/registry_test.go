package registry

import (
	"cmp"
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

var (
	addressA = netip.MustParseAddrPort("10.1.0.1:80")
	addressB = netip.MustParseAddrPort("10.1.0.2:80")
)

func host(name string, started int64, address netip.AddrPort) *Host {
	return &Host{
		Name: name, Service: "standdesk", Address: address, AvailabilityZone: "wa-perth", Slots: 2, Started: started,
	}
}

func listed(h *Host, revision uint64) Change {
	return Change{Name: h.Name, Host: h, Revision: revision, Created: revision}
}

func names(r *Registry) []string {
	list := []string{}
	for _, l := range r.Hosts("standdesk") {
		list = append(list, l.Name)
	}
	return list
}

// Guards against new flows to a server that was only added as retired, against resetting flows to one that may still be
// running, and against a server that cannot be listed because it was added as retired before.
func TestRetiredServerCanBeListed(t *testing.T) {
	is := is.New(t)
	var r Registry
	h := Host{Name: "i-1", Service: "standdesk", Address: netip.MustParseAddrPort("10.0.0.1:80"), Started: 1}
	is.True(r.AddRetired(0, &Record{Host: h, First: history.Position{Revision: 3}}))
	is.True(!r.AddRetired(0, &Record{Host: h, First: history.Position{Revision: 3}}))
	l := r.Lifetime(NewToken(h.Name, h.Started))
	is.Equal(len(r.Hosts("standdesk")), 0)
	is.True(!l.Replaced)
	r.Apply(0, Change{Name: h.Name, Revision: 9, Created: 3, Host: &h}, false)
	is.Equal(r.Hosts("standdesk"), []*Lifetime{l})
	other := h
	other.Name, other.Started = "i-2", 0 // It had the address earlier.
	is.True(r.AddRetired(0, &Record{Host: other, First: history.Position{Revision: 2}}))
	is.True(r.Lifetime(NewToken(other.Name, 0)).Replaced)
	r.Apply(0, Change{Name: h.Name, Revision: 10}, false)
	r.Sweep(DefaultRetention)
	is.Equal(len(r.tokens)+len(r.retired), 0)
}

// Guards against memory that is never released for a server without a token, because another server has the same one,
// and for a server whose entry was never usable.
func TestUnusableServersAreForgotten(t *testing.T) {
	is := is.New(t)
	var r Registry
	first := Host{Name: "i-1", Service: "standdesk", Address: netip.MustParseAddrPort("10.0.0.1:80"), Started: 1}
	second := Host{Name: "i-2", Service: "standdesk", Address: netip.MustParseAddrPort("10.0.0.2:80"), Started: 1}
	r.Apply(0, Change{Name: first.Name, Revision: 1, Created: 1, Host: &first}, false)
	r.tokens[NewToken(second.Name, 1)] = r.names[first.Name] // Simulates a token collision.
	r.Apply(0, Change{Name: second.Name, Revision: 2, Created: 2, Host: &second}, false)
	is.Equal(len(r.Hosts("standdesk")), 1)
	r.Apply(0, Change{Name: "i-3", Revision: 3, Fault: "state"}, false)
	delete(r.tokens, NewToken(second.Name, 1))
	r.Replace(0, nil, history.Position{Revision: 9}, false)
	is.Equal(len(r.positions), 2) // Replace removes that of i-3, which has no lifetime.
	r.Sweep(DefaultRetention)
	is.Equal(len(r.names)+len(r.tokens)+len(r.positions)+len(r.addresses)+len(r.retired), 0)
}

// Guards against a server no longer receiving flows after its entry changed to another address or service.
func TestMovedServerReceivesFlows(t *testing.T) {
	is := is.New(t)
	var r Registry
	h := Host{Name: "i-1", Service: "standdesk", Address: netip.MustParseAddrPort("10.0.0.1:80"), Started: 1}
	r.Apply(0, Change{Name: h.Name, Revision: 1, Created: 1, Host: &h}, false)
	moved := h
	moved.Address = netip.MustParseAddrPort("10.0.0.2:80")
	r.Apply(0, Change{Name: h.Name, Revision: 2, Created: 1, Host: &moved}, false)
	is.Equal(len(r.Hosts("standdesk")), 1)
	is.Equal(r.Hosts("standdesk")[0].Address, moved.Address)
	other := Host{Name: "i-2", Service: "standdesk", Address: h.Address, Started: 1}
	r.Apply(0, Change{Name: other.Name, Revision: 3, Created: 3, Host: &other}, false)
	is.Equal(len(r.Hosts("standdesk")), 2) // The address was free after the change.
	r.Apply(0, Change{Name: other.Name, Revision: 4}, false)
	moved.Service = "photointake"
	r.Apply(0, Change{Name: h.Name, Revision: 5, Created: 1, Host: &moved}, false)
	is.Equal(len(r.Hosts("standdesk")), 0)
	is.Equal(len(r.Hosts("photointake")), 1)
}

// Guards against a leaving server receiving new flows, and against losing its open flows.
func TestLeavingServerKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	var r Registry
	h := host("i-1", 1, addressA)
	r.Apply(0, listed(h, 1), false)
	token := r.Hosts("standdesk")[0].Token
	leaving := *h
	leaving.Leaving = true
	r.Apply(time.Second, listed(&leaving, 2), false)
	is.Equal(names(&r), []string{})
	is.Equal(r.Lifetime(token).State, StateLeaving)
	r.Apply(2*time.Second, Change{Name: "i-1", Revision: 3}, false)
	is.Equal(r.Lifetime(token).State, StateGone)
	r.Sweep(2*time.Second + DefaultRetention)
	is.Equal(r.Lifetime(token), nil)
}

// Guards against a delayed reply of the store bringing back a server that is leaving.
func TestOlderChangeIsIgnored(t *testing.T) {
	is := is.New(t)
	var r Registry
	h := host("i-1", 1, addressA)
	leaving := *h
	leaving.Leaving = true
	r.Apply(0, listed(&leaving, 5), false)
	r.Apply(0, listed(h, 4), false)
	is.Equal(names(&r), []string{})
}

// Guards against a restart under the same name that is not noticed, against a caller waiting for a server that restarted at
// another address or with another service, and against resetting flows that the restarted server may hold.
func TestRestartCreatesLifetime(t *testing.T) {
	for _, test := range []struct {
		change   func(h *Host)
		replaced bool
	}{
		{func(*Host) {}, false},
		{func(h *Host) { h.Address = addressB }, true},
		{func(h *Host) { h.Service = "photointake" }, true},
	} {
		is := is.New(t)
		var r Registry
		r.Apply(0, listed(host("i-1", 1, addressA), 1), false)
		old := r.Hosts("standdesk")[0].Token
		restarted := host("i-1", 2, addressA)
		test.change(restarted)
		r.Apply(time.Second, listed(restarted, 2), false)
		is.Equal(len(r.Hosts(restarted.Service)), 1)
		is.True(r.Hosts(restarted.Service)[0].Token != old)
		is.Equal(r.Lifetime(old).Replaced, test.replaced)
		r.Apply(2*time.Second, listed(host("i-1", 1, addressA), 1), false) // Delayed change of the first start.
		is.Equal(r.Hosts(restarted.Service)[0].Started, int64(2))
	}
}

// Guards against flows of one service reaching another service whose server reuses an address.
func TestReusedAddressReplacesServer(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Apply(0, listed(host("i-1", 1, addressA), 1), false)
	old := r.Hosts("standdesk")[0].Token
	next := host("i-2", 2, addressA)
	next.Service = "photointake"
	r.Apply(time.Second, listed(next, 2), false)
	is.Equal(names(&r), []string{})
	is.True(r.Lifetime(old).Replaced)
	is.Equal(r.Hosts("photointake")[0].Name, "i-2")
	// The entry of the replaced server may still exist and be written again.
	rewritten := listed(host("i-1", 1, addressA), 3)
	rewritten.Created = 1
	r.Apply(time.Second, rewritten, false)
	is.Equal(names(&r), []string{})
}

// Guards against a full read with two entries for one address, in which the entry that is read last gets the address, or
// in which the flows of either server are reset although the order of their starts is uncertain.
func TestLaterStartOwnsSharedAddress(t *testing.T) {
	for _, laterName := range []string{"i-0", "i-2"} {
		is := is.New(t)
		var r Registry
		// Either the earlier start was listed late, or the clock of the other server was set back.
		earlier, later := host("i-1", 5, addressA), host(laterName, 9, addressA)
		list := []Change{
			{Name: "i-1", Host: earlier, Revision: 8, Created: 8}, {Name: laterName, Host: later, Revision: 9, Created: 2},
		}
		slices.SortFunc(list, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
		r.Replace(0, list, history.Position{Revision: 9}, false)
		is.Equal(names(&r), []string{laterName})
		is.True(!r.Lifetime(NewToken("i-1", 5)).Replaced)
		is.True(!r.Lifetime(NewToken(laterName, 9)).Replaced)
		r.Apply(time.Second, Change{Name: laterName, Revision: 10}, false)
		is.Equal(names(&r), []string{"i-1"})
	}
}

// Guards against ignoring a server that restarted with a clock that was set back, and against resetting its flows.
func TestRestartWithEarlierClock(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Apply(0, listed(host("i-1", 5, addressA), 1), false)
	r.Apply(0, listed(host("i-1", 3, addressA), 2), false)
	is.Equal(names(&r), []string{"i-1"}) // The entry may be a late report of a former start, which has the same address.
	is.True(!r.Lifetime(NewToken("i-1", 3)).Replaced)
	is.True(!r.Lifetime(NewToken("i-1", 5)).Replaced)
	r.Sweep(DefaultGracePeriod)
	is.Equal(names(&r), []string{}) // Until it is known that the entry is not outdated.
	r.Sweep(deferPeriod)
	is.Equal(r.Hosts("standdesk")[0].Started, int64(3))
	is.True(!r.Lifetime(NewToken("i-1", 3)).Replaced)
}

// Guards against new flows to a server whose entry was removed while it was deferred.
func TestRemovalEndsLapseOfDeferredServer(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Apply(0, listed(host("i-1", 1, addressA), 1), false)
	r.Apply(0, listed(host("i-2", 1, addressB), 2), false)
	r.Apply(0, Change{Name: "i-1", Revision: 3}, true)
	r.Apply(0, Change{Name: "i-1", Revision: 4, Created: 1, Host: host("i-1", 1, addressB)}, false)
	r.Apply(0, Change{Name: "i-1", Revision: 5}, false)
	is.Equal(names(&r), []string{"i-2"})
}

// Guards against losing all servers when their entries are removed while the store is unavailable.
func TestLapsedServerServesDuringGracePeriod(t *testing.T) {
	is := is.New(t)
	var r Registry
	for i, a := range []netip.AddrPort{addressA, addressB} {
		r.Apply(0, listed(host(fmt.Sprint("i-", i), 1, a), 1), false)
	}
	r.Replace(time.Second, nil, history.Position{Revision: 9}, true)
	is.Equal(len(names(&r)), 2)
	r.Apply(2*time.Second, listed(host("i-0", 1, addressA), 10), true)
	r.Sweep(time.Second + DefaultGracePeriod)
	is.Equal(names(&r), []string{"i-0"})
}

// Guards against keeping a crashed server for the grace period although there was no outage of the store.
func TestMissingServerIsGoneWhileStoreIsUp(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Apply(0, listed(host("i-0", 1, addressA), 1), false)
	r.Replace(time.Second, nil, history.Position{Revision: 9}, false)
	is.Equal(names(&r), []string{})
}

// Guards against using a server whose entry was overwritten by another writer and cannot be used.
func TestUnusableEntryRemovesServer(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Apply(0, listed(host("i-0", 1, addressA), 1), false)
	r.Apply(0, Change{Name: "i-0", Revision: 2, Fault: "state"}, true)
	is.Equal(names(&r), []string{})
}

// Guards against an entry of an unknown service, written by another writer, replacing a running server with the same
// address. Also guards against losing a server whose service is added to the configuration later.
func TestUnknownServiceClaimsNoAddress(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Apply(0, Change{Configuration: &Configuration{Version: 1, Services: []string{"standdesk"}}}, false)
	r.Apply(0, listed(host("i-1", 1, addressA), 1), false)
	token := r.Hosts("standdesk")[0].Token
	unknown := host("i-9", 2, addressA)
	unknown.Service = "nowhere"
	r.Apply(0, listed(unknown, 2), false)
	is.Equal(names(&r), []string{"i-1"})
	is.True(!r.Lifetime(token).Replaced)
	later := host("i-3", 2, addressB)
	later.Service = "photointake"
	r.Apply(0, listed(later, 3), false)
	is.Equal(len(r.Hosts("photointake")), 0)
	r.Apply(0, Change{Configuration: &Configuration{Version: 2, Services: []string{"standdesk", "photointake"}}}, false)
	is.Equal(len(r.Hosts("photointake")), 1)
}

// Guards against a server that is never used by an entry VM which started with the state of another one: its service
// became known only after that.
func TestSnapshotHasServersOfUnknownServices(t *testing.T) {
	is := is.New(t)
	var r, fresh Registry
	r.Apply(0, Change{Configuration: &Configuration{Version: 1, Services: []string{"photointake"}}}, false)
	r.Apply(0, listed(host("i-1", 1, addressA), 1), false)
	configuration := r.Configuration()
	fresh.Apply(0, Change{Configuration: &configuration}, false)
	fresh.Replace(0, r.Changes(0), history.Position{Revision: 1}, true)
	is.Equal(names(&fresh), []string{})
	fresh.Apply(0, Change{Configuration: &Configuration{Version: 2, Services: []string{"photointake", "standdesk"}}}, false)
	is.Equal(names(&fresh), []string{"i-1"})
}

// Guards against memory use that grows with each restart of a server.
func TestRetiredLifetimesAreForgotten(t *testing.T) {
	is := is.New(t)
	var r Registry
	var forgotten []uint32
	r.Forgotten = func(token uint32) { forgotten = append(forgotten, token) }
	r.Apply(0, listed(host("i-1", 1, addressA), 1), false)
	r.Apply(0, listed(host("i-1", 2, addressA), 2), false)
	r.Sweep(DefaultRetention)
	is.Equal(forgotten, []uint32{NewToken("i-1", 1)})
	is.Equal(len(names(&r)), 1)
}

// Guards against an older configuration replacing a newer one.
func TestConfigurationNeverReverts(t *testing.T) {
	is := is.New(t)
	var r Registry
	a := netip.MustParseAddrPort("198.18.0.1:443")
	r.Apply(0, Change{Configuration: &Configuration{Version: 7, Routes: []Route{{Name: "new", Address: a}}}}, false)
	r.Apply(0, Change{Configuration: &Configuration{Version: 6, Routes: []Route{{Name: "old", Address: a}}}}, false)
	is.Equal(r.Version(), uint64(7))
	is.Equal(r.Route(a).Name, "new")
}

// Guards against two servers receiving flows under the same token.
func TestTokenCollisionKeepsFirstServer(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Apply(0, listed(host("i-0", 1, addressA), 1), false)
	taken := NewToken("i-1", 1)
	r.tokens[taken] = r.Hosts("standdesk")[0]
	r.Apply(0, listed(host("i-1", 1, addressB), 2), false)
	is.Equal(names(&r), []string{"i-0"}) // The second receives no flows, because the first has the token.
}

// Guards against any sequence of changes, restarts, reused addresses and outages after which a server receives flows
// although it is leaving, replaced or gone, or after which the token of a server in use is lost.
func TestRandomChangesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Registry
		now, revision := time.Duration(0), uint64(0)
		newest := map[string]Host{}
		present, inStore := map[string]bool{}, map[string]bool{}
		hiddenSince := map[string]time.Duration{} // since when an entry of an earlier start hides the one that gets flows
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				revision++
				name := fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(t, "name"))
				h := host(name, rapid.Int64Range(1, 3).Draw(t, "started"),
					netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, rapid.ByteRange(1, 3).Draw(t, "address")}), 80))
				h.Leaving = rapid.Bool().Draw(t, "leaving")
				r.Apply(now, listed(h, revision), false)
				newest[name], present[name], inStore[name] = *h, true, true
			},
			"remove": func(t *rapid.T) {
				revision++
				name := fmt.Sprint("i-", rapid.IntRange(0, 4).Draw(t, "name"))
				storeDown := rapid.Bool().Draw(t, "storeDown")
				r.Apply(now, Change{Name: name, Revision: revision}, storeDown)
				if inStore[name] { // A second removal does not change a server that has lapsed.
					present[name], inStore[name] = storeDown, false
				}
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
				r.Sweep(now)
			},
			"": func(t *rapid.T) { // The invariants, which are checked after each action.
				addresses := map[netip.AddrPort]bool{}
				for _, l := range r.Hosts("standdesk") {
					if l.Leaving || l.Replaced || l.State == StateLeaving || l.State == StateGone {
						t.Fatalf("%s receives flows in state %v, replaced %v; want ready or lapsed, not replaced",
							l.Name, l.State, l.Replaced)
					}
					if !present[l.Name] || newest[l.Name].Leaving {
						t.Fatalf("%s receives flows after it was removed or listed as leaving", l.Name)
					}
					// A late report may hide the entry of a later start until its next report.
					if l.Started <= newest[l.Name].Started {
						delete(hiddenSince, l.Name)
					} else if _, ok := hiddenSince[l.Name]; !ok {
						hiddenSince[l.Name] = now
					}
					since, hidden := hiddenSince[l.Name]
					if l.Started < newest[l.Name].Started || hidden && now-since >= DefaultGracePeriod {
						t.Fatalf("%s receives flows after it was restarted", l.Name)
					}
					if addresses[l.Address] {
						t.Fatalf("two servers with address %v receive flows, want at most one", l.Address)
					}
					addresses[l.Address] = true
					if r.Lifetime(l.Token) != l {
						t.Fatalf("Lifetime does not return %s by its token", l.Name)
					}
				}
			},
		})
	})
}

// in returns c as read in an era.
func in(era uint64, c Change) Change {
	c.Era = era
	return c
}

// Guards against a server that keeps its state for good after the store was restored, because the revision of its next
// change is lower than that of a lost one.
func TestChangeAfterRestoreIsApplied(t *testing.T) {
	is := is.New(t)
	var r Registry
	h := host("i-1", 1, addressA)
	r.Apply(0, in(1, listed(h, 9)), false)
	leaving := *h
	leaving.Leaving = true
	r.Apply(0, in(2, listed(&leaving, 5)), false)
	is.Equal(names(&r), []string{})
	r.Apply(0, in(1, listed(h, 10)), false) // A delayed change of the lost history.
	is.Equal(names(&r), []string{})
}

// Guards against new flows to a server that is leaving or has left, because the copy from which the store was restored
// still lists it as ready.
func TestRestoredCopyDoesNotListLeavingServer(t *testing.T) {
	for _, removed := range []bool{false, true} {
		is := is.New(t)
		var r Registry
		h := host("i-1", 1, addressA)
		h.Sequence = 4
		r.Apply(0, in(1, listed(h, 3)), false)
		leaving := *h
		leaving.Leaving, leaving.Sequence = true, 5
		r.Apply(0, in(1, listed(&leaving, 8)), false)
		if removed {
			r.Apply(0, Change{Name: "i-1", Era: 1, Revision: 9}, false)
		}
		copied := []Change{in(2, listed(h, 3))}
		r.Replace(time.Second, copied, history.Position{Era: 2, Revision: 6}, true)
		is.Equal(names(&r), []string{})
		r.Sweep(time.Second + DefaultGracePeriod)
		is.Equal(names(&r), []string{})
		restarted := host("i-1", 2, addressA)
		r.Apply(time.Minute, in(2, listed(restarted, 7)), false)
		is.Equal(names(&r), []string{"i-1"})
	}
}

// Guards against a live server that never gets flows again, and whose flows are reset, because the copy from which the
// store was restored lists an earlier start of it.
func TestRestoredCopyDoesNotReplaceLaterStart(t *testing.T) {
	for _, listedAgain := range []bool{false, true} {
		is := is.New(t)
		var r Registry
		r.Apply(0, in(1, listed(host("i-1", 1, addressA), 3)), false)
		later := host("i-1", 2, addressA)
		r.Apply(0, in(1, listed(later, 8)), false)
		token := r.Hosts("standdesk")[0].Token
		copied := []Change{in(2, listed(host("i-1", 1, addressA), 3))}
		r.Replace(time.Second, copied, history.Position{Era: 2, Revision: 6}, true)
		is.Equal(r.Hosts("standdesk")[0].Token, token) // Until it is listed again.
		if listedAgain {
			c := in(2, listed(later, 7))
			c.Created = 3
			r.Apply(2*time.Second, c, false)
		}
		r.Sweep(time.Second + DefaultGracePeriod)
		is.True(!r.Lifetime(token).Replaced)
		is.Equal(len(r.Hosts("standdesk")) == 1, listedAgain)
	}
}

// Guards against a live server that never gets flows again, and whose flows are reset, because the copy from which the
// store was restored lists the previous server at its address.
func TestRestoredCopyDoesNotClaimAddress(t *testing.T) {
	is := is.New(t)
	var r Registry
	previous, current := host("i-1", 1, addressA), host("i-2", 2, addressA)
	r.Apply(0, in(1, listed(current, 8)), false)
	token := r.Hosts("standdesk")[0].Token
	r.Replace(time.Second, []Change{in(2, listed(previous, 3))}, history.Position{Era: 2, Revision: 6}, true)
	is.Equal(names(&r), []string{"i-2"})
	r.Apply(2*time.Second, in(2, listed(current, 7)), false)
	is.Equal(names(&r), []string{"i-2"})
	is.True(!r.Lifetime(token).Replaced)
	is.True(r.Lifetime(NewToken("i-1", 1)).Replaced)
}

// Guards against a new server that never gets flows, because the previous server at its address was listed at a higher
// revision of the lost history.
func TestAddressIsReusedAfterRestore(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Apply(0, in(1, listed(host("i-1", 1, addressA), 8)), false)
	next := in(2, listed(host("i-2", 2, addressA), 7))
	r.Replace(time.Second, []Change{next}, history.Position{Era: 2, Revision: 7}, true)
	snapshot := r.Changes(0)
	is.Equal(len(snapshot), 1) // Other entry VMs get the new server, too.
	r.Sweep(time.Second + DefaultGracePeriod)
	is.Equal(names(&r), []string{"i-2"})
	r.Apply(time.Minute, Change{Name: "i-2", Era: 2, Revision: 9}, false)
	is.Equal(names(&r), []string{})
}

// storeModel is a store that is restored from copies, with the backend servers that write to it.
type storeModel struct {
	era, revision uint64
	entries       map[string]Change
	running       map[string]*Host
	sequence      map[string]int64
	copied        map[string]Change
	copiedAt      uint64
}

// write lists a running server, if its entry differs, and returns the change.
func (m *storeModel) write(name string) (Change, bool) {
	h := *m.running[name]
	old, ok := m.entries[name]
	if ok && old.Host.Started == h.Started && old.Host.Leaving == h.Leaving {
		return Change{}, false
	}
	m.sequence[name]++
	h.Sequence = m.sequence[name]
	m.revision++
	c := Change{Name: name, Era: m.era, Revision: m.revision, Created: m.revision, Host: &h}
	if ok {
		c.Created = old.Created
	}
	m.entries[name] = c
	return c, true
}

// Guards against any order of restarts, drains, crashes, reused addresses and restores of the store after which the
// registry differs from the servers that run, or after which one of them counts as replaced.
func TestRegistryConvergesAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Registry
		m := &storeModel{
			era: 1, entries: map[string]Change{}, running: map[string]*Host{}, sequence: map[string]int64{},
		}
		now, starts, addresses := time.Second, map[int64]bool{}, map[string]netip.AddrPort{}
		cutOff, pending := false, []Change(nil) // changes that have not reached the entry VM
		deliver := func() {
			for _, c := range pending {
				r.Apply(now, c, false)
			}
			pending = nil
		}
		apply := func(c Change) {
			if pending = append(pending, c); !cutOff {
				deliver()
			}
		}
		backup := func() { m.copied, m.copiedAt = maps.Clone(m.entries), m.revision }
		backup()
		rewriteAll := func() {
			for _, name := range slices.Sorted(maps.Keys(m.running)) {
				if c, ok := m.write(name); ok {
					apply(c)
				}
			}
		}
		expire := func(name string) {
			if _, ok := m.entries[name]; ok && m.running[name] == nil {
				m.revision++
				delete(m.entries, name)
				apply(Change{Name: name, Era: m.era, Revision: m.revision})
			}
		}
		drawName := func(t *rapid.T) string { return fmt.Sprint("i-", rapid.IntRange(0, 5).Draw(t, "name")) }
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				name := drawName(t)
				address, ok := addresses[name] // A server that starts again under its name keeps its address.
				if !ok {
					address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, rapid.ByteRange(1, 3).Draw(t, "address")}), 80)
				}
				for other, h := range m.running {
					if h.Address == address && other != name {
						t.Skip("the address is in use")
					}
				}
				// The clock of a server may be set back between two starts.
				started := rapid.Int64Range(1, 1<<40).Draw(t, "started")
				if starts[started] {
					t.Skip("the start time was used before")
				}
				starts[started], addresses[name] = true, address
				m.running[name], m.sequence[name] = host(name, started, address), 0
				c, _ := m.write(name)
				apply(c)
			},
			"drain": func(t *rapid.T) {
				name := drawName(t)
				if m.running[name] == nil {
					t.Skip("no server")
				}
				m.running[name].Leaving = true
				if c, ok := m.write(name); ok {
					apply(c)
				}
			},
			"end":     func(t *rapid.T) { delete(m.running, drawName(t)) },
			"expire":  func(t *rapid.T) { expire(drawName(t)) },
			"backup":  func(*rapid.T) { backup() },
			"cut off": func(*rapid.T) { cutOff = true },
			"restore": func(t *rapid.T) {
				cutOff, pending = false, nil
				m.era++
				m.entries, m.revision = maps.Clone(m.copied), m.copiedAt
				for _, name := range slices.Sorted(maps.Keys(m.running)) { // Some servers write before the entry VM reads.
					if rapid.Bool().Draw(t, "early") {
						m.write(name)
					}
				}
				var list []Change
				for _, name := range slices.Sorted(maps.Keys(m.entries)) {
					list = append(list, in(m.era, m.entries[name]))
				}
				r.Replace(now, list, history.Position{Era: m.era, Revision: m.revision}, true)
				rewriteAll()
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
				r.Sweep(now)
			},
			"": func(t *rapid.T) {
				for name, h := range m.running {
					if l := r.Lifetime(NewToken(name, h.Started)); l != nil && l.Replaced {
						t.Fatalf("start %d of %s runs, but counts as replaced", h.Started, name)
					}
				}
			},
		})
		cutOff = false
		deliver()
		for i := range 6 {
			expire(fmt.Sprint("i-", i))
		}
		rewriteAll()
		r.Sweep(now + DefaultGracePeriod)
		r.Sweep(now + deferPeriod)
		var want []string
		for name, h := range m.running {
			if !h.Leaving {
				want = append(want, name)
			}
		}
		got := names(&r)
		slices.Sort(got)
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Fatalf("got servers %v, want %v", got, want)
		}
	})
}
