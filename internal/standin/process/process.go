package process

import (
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jsternberg/zap-logfmt"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gopkg.in/tomb.v2"
)

// Process is a running stand-in program.
type Process struct {
	// Log writes one line of key=value pairs per event to standard error.
	Log *zap.Logger

	signals chan os.Signal
}

// New returns a process that logs with the given program name and catches SIGINT and SIGTERM.
func New(name string) *Process {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	log := zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(c), zapcore.Lock(os.Stderr), zapcore.InfoLevel))
	p := &Process{Log: log.With(zap.String("program", name)), signals: make(chan os.Signal, 1)}
	signal.Notify(p.signals, os.Interrupt, syscall.SIGTERM)
	return p
}

// Serve starts the HTTP control server on address, unless it is empty, and returns the function that stops it.
func (p *Process) Serve(address string, handler http.Handler) (func(), error) {
	if address == "" {
		return func() {}, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listening on the control address")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	var tb tomb.Tomb
	tb.Go(func() error { return server.Serve(l) })
	p.Log.Info("control", zap.String("address", l.Addr().String()))
	return func() {
		_ = server.Close()
		_ = tb.Wait()
	}, nil
}

// Wait returns when the process receives SIGINT or SIGTERM, or when done returns true. A nil done is ignored.
func (p *Process) Wait(done func() bool) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case s := <-p.signals:
			p.Log.Info("stopping", zap.String("signal", s.String()))
			return
		case <-ticker.C:
			if done != nil && done() {
				return
			}
		}
	}
}

// Exit ends the process, with status 0 if err is nil. Otherwise it logs the error and the status is 1.
func (p *Process) Exit(err error) {
	if err != nil {
		p.Log.Error("failed", zap.Error(err))
		os.Exit(1)
	}
	os.Exit(0)
}

// AddrPorts parses a list of addresses with ports.
func (p *Process) AddrPorts(list []string) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, len(list))
	for _, s := range list {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, errors.Trace(err)
		}
		addresses = append(addresses, a)
	}
	return addresses, nil
}
