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

// process is a started program. Its standard output and its log are files in the directory of the site.
type process struct {
	name   string
	cmd    *exec.Cmd
	done   chan struct{} // closed when the process has exited
	output string        // path of the file with the standard output
	err    error         // result of the process; valid once done is closed
}

// launch starts a program with the given name for its files.
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

// wait waits until the process has exited. It returns an error when the exit code is not 0 or the timeout expires.
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

// killAll kills the processes that still run, the last started first, and waits until they have exited.
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

// requestJSON sends an HTTP request with v as its JSON body, if v is not nil, and decodes the JSON response into
// result, if result is not nil. It returns an error when the status is not 2xx.
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

// pollTimeout limits the wait for a condition. It is much longer than needed on an idle machine, because test machines
// are loaded.
const pollTimeout = 20 * time.Second

// waitUntil polls a condition until it holds. After the timeout it returns an error with the description what.
func waitUntil(what string, timeout time.Duration, condition func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errors.Timeoutf("%s", what)
}

// logf writes a line with the seconds since the start of the site.
func (s *site) logf(format string, args ...any) {
	s.log(fmt.Sprintf("%5.1fs  %s", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...)))
}
