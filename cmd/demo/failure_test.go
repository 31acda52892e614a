package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against flows that break when an entry VM is killed and cannot drain.
func TestEntryKilled(t *testing.T) {
	x := newTestSite(t)
	x.must(x.start())
	x.beginFlows()
	x.must(x.entries[3].cmd.Process.Kill())
	x.await("state dead of entry-3", func() bool { return x.peerState(1, 3) == "dead" && x.peerState(2, 3) == "dead" })
	x.must(x.setEntries(1, 2))
	x.endFlows()
}

// Guards against a resumed entry VM that selects servers by an outdated view, and against flows that break while an
// entry VM is paused. The process is stopped, the fabric removes it, and it continues after the other members have
// suspected it.
func TestEntryStoppedAndContinued(t *testing.T) {
	x := newTestSite(t)
	x.feedLines = 20 // The feeds outlast the pause.
	x.must(x.start())
	x.beginFlows()
	entry := x.entries[3].cmd.Process
	x.must(entry.Signal(syscall.SIGSTOP))
	// The fabric sends to the stopped VM until its readiness checks fail. These packets stay in the socket buffers.
	x.await("packets for the stopped VM", func() bool {
		return x.peerState(1, 3) == "suspect" || x.peerState(1, 3) == "dead"
	})
	x.must(x.setEntries(1, 2))
	time.Sleep(5 * time.Second)
	x.must(entry.Signal(syscall.SIGCONT))
	x.await("pause counted", func() bool {
		m := x.metrics(3)
		return m["pauses"] >= 1 && m["dropped-stale-view"] >= 1
	})
	x.must(x.waitReady(3))
	log := x.entryLog(3)
	paused := strings.Index(log, "process-paused")
	if paused < 0 || !strings.Contains(log[paused:], "view-refreshed") {
		t.Error("log of entry-3 has no view-refreshed after process-paused")
	}
	x.await("state alive of entry-3", func() bool {
		return x.peerState(1, 3) == "alive" && x.peerState(2, 3) == "alive"
	})
	x.must(x.setEntries(1, 2, 3))
	x.endFlows()
}

// Guards against processes that cannot start, or that keep outdated documents, during an outage of the platform. New
// processes must get the current documents from a peer.
func TestPlatformStopped(t *testing.T) {
	x := newTestSite(t)
	x.must(x.prepare())
	x.must(x.startEntry(1))
	x.must(x.waitReady(1))
	x.rules.Version++
	x.must(x.publish("rules", x.rules))
	x.await("update at entry-1", func() bool { return x.status(1).Rules.Version == x.rules.Version })
	x.must(x.platform.cmd.Process.Signal(syscall.SIGSTOP))
	x.must(x.startEntries(2, 3))
	x.must(x.setEntries(1, 2, 3))
	x.beginFlows()
	x.must(x.startEntry(4))
	x.must(x.waitReady(4))
	x.must(x.setEntries(1, 2, 3, 4))
	for _, i := range []int{2, 3, 4} {
		s := x.status(i)
		if s.Rules.Version != x.rules.Version || s.Inventory.Version != x.inventory.Version {
			t.Errorf("%s has inventory %d and rules %d, want the published versions",
				s.Name, s.Inventory.Version, s.Rules.Version)
		}
		if !strings.HasPrefix(s.Rules.Source, "entry-") {
			t.Errorf("%s has the rules from %q, want a peer", s.Name, s.Rules.Source)
		}
	}
	x.endFlows()
}

// Guards against documents that go back, and against a lower publication that nobody notices, after the platform was
// restored from a copy. New processes must get the current documents from a peer.
func TestPlatformRestored(t *testing.T) {
	x := newTestSite(t)
	x.must(x.prepare())
	x.must(x.startEntries(1, 2))
	lost := x.rules
	for range 2 {
		x.rules.Version++
		x.must(x.publish("rules", x.rules))
	}
	active := func(i int) bool { return x.status(i).Rules.Version == x.rules.Version }
	x.await("update at both", func() bool { return active(1) && active(2) })
	x.must(requestJSON("POST", "http://"+x.platformAddress()+"/switch/restored?value=2", nil, nil))
	lost.Version++
	x.must(x.publish("rules", lost))
	x.await("report of the lower version", func() bool {
		return strings.Contains(x.entryLog(1), "publication-behind") && strings.Contains(x.entryLog(2), "publication-behind")
	})
	x.must(x.startEntry(3))
	x.must(x.waitReady(3))
	for i := 1; i <= 3; i++ {
		if !active(i) {
			t.Errorf("%s has version %d of the rules, want %d", entryName(i), x.status(i).Rules.Version, x.rules.Version)
		}
	}
	x.must(x.publish("rules", x.rules))
	x.rules.Version++
	x.must(x.publish("rules", x.rules))
	x.await("next version at all", func() bool { return active(1) && active(2) && active(3) })
}

