package main

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/standin/fabric"
	"github.com/masticspar/masticspar/internal/standin/process"
	"github.com/masticspar/masticspar/internal/timer"
)

const tickInterval = 5 * time.Millisecond // resolution of the timers

func main() {
	p := process.New("standin-fabric")
	p.Exit(run(p))
}

func run(p *process.Process) error {
	address, hosts, control := "127.0.0.1:6081", "127.1.0.0/16", "127.0.0.1:7001"
	var entries []string
	var faults fabric.Faults
	seed := uint64(1)
	flaggy.SetName("standin-fabric")
	flaggy.SetDescription("Sends encapsulated packets to random entry VMs and back to the callers.")
	flaggy.String(&address, "a", "address", "fabric address that callers, hosts and entry VMs send to")
	flaggy.String(&hosts, "H", "hosts", "prefix that holds the addresses of all backend hosts and nothing else")
	flaggy.String(&control, "c", "control", "HTTP control address; empty for none")
	flaggy.StringSlice(&entries, "e", "entry", "fabric address of an entry VM; can be repeated")
	flaggy.Float64(&faults.Loss, "l", "loss", "share of datagrams that are lost")
	flaggy.Float64(&faults.Duplication, "d", "duplication", "share of datagrams that are sent twice")
	flaggy.Duration(&faults.Delay, "y", "delay", "delay of each datagram")
	flaggy.Duration(&faults.Jitter, "j", "jitter", "maximum random addition to the delay")
	flaggy.UInt64(&seed, "s", "seed", "seed of all random choices")
	flaggy.Parse()

	f := &fabric.Fabric{Random: rand.New(rand.NewPCG(seed, 0)), Counters: counter.New()}
	var err error
	if f.Address, err = netip.ParseAddrPort(address); err != nil {
		return errors.Trace(err)
	}
	if f.Hosts, err = netip.ParsePrefix(hosts); err != nil {
		return errors.Trace(err)
	}
	list, err := p.AddrPorts(entries)
	if err != nil {
		return errors.Trace(err)
	}
	f.SetEntries(list)
	f.SetFaults(faults)
	var stopTimer func()
	f.Timer, stopTimer = timer.New(tickInterval)
	defer stopTimer()
	stop, err := f.Start()
	if err != nil {
		return errors.Trace(err)
	}
	defer stop()
	stopControl, err := p.Serve(control, f.Handler())
	if err != nil {
		return errors.Trace(err)
	}
	defer stopControl()
	p.Log.Info("started", zap.Stringer("address", f.Addr()), zap.Int("entries", len(list)))
	p.Wait(nil)
	return nil
}
