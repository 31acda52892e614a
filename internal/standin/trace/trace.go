package trace

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

const maxNumbers = 3

// Trace is a counterexample.
type Trace struct {
	// Name is the name of the file without its extension.
	Name   string
	Events []Event
}

// Event is a step of a Trace. Numbers that are missing in the line are zero.
type Event struct {
	Name    string
	Numbers [maxNumbers]int
}

// ReadAll reads the traces in the *.txt files of a directory, sorted by file name.
func ReadAll(directory string) ([]Trace, error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.txt"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	var traces []Trace
	for _, file := range files {
		b, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Trace(err)
		}
		t := Trace{Name: strings.TrimSuffix(filepath.Base(file), ".txt")}
		for line := range strings.Lines(string(b)) {
			e, err := parse(line)
			if err != nil {
				return nil, errors.Annotate(err, file)
			}
			t.Events = append(t.Events, e)
		}
		traces = append(traces, t)
	}
	return traces, nil
}

func parse(line string) (Event, error) {
	fields := strings.Fields(line)
	if len(fields) == 0 || len(fields) > 1+maxNumbers {
		return Event{}, errors.NotValidf("event %q", line)
	}
	e := Event{Name: fields[0]}
	for i, field := range fields[1:] {
		n, err := strconv.Atoi(field)
		if err != nil {
			return Event{}, errors.Annotatef(err, "event %q", line)
		}
		e.Numbers[i] = n
	}
	return e, nil
}
