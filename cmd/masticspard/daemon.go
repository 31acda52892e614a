package main

import (
	"io"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/cleanup"
	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/entry"
	"github.com/masticspar/masticspar/internal/fabric"
	"github.com/masticspar/masticspar/internal/fleet"
	"github.com/masticspar/masticspar/internal/member"
	"github.com/masticspar/masticspar/internal/operator"
	"github.com/masticspar/masticspar/internal/peer"
	"github.com/masticspar/masticspar/internal/publication"
	"github.com/masticspar/masticspar/internal/settings"
	"github.com/masticspar/masticspar/internal/timer"
)

// drainLinger is the minimum time for which a draining daemon forwards packets. The fabric detects the drain by
// readiness checks and continues to send packets until then.
const drainLinger = 3 * time.Second

// daemon runs an entry.Engine (owner mode) with sockets and the timer service. The mutex serializes all calls of the
// engine.
type daemon struct {
	settings  *settings.Settings
	log       *zap.Logger
	counters  *counter.Set
	timer     *timer.Service
	draining  chan struct{} // closed when the drain starts
	drainOnce sync.Once

	mu     sync.Mutex
	engine entry.Engine
	fabric *fabric.Socket // packets of callers and hosts
	data   *fabric.Socket // packets of other entry VMs
	link   *peer.Link
}

// newDaemon starts a daemon and returns a function that stops its components in reverse order.
func newDaemon(s *settings.Settings, log *zap.Logger) (*daemon, func(), error) {
	d := &daemon{settings: s, log: log, counters: counter.New(), draining: make(chan struct{})}
	stop, err := cleanup.Start(d.startTimer, d.startLink, d.startSockets, d.startEngine, d.startPlatform, d.startOperator)
	if err != nil {
		return nil, nil, err
	}
	log.Info("started", zap.Stringer("fabric-address", s.FabricAddress), zap.Stringer("control-address", s.ControlAddress),
		zap.String("availability-zone", s.AvailabilityZone))
	return d, stop, nil
}

func (d *daemon) startTimer() (func(), error) {
	var stop func()
	d.timer, stop = timer.New(entry.TickPeriod / 2)
	return stop, nil
}

func (d *daemon) startSockets() (func(), error) {
	// The handlers can run before the sockets are assigned; the lock makes them wait.
	d.mu.Lock()
	defer d.mu.Unlock()
	fabricSocket, stopFabric, err := fabric.New(d.settings.FabricAddress, d.counters, d.handler(false))
	if err != nil {
		return nil, errors.Annotate(err, "fabric-address")
	}
	data, stopData, err := fabric.New(d.settings.DataAddress, d.counters, d.handler(true))
	if err != nil {
		stopFabric()
		return nil, errors.Annotate(err, "data-address")
	}
	d.fabric, d.data = fabricSocket, data
	return func() {
		stopData()
		stopFabric()
	}, nil
}

// handler returns the function that handles batches of one socket. fromPeer reports whether the socket receives from
// other entry VMs.
func (d *daemon) handler(fromPeer bool) func([]fabric.Datagram) {
	return func(batch []fabric.Datagram) {
		now := d.lockEngine()
		defer d.mu.Unlock()
		if d.engine.Send == nil {
			return // The engine has not been started yet.
		}
		for i := range batch {
			d.engine.QueueDatagram(now, batch[i].Source, fromPeer, batch[i].Bytes)
		}
		d.engine.HandleQueued(now)
		d.flush()
	}
}

// lockEngine locks the engine and returns the current time. It tries again when the process was paused between the
// check for pauses and the lock, because the engine would otherwise decide with outdated state.
func (d *daemon) lockEngine() time.Duration {
	for {
		before := d.timer.Now()
		d.timer.Check()
		d.mu.Lock()
		now := d.timer.Now()
		if now-before <= timer.DefaultPauseThreshold {
			return now
		}
		d.mu.Unlock()
	}
}

func (d *daemon) flush() {
	d.fabric.Flush()
	d.data.Flush()
}

