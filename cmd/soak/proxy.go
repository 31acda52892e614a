package main

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"
)

// mode is how a proxy handles connections.
type mode int

const (
	modeRelay        mode = iota
	modeBlackhole         // reads and forwards nothing
	modeRequestsOnly      // forwards requests and drops replies
	modeDelay             // forwards everything after relayDelay
	modeRefuse            // resets open connections and closes new ones
)

// relayDelay is the delay of each read in the mode modeDelay.
const relayDelay = 250 * time.Millisecond

// proxy relays TCP connections to a target and injects the fault that its mode selects.
type proxy struct {
	target   string
	listener net.Listener
	tb       tomb.Tomb
	mu       sync.Mutex
	mode     mode
	open     map[net.Conn]bool
}

// newProxy starts a proxy in the mode modeRelay and returns the function that stops it.
func newProxy(address, target string) (*proxy, func(), error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	p := &proxy{target: target, listener: l, open: map[net.Conn]bool{}}
	p.tb.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			p.tb.Go(func() error {
				p.serve(c)
				return nil
			})
		}
	})
	return p, func() {
		p.tb.Kill(nil)
		_ = l.Close()
		p.set(modeRefuse)
		_ = p.tb.Wait()
	}, nil
}

// set changes the mode. modeRefuse resets the open connections; the other modes keep them open.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != modeRefuse {
		return
	}
	for c := range p.open {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) serve(c net.Conn) {
	defer p.closeConn(c)
	if p.currentMode() == modeRefuse {
		return
	}
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer p.closeConn(t)
	p.mu.Lock()
	p.open[c], p.open[t] = true, true
	p.mu.Unlock()
	done := make(chan struct{})
	go func() {
		p.copy(t, c, true)
		close(done)
	}()
	p.copy(c, t, false)
	p.closeConn(c)
	<-done
}

// copy forwards bytes in one direction until a connection ends; request is true for the direction to the target.
func (p *proxy) copy(to, from net.Conn, request bool) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			_ = to.Close()
			return
		}
		switch m := p.currentMode(); {
		case m == modeBlackhole || m == modeRequestsOnly && !request:
			_, _ = io.Copy(io.Discard, from) // A blackholed connection does not recover when the mode changes.
			return
		case m == modeDelay:
			time.Sleep(relayDelay)
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) closeConn(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}
