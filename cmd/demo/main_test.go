package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/masticspar/masticspar/internal/operator"
	"github.com/masticspar/masticspar/internal/standin/caller"
)

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "masticspar-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	args := []string{"build", "-o", directory + "/"}
	for _, name := range []string{
		"masticspard", "masticsparctl", "standin-platform", "standin-fabric", "standin-backend", "standin-caller",
	} {
		args = append(args, "github.com/masticspar/masticspar/cmd/"+name)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	binaries = directory
	return m.Run()
}

// testSite is a site whose helpers report failures to the test.
type testSite struct {
	testing.TB
	*site
}

func newTestSite(t *testing.T) *testSite {
	t.Helper()
	s := &site{
		binaries: binaries, directory: t.TempDir(), started: time.Now(), plan: []callerLoad{{40, 160}, {10, 40}},
		feedLines: 10, log: func(line string) { t.Log(line) },
	}
	x := &testSite{TB: t, site: s}
	t.Cleanup(func() {
		s.killAll()
		if t.Failed() {
			x.logFiles()
		}
	})
	return x
}

// logFiles copies the logs of the entry VMs to the log of the test.
func (x *testSite) logFiles() {
	files, _ := filepath.Glob(filepath.Join(x.directory, "entry-*.log"))
	for _, f := range files {
		b, err := os.ReadFile(f)
		x.Logf("%s: %v\n%s", filepath.Base(f), err, b)
	}
}

func (x *testSite) must(err error) {
	x.Helper()
	if err != nil {
		x.Fatal(err)
	}
}

// await waits until a condition holds and fails the test after pollTimeout.
func (x *testSite) await(what string, condition func() bool) {
	x.Helper()
	x.must(waitUntil(what, pollTimeout, condition))
}

// beginFlows starts the callers and waits until the first of them has 20 complete responses.
func (x *testSite) beginFlows() {
	x.Helper()
	x.must(x.startCallers())
	x.await("responses", func() bool {
		var r caller.Report
		return requestJSON("GET", "http://"+x.callerControl(0)+"/report", nil, &r) == nil && r.Whole >= 20
	})
}

// endFlows waits for the callers and checks that each of their flows got a complete response and no request ran twice.
func (x *testSite) endFlows() {
	x.Helper()
	for _, p := range x.callers {
		x.must(p.wait(pollTimeout))
	}
	total, failures, err := x.sumReports()
	x.must(err)
	if total.Whole != x.plannedFlows || total.Opened != x.plannedFlows {
		x.Errorf("%d of %d flows with a complete response, %d refused, broken %v: %+v",
			total.Whole, x.plannedFlows, total.Refused, total.Broken, failures)
	}
	x.must(x.checkRepeated())
	if len(x.failures) > 0 {
		x.Error(x.failures)
	}
}

// status returns the status of entry VM i, or the zero value when the VM is unavailable.
func (x *testSite) status(i int) (s operator.Status) {
	_ = requestJSON("GET", "http://"+x.operator(i)+"/status", nil, &s) // After an error, the zero value fulfils no condition.
	return s
}

// peerState returns the state of entry VM j as seen by entry VM i, or an empty string while i is unavailable or does
// not list j.
func (x *testSite) peerState(i, j int) string {
	for _, p := range x.status(i).Peers {
		if p.Name == entryName(j) {
			return p.State
		}
	}
	return ""
}

func (x *testSite) entryLog(i int) string {
	b, err := os.ReadFile(filepath.Join(x.directory, entryName(i)+".log"))
	x.must(err)
	return string(b)
}

// exitCode waits until the process has exited and returns its exit code.
func (x *testSite) exitCode(p *process) int {
	x.Helper()
	select {
	case <-p.done:
	case <-time.After(pollTimeout):
		x.Fatalf("%s did not exit", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// run runs a program until it exits and returns its exit code and output.
func (x *testSite) run(program string, args ...string) (int, string) {
	x.Helper()
	p, err := x.launch("run-"+program, program, args...)
	x.must(err)
	code := x.exitCode(p)
	var text strings.Builder
	for _, file := range []string{p.output, filepath.Join(x.directory, p.name+".log")} {
		b, err := os.ReadFile(file)
		x.must(err)
		text.Write(b)
	}
	return code, text.String()
}
