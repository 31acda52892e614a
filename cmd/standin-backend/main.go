package main

import (
	"net/netip"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/standin/backend"
	"github.com/masticspar/masticspar/internal/standin/process"
	"github.com/masticspar/masticspar/internal/timer"
)

const tickInterval = 5 * time.Millisecond // resolution of the timers

func main() {
	p := process.New("standin-backend")
	p.Exit(run(p))
}

func run(p *process.Process) error {
	s := &backend.Server{
		Name: "host", Count: 1, Slots: 2, MaxConnections: 2000, ServiceTime: 10 * time.Millisecond, Seed: 1,
	}
	address, fabric, control := "127.1.0.1:6081", "127.0.0.1:6081", "127.0.0.1:7002"
	var services []string
	mode := ""
	factor := 1.0
	warmUp := 2 * time.Minute
	flaggy.SetName("standin-backend")
	flaggy.SetDescription("Runs the hosts of a service on consecutive loopback addresses.")
	flaggy.String(&s.Name, "n", "name", "prefix of the host names, which end in -0, -1 and so on")
	flaggy.Int(&s.Count, "N", "count", "number of hosts")
	flaggy.String(&address, "a", "address", "fabric address of the first host; the next ones follow")
	flaggy.String(&fabric, "f", "fabric", "fabric address that replies are sent to")
	flaggy.String(&control, "c", "control", "HTTP control address; empty for none")
	flaggy.StringSlice(&services, "S", "service", "service address and port; can be repeated")
	flaggy.Int(&s.Slots, "p", "slots", "requests that a host executes at once")
	flaggy.Int(&s.MaxConnections, "m", "max-connections", "open connections above which a host refuses new ones")
	flaggy.Duration(&s.ServiceTime, "t", "service-time", "mean time of a request at speed 1")
	flaggy.Float64Slice(&s.Speeds, "v", "speed", "speed of the hosts, in turn; can be repeated")
	flaggy.String(&mode, "M", "mode", "first mode of all hosts: slow, silent, refuse, abort, cold or dead")
	flaggy.Float64(&factor, "F", "factor", "factor of the mode slow")
	flaggy.Duration(&warmUp, "w", "warm-up", "duration of the mode cold")
	flaggy.UInt64(&s.Seed, "s", "seed", "seed of service times and sequence numbers")
	flaggy.Parse()

	var err error
	if s.Address, err = netip.ParseAddrPort(address); err != nil {
		return errors.Trace(err)
	}
	if s.Fabric, err = netip.ParseAddrPort(fabric); err != nil {
		return errors.Trace(err)
	}
	if s.Services, err = p.AddrPorts(services); err != nil {
		return errors.Trace(err)
	}
	var stopTimer func()
	s.Timer, stopTimer = timer.New(tickInterval)
	defer stopTimer()
	stop, err := s.Start()
	if err != nil {
		return errors.Trace(err)
	}
	defer stop()
	if mode != "" {
		s.SetMode("", backend.Mode{Kind: backend.Kind(mode), Factor: factor, WarmUp: warmUp})
	}
	stopControl, err := p.Serve(control, s.Handler())
	if err != nil {
		return errors.Trace(err)
	}
	defer stopControl()
	p.Log.Info("started", zap.String("first", address), zap.Int("hosts", s.Count))
	p.Wait(nil)
	return nil
}
