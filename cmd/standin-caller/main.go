package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/standin/caller"
	"github.com/masticspar/masticspar/internal/standin/process"
	"github.com/masticspar/masticspar/internal/timer"
)

const tickInterval = 5 * time.Millisecond // resolution of the timers

func main() {
	p := process.New("standin-caller")
	p.Exit(run(p))
}

func run(p *process.Process) error {
	plan := caller.Plan{
		Addresses: 250, Rate: 100, Total: 1000, Bytes: 2000, Exchanges: 1, ExchangeInterval: time.Second,
		FeedCount: 20, FeedInterval: time.Second, Timeout: time.Minute, Token: "caller",
	}
	address, fabric, control := "127.0.0.1:0", "127.0.0.1:6081", ""
	source4, source6 := "10.0.0.1", "fd00::1"
	var services []string
	seed := uint64(1)
	flaggy.SetName("standin-caller")
	flaggy.SetDescription("Opens flows, checks every byte of the responses and prints a JSON report.")
	flaggy.String(&address, "a", "address", "local fabric address")
	flaggy.String(&fabric, "f", "fabric", "fabric address that packets are sent to")
	flaggy.String(&control, "c", "control", "HTTP address of GET /report; empty for none")
	flaggy.StringSlice(&services, "S", "service", "service address and port; can be repeated")
	flaggy.String(&source4, "4", "source4", "first inner IPv4 address")
	flaggy.String(&source6, "6", "source6", "first inner IPv6 address")
	flaggy.Int(&plan.Addresses, "n", "addresses", "number of inner addresses of each family")
	flaggy.Float64(&plan.Rate, "r", "rate", "new flows per second")
	flaggy.Int(&plan.Total, "t", "total", "number of flows; 0 until a signal")
	flaggy.Float64(&plan.FeedShare, "F", "feed-share", "share of flows that are feeds")
	flaggy.Float64(&plan.UDPShare, "U", "udp-share", "share of flows over UDP")
	flaggy.Int(&plan.Bytes, "b", "bytes", "size of each response")
	flaggy.Int(&plan.FeedCount, "C", "feed-count", "lines of a feed")
	flaggy.Duration(&plan.FeedInterval, "i", "feed-interval", "time between the lines of a feed")
	flaggy.Int(&plan.Exchanges, "x", "exchanges", "requests on each flow that is not a feed")
	flaggy.Duration(&plan.ExchangeInterval, "X", "exchange-interval", "time from a response to the next request")
	flaggy.Duration(&plan.Timeout, "T", "timeout", "time without progress after which a flow is broken")
	flaggy.String(&plan.Token, "k", "token", "prefix of the request tokens; different for each process")
	flaggy.UInt64(&seed, "s", "seed", "seed of all random choices")
	flaggy.Parse()

	c := &caller.Client{Caller: caller.Caller{Plan: plan, Random: rand.New(rand.NewPCG(seed, 0))}}
	var err error
	if c.Address, err = netip.ParseAddrPort(address); err != nil {
		return errors.Trace(err)
	}
	if c.Fabric, err = netip.ParseAddrPort(fabric); err != nil {
		return errors.Trace(err)
	}
	if c.Caller.Plan.Source4, err = netip.ParseAddr(source4); err != nil {
		return errors.Trace(err)
	}
	if c.Caller.Plan.Source6, err = netip.ParseAddr(source6); err != nil {
		return errors.Trace(err)
	}
	if c.Caller.Plan.Services, err = p.AddrPorts(services); err != nil {
		return errors.Trace(err)
	}
	if len(services) == 0 {
		return errors.NotValidf("empty list of services (--service)")
	}
	var stopTimer func()
	c.Timer, stopTimer = timer.New(tickInterval)
	defer stopTimer()
	stop, err := c.Start()
	if err != nil {
		return errors.Trace(err)
	}
	defer stop()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(c.Report()) // An error means that the client has closed the connection.
	})
	stopControl, err := p.Serve(control, mux)
	if err != nil {
		return errors.Trace(err)
	}
	defer stopControl()
	p.Log.Info("started", zap.Int("total", plan.Total), zap.Float64("rate", plan.Rate))
	p.Wait(c.Done)
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false) // Flow keys contain ">".
	return errors.Trace(e.Encode(c.Report()))
}
