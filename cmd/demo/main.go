package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
)

func main() {
	binaries, keep := "bin", false
	flaggy.SetName("demo")
	flaggy.SetDescription("Runs the whole path with failures and exits non-zero when a flow broke. Example: demo --binaries bin")
	flaggy.String(&binaries, "b", "binaries", "directory with the programs")
	flaggy.Bool(&keep, "k", "keep", "keep the directory with settings, documents and logs")
	flaggy.Parse()
	if err := run(binaries, keep); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// run runs the demo; the files of the processes are removed at the end unless keep is set.
func run(binaries string, keep bool) error {
	directory, err := os.MkdirTemp("", "masticspar-demo-")
	if err != nil {
		return errors.Trace(err)
	}
	s := &site{
		binaries: binaries, directory: directory, started: time.Now(), plan: demoPlan, feedLines: 16,
		log: func(line string) { fmt.Println(line) },
	}
	defer func() {
		s.killAll()
		if keep {
			fmt.Println("logs:", directory)
			return
		}
		_ = os.RemoveAll(directory)
	}()
	if err := s.start(); err != nil {
		return err
	}
	if err := s.runSteps(); err != nil {
		return err
	}
	return s.checkResults()
}