// awaitDrained removes a draining entry VM from the fabric once it is not ready, and waits until its process has
// exited.
func (x *testSite) awaitDrained(i int, others ...int) {
	x.Helper()
	x.await("not ready", func() bool { return requestJSON("GET", "http://"+x.operator(i)+"/ready", nil, nil) != nil })
	x.must(x.setEntries(others...))
	if code := x.exitCode(x.entries[i]); code != 0 {
		x.Errorf("exit code %d after the drain, want 0", code)
	}
	if !strings.Contains(x.entryLog(i), "drained") {
		x.Errorf("log of %s has no drained event", entryName(i))
	}
}

// Guards against a planned stop that breaks flows, or whose exit code looks like a failure to the supervisor.
func TestDrainBySignal(t *testing.T) {
	x := newTestSite(t)
	x.must(x.start())
	x.beginFlows()
	x.must(x.entries[2].cmd.Process.Signal(syscall.SIGTERM))
	x.awaitDrained(2, 1, 3)
	x.endFlows()
}

// Guards against a drain through masticsparctl that behaves differently from a drain by signal.
func TestDrainByOperator(t *testing.T) {
	x := newTestSite(t)
	x.must(x.start())
	x.beginFlows()
	if code, text := x.run("masticsparctl", "drain", "--operator", x.operator(3)); code != 0 {
		t.Fatalf("masticsparctl drain: exit code %d: %s", code, text)
	}
	x.awaitDrained(3, 1, 2)
	x.endFlows()
}

// Guards against invalid settings that are accepted, or whose refusal does not name the file, the key and the valid
// values.
func TestWrongSettings(t *testing.T) {
	x := newTestSite(t)
	x.must(x.chooseNetwork())
	x.must(x.writeSettings(1))
	good, err := os.ReadFile(x.settingsFile(1))
	x.must(err)
	for _, c := range []struct{ from, to, field, want string }{
		{`"mtu": 1440`, `"mtu": 100`, "mtu", "an integer from 1280 to 8900"},
		{`"flow-capacity": 500000`, `"flow-capacity": 1`, "flow-capacity", "an integer from 1000 to 10000000"},
		{`"drain-timeout": "30s"`, `"drain-timeout": "1h"`, "drain-timeout", "from 1s to 10m0s"},
		{`"mtu"`, `"mtus"`, "mtus", "unknown"},
		{`"mtu": 1440`, `"mtu": "x"`, "mtu", "an integer"},
	} {
		text := strings.Replace(string(good), c.from, c.to, 1)
		if text == string(good) {
			t.Fatalf("no %s in the settings: %s", c.from, good)
		}
		file := filepath.Join(x.directory, "wrong.json")
		x.must(os.WriteFile(file, []byte(text), 0o600))
		code, out := x.run("masticspard", "--settings", file)
		if code != 2 {
			t.Errorf("%s: exit code %d, want 2", c.to, code)
		}
		for _, part := range []string{file, c.field, c.want} {
			if !strings.Contains(out, part) {
				t.Errorf("%s: %q is missing in %s", c.to, part, out)
			}
		}
	}
}

// Guards against a liveness check that fails while the configuration is missing, which would make a supervisor restart
// the process, against a readiness check that succeeds without configuration, and against a drain that a second signal
// cannot end.
func TestLiveNotReadyAndSecondSignal(t *testing.T) {
	x := newTestSite(t)
	x.must(x.prepare())
	x.must(x.platform.cmd.Process.Signal(syscall.SIGSTOP))
	x.must(x.startEntry(1))
	x.await("live", func() bool { return requestJSON("GET", "http://"+x.operator(1)+"/live", nil, nil) == nil })
	x.await("refresh", func() bool { return strings.Contains(x.entryLog(1), "view-refreshed") })
	err := requestJSON("GET", "http://"+x.operator(1)+"/ready", nil, nil)
	if err == nil || !strings.Contains(err.Error(), "status 503") {
		t.Errorf("ready without configuration: %v, want status 503", err)
	}
	// The kernel merges equal pending signals, so the test sends two different ones.
	entry := x.entries[1].cmd.Process
	x.must(entry.Signal(syscall.SIGTERM))
	x.must(entry.Signal(syscall.SIGINT))
	if code := x.exitCode(x.entries[1]); code != 1 {
		t.Errorf("exit code %d after a second signal, want 1", code)
	}
}
