package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// process is a started program with its output in files.
type process struct {
	name   string
	cmd    *exec.Cmd
	done   chan struct{}
	output string
	err    error
}

func (s *site) launch(name, program string, args ...string) (*process, error) {
	p := &process{name: name, done: make(chan struct{}), output: filepath.Join(s.directory, name+".out")}
	out, err := os.Create(p.output)
	if err != nil {
		return nil, errors.Trace(err)
	}
	log, err := os.Create(filepath.Join(s.directory, name+".log"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.cmd = exec.Command(filepath.Join(s.binaries, program), args...)
	p.cmd.Stdout, p.cmd.Stderr = out, log
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Annotate(err, name)
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = out.Close()
		_ = log.Close()
		close(p.done)
	}()
	s.processes = append(s.processes, p)
	return p, nil
}

// wait returns the error with which the process ended, or an error after the timeout.
func (p *process) wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return errors.Annotate(p.err, p.name)
	case <-time.After(timeout):
		return errors.Timeoutf("%s", p.name)
	}
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// killAll ends what still runs.
func (s *site) killAll() {
	for i := len(s.processes) - 1; i >= 0; i-- {
		p := s.processes[i]
		if p.running() {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			<-p.done
		}
	}
}

var client = http.Client{Timeout: 2 * time.Second}

// requestJSON sends v as JSON, if it is not nil, and decodes the response into result, if that is not nil.
func requestJSON(method, url string, v, result any) error {
	var body io.Reader = http.NoBody
	if v != nil {
		b, err := json.Marshal(v)
		if err != nil {
			return errors.Trace(err)
		}
		body = bytes.NewReader(b)
	}
	request, err := http.NewRequest(method, url, body)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: status %d", method, url, response.StatusCode)
	}
	if result == nil {
		return nil
	}
	return errors.Trace(json.NewDecoder(response.Body).Decode(result))
}

// pollTimeout is how long a condition is waited for; it is generous, because test machines are noisy.
const pollTimeout = 20 * time.Second

// waitUntil polls a condition.
func waitUntil(what string, timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errors.Timeoutf("%s", what)
}

func (s *site) logf(format string, args ...any) {
	s.log(fmt.Sprintf("%5.1fs  %s", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...)))
}
