package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
)

// proxy relays TCP connections to the store and can silence the open ones for good.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	conns map[*pair]bool
}

// pair is a relayed connection.
type pair struct {
	client, target net.Conn
	mu             sync.Mutex
	silent         bool
}

func newProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, conns: map[*pair]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

func (p *proxy) serve(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	v := &pair{client: c, target: t}
	p.mu.Lock()
	p.conns[v] = true
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { v.relay(t, c) })
	wait.Go(func() { v.relay(c, t) })
	wait.Wait()
	p.mu.Lock()
	delete(p.conns, v)
	p.mu.Unlock()
}

// relay copies bytes in one direction. Those of a silent connection are lost, and so is its end.
func (v *pair) relay(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		v.mu.Lock()
		silent := v.silent
		v.mu.Unlock()
		if silent {
			if err == nil {
				_, _ = io.Copy(io.Discard, from)
			}
			_ = from.Close()
			return
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// silence makes the open connections silent; new ones work. It returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for v := range p.conns {
		v.mu.Lock()
		v.silent = true
		v.mu.Unlock()
		n++
	}
	return n
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for v := range p.conns {
		_ = v.client.Close()
		_ = v.target.Close()
	}
}
