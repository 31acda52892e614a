package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against events that are printed out of order, lost between files, or hidden by unreadable lines.
func TestExplainOrdersMatchingEvents(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(directory, name)
		is.NoErr(os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	first := write("entry-1.log", "ts=2026-12-04T08:00:02Z msg=flow-reset caller=100.64.0.7:4001 reason=host-dead\n"+
		"ts=2026-12-04T08:00:03Z msg=flow-opened caller=100.64.0.7:40011\npanic: no event\n")
	second := write("entry-2.log",
		"12.3 entry-2 ts=2026-12-04T08:00:01Z msg=flow-opened caller=100.64.0.7:4001\nts=never msg=x\n")
	explain := func(arguments ...string) (string, string) {
		var out, stderr strings.Builder
		is.Equal(run(append([]string{"explain"}, arguments...), &out, &stderr), exitOK)
		return out.String(), stderr.String()
	}
	out, stderr := explain("--match", "caller=100.64.0.7:4001", "--", first, second)
	is.Equal(out, "ts=2026-12-04T08:00:01Z msg=flow-opened caller=100.64.0.7:4001\n"+
		"ts=2026-12-04T08:00:02Z msg=flow-reset caller=100.64.0.7:4001 reason=host-dead\n")
	is.Equal(stderr, "2 of 3 events shown, 2 lines unreadable\n")
	out, _ = explain("--from", "2026-12-04T08:00:02.5Z", "--", first, second)
	is.Equal(strings.Count(out, "\n"), 1)
}

// Guards against errors that cannot be told from the events, as other commands name the program in theirs.
func TestExplainErrorsNameTheProgram(t *testing.T) {
	is := is.New(t)
	for want, arguments := range map[int][]string{
		exitUsage:   {"explain", "--from", "yesterday", "--", "x.log"},
		exitInvalid: {"explain", "--", filepath.Join(t.TempDir(), "missing.log")},
	} {
		var out, stderr strings.Builder
		is.Equal(run(arguments, &out, &stderr), want)
		is.True(strings.HasPrefix(stderr.String(), "masticsparctl: "))
	}
}

// Guards against a refusal by overload whose reason is not shown for the request, or is shown for another one.
func TestExplainShowsOverloadRefusal(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "entry-1.log")
	line := "ts=2026-12-04T08:00:02Z level=info msg=flow-reset caller=100.64.0.7:4001 service-address=198.18.0.1:443 " +
		"token=0 syn=true configuration=1 picture-age=10ms reason=overload priority=2 expected=310ms " +
		"target-latency=400ms in-flight=6 limit=4.5\n"
	other := strings.ReplaceAll(line, "4001", "4002")
	is.NoErr(os.WriteFile(file, []byte(other+line), 0o600))
	var out, stderr strings.Builder
	is.Equal(run([]string{"explain", "--match", "caller=100.64.0.7:4001,reason=overload", "--", file}, &out, &stderr), exitOK)
	is.Equal(out.String(), line)
}
