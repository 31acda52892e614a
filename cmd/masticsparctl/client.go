package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/masticspar/masticspar/internal/operator"
)

// Error types that select the exit code. errUnreachable also marks responses that cannot be used. errUnreadable marks
// the input of check --configuration.
const (
	errUsage       = errors.ConstError("usage")
	errUnreadable  = errors.ConstError("unreadable")
	errRefused     = errors.ConstError("refused")
	errUnreachable = errors.ConstError("unreachable")
)

// maxResponseBytes bounds a response. The status of 5,700 hosts with all fields takes about 2 MB.
const maxResponseBytes = 8 << 20

// client queries an entry VM at its operator address.
type client struct {
	address string
	timeout time.Duration
}

// do sends a request without a body and decodes the JSON response into v. Each error is an errUsage, errRefused or
// errUnreachable.
func (c *client) do(method, path string, v any) error {
	if _, err := netip.ParseAddrPort(c.address); err != nil {
		return errors.WithType(errors.Errorf("--operator must be an \"ip:port\", got %q", c.address), errUsage)
	}
	if c.timeout <= 0 {
		return errors.WithType(errors.Errorf("--timeout must be above 0, got %v", c.timeout), errUsage)
	}
	request, err := http.NewRequest(method, "http://"+c.address+path, http.NoBody)
	if err != nil {
		return errors.WithType(err, errUsage)
	}
	// The transport ignores the proxy settings of the environment, because proxies cannot reach operator addresses.
	h := http.Client{Timeout: c.timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := h.Do(request)
	if err != nil {
		return errors.WithType(err, errUnreachable)
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.WithType(err, errUnreachable)
	}
	if code := response.StatusCode; code != http.StatusOK {
		reason := errUnreachable
		if code >= 400 && code < 500 {
			reason = errRefused
		}
		text, _, _ := strings.Cut(string(b), "\n")
		return errors.WithType(errors.Errorf("%s: status %d: %.200s", c.address, code, text), reason)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return errors.WithType(errors.Annotatef(err, "decode response of %s", c.address), errUnreachable)
	}
	return nil
}

func (c *client) status() (*operator.Status, error) {
	s := &operator.Status{}
	return s, c.do(http.MethodGet, "/status", s)
}

func (c *client) flow(protocol, source, destination string) (*operator.Flow, error) {
	if protocol != "tcp" && protocol != "udp" {
		return nil, errors.WithType(errors.Errorf("--protocol must be tcp or udp, got %q", protocol), errUsage)
	}
	for _, f := range []struct{ name, address string }{{"source", source}, {"destination", destination}} {
		if _, err := netip.ParseAddrPort(f.address); err != nil {
			return nil, errors.WithType(errors.Errorf("--%s must be an \"ip:port\", got %q", f.name, f.address), errUsage)
		}
	}
	v := &operator.Flow{}
	query := url.Values{"protocol": {protocol}, "source": {source}, "destination": {destination}}
	return v, c.do(http.MethodGet, "/flow?"+query.Encode(), v)
}

func (c *client) drain() (*operator.Drain, error) {
	d := &operator.Drain{}
	return d, c.do(http.MethodPost, "/drain", d)
}

// fail writes the error to standard error and returns its exit code.
func (c *command) fail(err error) int {
	_, _ = fmt.Fprintln(c.stderr, "masticsparctl:", err)
	switch {
	case errors.Is(err, errUsage), errors.Is(err, errUnreadable):
		return exitUsage
	case errors.Is(err, errUnreachable):
		return exitUnreachable
	}
	return exitInvalid
}

// write writes v as JSON with --json and calls writeTable otherwise. It returns the exit code.
func (c *command) write(v any, writeTable func(w io.Writer)) int {
	if !c.json {
		writeTable(c.stdout)
		return exitOK
	}
	e := json.NewEncoder(c.stdout)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return c.fail(err)
	}
	return exitOK
}
