package main

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"gopkg.in/tomb.v2"
)

// mode is what a proxy does with connections.
type mode int

const (
	modeRelay        mode = iota
	modeBlackhole         // takes bytes and passes nothing on
	modeRequestsOnly      // passes only requests on
	modeDelay             // passes everything on late
	modeRefuse            // closes at once
)

// relayDelay is the delay of each piece in the mode slow.
const relayDelay = 250 * time.Millisecond

// proxy relays TCP connections to a target and can be told to misbehave.
type proxy struct {
	target   string
	listener net.Listener
	tb       tomb.Tomb
	mu       sync.Mutex
	mode     mode
	open     map[net.Conn]bool
}

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

// set puts a mode in force. Open connections are reset by refuse and keep going otherwise.
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
			_, _ = io.Copy(io.Discard, from) // A connection that went silent stays silent.
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
