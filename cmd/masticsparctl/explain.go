package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// logLine is a log event of an entry VM.
type logLine struct {
	at   time.Time
	text string
}

// explain prints the matching events of all given logs in chronological order. It keeps only these in memory, because
// the logs of hundreds of entry VMs have millions of events.
func (c *command) explain(a arguments, files []string) int {
	from, to, err := a.timeRange()
	if err != nil {
		_, _ = fmt.Fprintln(c.stderr, "masticsparctl:", err)
		return exitUsage
	}
	keep := func(l logLine) bool {
		return (from.IsZero() || !l.at.Before(from)) && (to.IsZero() || !l.at.After(to)) && matches(l.text, a.match)
	}
	var shown []logLine
	events, unreadable := 0, 0
	for _, name := range files {
		err := readLog(name, func(l logLine) {
			events++
			if keep(l) {
				shown = append(shown, l)
			}
		}, &unreadable)
		if err != nil {
			_, _ = fmt.Fprintln(c.stderr, "masticsparctl:", err)
			return exitInvalid
		}
	}
	sort.SliceStable(shown, func(i, j int) bool { return shown[i].at.Before(shown[j].at) })
	for _, l := range shown {
		_, _ = fmt.Fprintln(c.stdout, l.text)
	}
	_, _ = fmt.Fprintf(c.stderr, "%d of %d events shown, %d lines unreadable\n", len(shown), events, unreadable)
	return exitOK
}

// timeRange returns the parsed flags --from and --to. A missing flag yields the zero time.
func (a *arguments) timeRange() (from, to time.Time, err error) {
	for _, v := range []struct {
		flag, text string
		to         *time.Time
	}{{"from", a.from, &from}, {"to", a.to, &to}} {
		if v.text == "" {
			continue
		}
		if *v.to, err = time.Parse(time.RFC3339Nano, v.text); err != nil {
			return from, to, fmt.Errorf("--%s must be a time such as 2026-12-04T08:00:00.5Z, got %q", v.flag, v.text)
		}
	}
	return from, to, nil
}

// readLog calls handle with each event of a file, or of standard input for "-". It adds the number of lines without an
// event to unreadable.
func readLog(name string, handle func(logLine), unreadable *int) error {
	var in io.Reader = os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		// Text before the event, such as a prefix of a log collector, is skipped.
		i := strings.Index(text, "ts=")
		if i < 0 {
			*unreadable++
			continue
		}
		stamp, _, _ := strings.Cut(text[i+len("ts="):], " ")
		at, err := time.Parse(time.RFC3339Nano, stamp)
		if err != nil {
			*unreadable++
			continue
		}
		handle(logLine{at: at, text: text[i:]})
	}
	return scanner.Err()
}

// matches reports whether the line contains all comma-separated terms. A term such as host=i-1 matches only a whole
// key=value pair.
func matches(line, terms string) bool {
	for _, term := range strings.Split(terms, ",") {
		if term == "" {
			continue
		}
		if strings.Contains(term, "=") {
			if !strings.Contains(" "+line+" ", " "+term+" ") {
				return false
			}
		} else if !strings.Contains(line, term) {
			return false
		}
	}
	return true
}
