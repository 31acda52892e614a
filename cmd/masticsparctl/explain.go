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

// explain prints the matching events of all given logs in chronological order.
func (c *command) explain(a arguments, files []string) int {
	from, to, err := a.timeRange()
	if err != nil {
		_, _ = fmt.Fprintln(c.stderr, err)
		return exitUsage
	}
	var lines []logLine
	unreadable := 0
	for _, name := range files {
		var n int
		if lines, n, err = readLog(name, lines); err != nil {
			_, _ = fmt.Fprintln(c.stderr, err)
			return exitInvalid
		}
		unreadable += n
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	shown := 0
	for _, l := range lines {
		if (!from.IsZero() && l.at.Before(from)) || (!to.IsZero() && l.at.After(to)) || !matches(l.text, a.match) {
			continue
		}
		_, _ = fmt.Fprintln(c.stdout, l.text)
		shown++
	}
	_, _ = fmt.Fprintf(c.stderr, "%d of %d events shown, %d lines unreadable\n", shown, len(lines), unreadable)
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

// readLog appends the events of a file, or of standard input for "-", to lines. It also returns the number of lines
// without an event.
func readLog(name string, lines []logLine) ([]logLine, int, error) {
	var in io.Reader = os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, 0, err
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	unreadable := 0
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		// Text before the event, such as a prefix of a log collector, is skipped.
		i := strings.Index(text, "ts=")
		if i < 0 {
			unreadable++
			continue
		}
		stamp, _, _ := strings.Cut(text[i+len("ts="):], " ")
		at, err := time.Parse(time.RFC3339Nano, stamp)
		if err != nil {
			unreadable++
			continue
		}
		lines = append(lines, logLine{at: at, text: text[i:]})
	}
	return lines, unreadable, scanner.Err()
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
