package main

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/backlog"
	"github.com/masticspar/masticspar/internal/cleanup"
	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/dsr"
	dsrsettings "github.com/masticspar/masticspar/internal/dsr/settings"
	"github.com/masticspar/masticspar/internal/fabric"
	"github.com/masticspar/masticspar/internal/flowevent"
	"github.com/masticspar/masticspar/internal/placement"
	"github.com/masticspar/masticspar/internal/replica"
	"github.com/masticspar/masticspar/internal/timer"
	"github.com/masticspar/masticspar/platform/datagram"
)

// resumeDelay is how long SYNs are dropped after a pause. SYNs that were queued during the pause are outdated, because
// callers may have opened the flow elsewhere in the meantime.
const resumeDelay = 100 * time.Millisecond

// dsrDaemon runs a dsr.Engine (token mode) with sockets and the timer service.
type dsrDaemon struct {
	settings     *dsrsettings.Settings
	log          *zap.Logger
	counters     *counter.Set
	timer        *timer.Service
	codec        datagram.Codec
	stopping     atomic.Bool  // set when the drain starts
	lastPacketAt atomic.Int64 // clock value in nanoseconds, see timer.Service.Now

	mu       sync.Mutex
	engine   dsr.Engine
	socket   *fabric.Socket
	peers    *peers // nil without a peer address
	replica  *replica.Replica
	held     backlog.Queue // packets that are retried after an update of the registry
	out      []byte        // packet that is being sent; the buffer is reused
	resumeAt time.Duration // SYNs are dropped before this time
	openings openings

	stopTimeout time.Duration
	eventCounts [flowevent.Retried + 1]metrics.Counter // by kind
}

// eventCounterNames are the names of the counters of flow events, by kind.
var eventCounterNames = [flowevent.Retried + 1]string{
	0: "flow-events-unknown", flowevent.Opened: "flows-opened", flowevent.Accepted: "flows-accepted",
	flowevent.Refused: "flows-refused-by-server", flowevent.Unanswered: "flows-unanswered",
	flowevent.Requested: "requests-sent", flowevent.Answered: "requests-answered",
	flowevent.Abandoned: "requests-abandoned", flowevent.Closed: "flows-closed", flowevent.Joined: "flows-joined",
	flowevent.Repeated: "requests-repeated", flowevent.Retried: "requests-retried",
}

// newDSRDaemon starts a daemon and returns a function that stops its components in reverse order.
func newDSRDaemon(s *dsrsettings.Settings, log *zap.Logger) (*dsrDaemon, func(), error) {
	d := &dsrDaemon{
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

func (d *dsrDaemon) configureEngine() {
	e := &d.engine
	e.Placement = placement.Model{
		AvailabilityZone: d.settings.AvailabilityZone, HashOnly: d.settings.Placement == dsrsettings.PlacementHash,
		SuspicionChanged: d.logSuspicion, MarkLoaded: d.setLoaded, OverloadChanged: d.logOverload, PaceChanged: d.logPace,
	}
	e.Gate.Counters = d.counters
	e.Registry.Changed, e.Registry.OnReplaced = d.logHostState, d.logReplaced
	e.Registry.EvacuationChanged = d.logEvacuation
	e.Registry.Retention = time.Duration(d.settings.FlowLifetime) + time.Duration(d.settings.SettleTime)
	e.Start()
	forgotten := e.Registry.Forgotten
	e.Registry.Forgotten = func(token uint32) {
		delete(d.openings.last, token)
		forgotten(token)
	}
	// Start has set Observe; the daemon counts each event before it passes the event on.
	observe := e.Flows.Observe
	e.Flows.Observe = func(now time.Duration, ev flowevent.Event) {
		switch {
		case ev.Kind == flowevent.Accepted:
			d.counters.Observe("handshake", ev.Elapsed)
		case ev.Kind == flowevent.Answered && ev.Elapsed > 0:
			d.counters.Observe("first-answer", ev.Elapsed)
		}
		d.eventCounts[ev.Kind].Inc(1)
		observe(now, ev)
	}
	for kind, name := range eventCounterNames {
		d.eventCounts[kind] = d.counters.Counter(name)
	}
	d.stopTimeout = time.Duration(d.settings.StopTimeout)
}

func (d *dsrDaemon) startTimer() (func(), error) {
	var stop func()
	d.timer, stop = timer.New(dsr.TickPeriod)
	cancelPause := d.timer.OnPause(func(now, gap time.Duration) {
		d.log.Warn("paused", zap.Duration("gap", gap))
		d.counters.Add("pauses", 1)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.resumeAt = now + resumeDelay
	})
	cancelTick := d.timer.Subscribe(dsr.TickPeriod, func(now time.Duration) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.engine.Tick(now)
		d.expireHeld(now)
	})
	return func() {
		cancelTick()
		cancelPause()
		stop()
	}, nil
}

func (d *dsrDaemon) startSocket() (func(), error) {
	// The handler can run before the socket is assigned; the lock makes it wait.
	d.mu.Lock()
	defer d.mu.Unlock()
	socket, stop, err := fabric.New(d.settings.DataAddress, d.counters, d.handlePackets)
	if err != nil {
		return nil, errors.Annotate(err, "data-address")
	}
	d.socket = socket
	return stop, nil
}