func (d *daemon) startEngine() (func(), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, e := d.settings, &d.engine
	started := time.Now()
	e.Self = member.Member{
		Name: s.Name, Zone: s.AvailabilityZone, Region: s.Region, Size: uint32(s.Size * entry.SizeUnit),
		Control: s.ControlAddress, Data: s.DataAddress, Incarnation: uint64(started.UnixMilli()),
	}
	e.Epoch = started.Add(-d.timer.Now())
	e.Seed = uint64(started.UnixNano())
	e.Contacts, e.MTU, e.FlowCapacity = s.Contacts, s.MTU, s.FlowCapacity
	e.ToFabric = func(b []byte, hash uint64) {
		d.fabric.Send(s.Fabric[hash%uint64(len(s.Fabric))], b, hash, d.timer.Now())
	}
	e.ToHost = func(to netip.AddrPort, b []byte, hash uint64) { d.fabric.Send(to, b, hash, d.timer.Now()) }
	e.ToPeer = func(to netip.AddrPort, b []byte, hash uint64) { d.data.Send(to, b, hash, d.timer.Now()) }
	e.Send = d.send
	e.Counters, e.Logger = d.counters, d.log
	e.Start(d.timer.Now())
	cancelPause := d.timer.OnPause(func(now, gap time.Duration) {
		d.mu.Lock()
		defer d.mu.Unlock()
		e.HandlePause(now, gap)
	})
	cancelTick := d.timer.Subscribe(entry.TickPeriod, func(now time.Duration) {
		d.mu.Lock()
		defer d.mu.Unlock()
		e.Tick(now)
		d.flush()
	})
	return func() {
		cancelTick()
		cancelPause()
	}, nil
}

func (d *daemon) startPlatform() (func(), error) {
	_, stop, err := publication.New(publication.Config{
		URL:  d.settings.Platform,
		Seed: uint64(time.Now().UnixNano()),
		Version: func(kind fleet.Kind) uint64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.engine.Version(kind)
		},
		HandleDocument: func(kind fleet.Kind, b []byte) bool {
			c := fleet.Prepare(kind, "platform", b)
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.engine.HandleDocument(d.timer.Now(), c)
		},
		Behind:    d.reportBehind,
		HandleVMs: d.setPlatformVMs,
		Counters:  d.counters,
	})
	return stop, errors.Annotate(err, "platform")
}

// reportBehind logs that the platform was restored from a copy and that what it publishes cannot become active.
func (d *daemon) reportBehind(kind fleet.Kind, published, active uint64) {
	d.counters.Add("publication-behind-"+kind.String(), 1)
	d.log.Warn("publication-behind", zap.Stringer("document", kind), zap.Uint64("published", published),
		zap.Uint64("active", active))
}

// setPlatformVMs passes the control addresses that the platform lists to the engine. Invalid addresses are skipped.
func (d *daemon) setPlatformVMs(list []publication.VM) {
	addresses := make([]netip.AddrPort, 0, len(list))
	for _, vm := range list {
		if a, err := netip.ParseAddrPort(vm.ControlAddress); err == nil {
			addresses = append(addresses, a)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine.SetPlatformAddresses(addresses)
}

func (d *daemon) startOperator() (func(), error) {
	server := &operator.Server{
		Status: func() operator.Status {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.engine.Status(d.timer.Now())
		},
		Flow: func(protocol string, source, destination netip.AddrPort) (operator.Flow, error) {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.engine.Flow(d.timer.Now(), protocol, source, destination)
		},
		Drain: d.drain,
		Metrics: func(w io.Writer) error {
			d.mu.Lock()
			d.counters.SetGauge("open-flows", int64(d.engine.OpenFlows()))
			d.mu.Unlock()
			return d.counters.WriteText(w)
		},
		Ready: func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.engine.Ready()
		},
	}
	return server.Listen(d.settings.OperatorAddress)
}

// drain starts the graceful shutdown. It returns the number of open flows and the drain timeout, also when the drain
// has already started.
func (d *daemon) drain() operator.Drain {
	d.mu.Lock()
	d.engine.Drain(d.timer.Now())
	open := d.engine.OpenFlows()
	d.mu.Unlock()
	d.drainOnce.Do(func() { close(d.draining) })
	return operator.Drain{
		Name: d.settings.Name, OpenFlows: open,
		TimeoutSeconds: time.Duration(d.settings.DrainTimeout).Seconds(),
	}
}

// waitDrained returns when the pins have been handed over and drainLinger has passed, or after the drain timeout. It
// returns an error when a second signal arrives; signalled reports whether the first one started the drain.
func (d *daemon) waitDrained(signals <-chan os.Signal, signalled bool) error {
	started := d.timer.Now()
	done := make(chan bool, 1)
	cancel := d.timer.Subscribe(entry.TickPeriod, func(now time.Duration) {
		d.mu.Lock()
		drained := d.engine.Drained()
		d.mu.Unlock()
		timeout := now-started >= time.Duration(d.settings.DrainTimeout)
		if drained && now-started >= drainLinger || timeout {
			select {
			case done <- drained:
			default:
			}
		}
	})
	defer cancel()
	for {
		select {
		case complete := <-done:
			d.log.Info("drained", zap.Bool("complete", complete))
			return nil
		case v := <-signals:
			d.log.Info("signal-received", zap.Stringer("signal", v))
			if signalled {
				return errors.Errorf("received signal %s during the drain", v)
			}
			signalled = true
		}
	}
}
