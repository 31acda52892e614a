package main

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/cleanup"
	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/direct"
	directsettings "github.com/masticspar/masticspar/internal/direct/settings"
	"github.com/masticspar/masticspar/internal/fabric"
	"github.com/masticspar/masticspar/internal/hold"
	"github.com/masticspar/masticspar/internal/placement"
	"github.com/masticspar/masticspar/internal/replica"
	"github.com/masticspar/masticspar/internal/signal"
	"github.com/masticspar/masticspar/internal/timer"
	"github.com/masticspar/masticspar/platform/datagram"
)

// wakeTime is how long SYNs are dropped after a pause: they waited while the process stood still, and callers may
// have opened the flow elsewhere.
const wakeTime = 100 * time.Millisecond

// directDaemon drives a direct.Engine with sockets and the timer service.
type directDaemon struct {
	settings *directsettings.Settings
	log      *zap.Logger
	counters *counter.Set
	timer    *timer.Service
	codec    datagram.Codec
	stopping atomic.Bool
	packetAt atomic.Int64 // time of the last packet

	mu      sync.Mutex
	engine  direct.Engine
	socket  *fabric.Socket
	peers   *peers // nil when it works alone
	replica *replica.Replica
	held    hold.Queue
	out     []byte
	awake   time.Duration // end of the time after a pause in which SYNs are dropped

	stopTimeout time.Duration
	events      [signal.Repeated + 1]metrics.Counter // by kind
	contact     time.Duration                        // last answer of the store or announcement
}

// eventCounters are the counters of what packets tell about servers.
var eventCounters = [signal.Repeated + 1]string{
	0: "flow-events-unknown", signal.Opened: "flows-opened", signal.Accepted: "flows-accepted",
	signal.Refused: "flows-refused-by-server", signal.Unanswered: "flows-unanswered", signal.Requested: "requests-sent",
	signal.Answered: "requests-answered", signal.Abandoned: "requests-abandoned", signal.Closed: "flows-closed",
	signal.Joined: "flows-joined", signal.Repeated: "requests-repeated",
}

// newDirectDaemon starts everything and returns the function that stops it in the reverse order.
func newDirectDaemon(s *directsettings.Settings, log *zap.Logger) (*directDaemon, func(), error) {
	d := &directDaemon{
		settings: s, log: log, counters: counter.New(), codec: datagram.Codec{CallerPort: uint16(s.CallerPort)},
	}
	d.configureEngine()
	stop, err := cleanup.Start(d.startTimer, d.startSocket, d.startPeers, d.startStore, d.startOperator)
	if err != nil {
		return nil, nil, err
	}
	log.Info("started", zap.Stringer("data-address", s.DataAddress), zap.Stringer("store", s.Store),
		zap.Stringer("metrics-address", s.MetricsAddress), zap.String("availability-zone", s.AvailabilityZone),
		zap.String("placement", s.Placement))
	return d, stop, nil
}

func (d *directDaemon) configureEngine() {
	e := &d.engine
	e.Placement = placement.Model{
		AvailabilityZone: d.settings.AvailabilityZone, Hash: d.settings.Placement == directsettings.PlacementHash,
		Silent: d.logSilent,
	}
	e.Register.Changed = d.logHost
	e.Register.Retention = time.Duration(d.settings.FlowLifetime) + time.Duration(d.settings.SettleTime)
	e.Start()
	observe := e.Flows.Observe
	e.Flows.Observe = func(now time.Duration, ev signal.Event) {
		switch {
		case ev.Kind == signal.Accepted:
			d.counters.Observe("handshake", ev.Elapsed)
		case ev.Kind == signal.Answered && ev.Elapsed > 0:
			d.counters.Observe("first-answer", ev.Elapsed)
		}
		d.events[ev.Kind].Inc(1)
		observe(now, ev)
	}
	for kind, name := range eventCounters {
		d.events[kind] = d.counters.Counter(name)
	}
	d.stopTimeout = time.Duration(d.settings.StopTimeout)
}

func (d *directDaemon) startTimer() (func(), error) {
	var stop func()
	d.timer, stop = timer.New(direct.TickPeriod)
	cancelPause := d.timer.OnPause(func(now, gap time.Duration) {
		d.log.Warn("paused", zap.Duration("gap", gap))
		d.counters.Add("pauses", 1)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.awake = now + wakeTime
	})
	cancelTick := d.timer.Subscribe(direct.TickPeriod, func(now time.Duration) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.engine.Tick(now)
		d.expire(now)
	})
	return func() {
		cancelTick()
		cancelPause()
		stop()
	}, nil
}

func (d *directDaemon) startSocket() (func(), error) {
	// The handler can run before the socket is stored, and waits for this lock.
	d.mu.Lock()
	defer d.mu.Unlock()
	socket, stop, err := fabric.New(d.settings.DataAddress, d.counters, d.packets)
	if err != nil {
		return nil, errors.Annotate(err, "data-address")
	}
	d.socket = socket
	return stop, nil
}
