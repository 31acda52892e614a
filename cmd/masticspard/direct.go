package main

import (
	"io"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/direct"
	directsettings "github.com/masticspar/masticspar/internal/direct/settings"
	"github.com/masticspar/masticspar/internal/fabric"
	"github.com/masticspar/masticspar/internal/operator"
	"github.com/masticspar/masticspar/internal/placement"
	"github.com/masticspar/masticspar/internal/register"
	"github.com/masticspar/masticspar/internal/replica"
	"github.com/masticspar/masticspar/internal/signal"
	"github.com/masticspar/masticspar/internal/timer"
	"github.com/masticspar/masticspar/internal/track"
	"github.com/masticspar/masticspar/platform/datagram"
	"github.com/masticspar/masticspar/platform/store"
)

const (
	// collectShare is the part of the shortest bound of the site in which changes of the store are collected, because
	// every call to the store has a price.
	collectShare = 0.25
	// reloadPeriod is the time between two looks at the settings file, which may change without a signal.
	reloadPeriod = 5 * time.Second
	// wakeTime is how long SYNs are dropped after a pause: they waited while the process stood still, and callers may
	// have opened the flow elsewhere.
	wakeTime = 100 * time.Millisecond
	// leaveTime is how long the routers take to notice that an entry VM is not ready.
	leaveTime = 1500 * time.Millisecond
	// quietTime without packets ends a stop before its timeout.
	quietTime = 600 * time.Millisecond
	// stopMargin is kept of the stop timeout for the end of the process.
	stopMargin = time.Second
	// memoryShare is the part of the VM's memory that the heap may take.
	memoryShare = 0.6
)

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
	var cleanups []func()
	stop := func() {
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
	}
	for _, step := range []func() (func(), error){d.startTimer, d.startSocket, d.startPeers, d.startStore, d.startOperator} {
		cleanup, err := step()
		if err != nil {
			stop()
			return nil, nil, err
		}
		cleanups = append(cleanups, cleanup)
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

// packets takes a batch of the socket.
func (d *directDaemon) packets(batch []fabric.Datagram) {
	d.timer.Check()
	now := d.timer.Now()
	d.packetAt.Store(int64(now))
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range batch {
		d.packet(now, batch[i].Bytes)
	}
	d.socket.Flush()
}

func (d *directDaemon) packet(now time.Duration, b []byte) {
	p, err := d.codec.Decode(b)
	if err != nil {
		d.counters.Add("dropped-malformed", 1)
		return
	}
	v := direct.Verdict{Reason: direct.Waking}
	if !p.SYN || now >= d.awake {
		v = d.engine.Packet(now, &p)
	}
	switch v.Action {
	case direct.Forward:
		d.out = d.codec.AppendForward(d.out[:0], b, v.Host.Token, v.Host.Number)
		d.socket.Send(v.Host.Address, d.out, uint64(v.Host.Token), now)
		if p.SYN && !v.Again {
			d.logFlow(now, "flow-opened", &p, v)
		}
		if v.Again {
			d.counters.Add("retry-unanswered", 1)
			d.logFlow(now, "flow-retried", &p, v)
		}
	case direct.Reset:
		var to netip.AddrPort
		d.out, to = d.codec.AppendReset(d.out[:0], &p)
		d.socket.Send(to, d.out, uint64(p.Token), now)
		d.counters.Add("refused-"+v.Reason, 1)
		d.logFlow(now, "flow-reset", &p, v)
	default:
		d.counters.Add("dropped-"+v.Reason, 1)
		d.logFlow(now, "packet-dropped", &p, v)
	}
}

func (d *directDaemon) startStore() (func(), error) {
	client, closeClient := store.New(d.settings.Store.String())
	d.mu.Lock()
	defer d.mu.Unlock()
	r, stop := replica.New(replica.Config{
		Read: client.Read, Watch: client.Watch, Configuration: client.Configuration, Now: d.timer.Now,
		Wait:     d.settings.StoreWait(),
		Collect:  time.Duration(collectShare * float64(d.settings.Bound())),
		Peer:     d.fetchPicture,
		Adopt:    d.adopt,
		Replace:  d.replace,
		Apply:    d.apply,
		Reader:   d.reader,
		Lost:     d.storeLost,
		Regained: d.storeRegained,
		Counters: d.counters,
	})
	d.replica = r
	return func() {
		stop()
		closeClient()
	}, nil
}

// reader reports whether this entry VM waits for changes of the store itself.
func (d *directDaemon) reader() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peers == nil || d.peers.group.Reader(d.timer.Now())
}

func (d *directDaemon) storeLost(reason error) {
	d.log.Warn("store-lost", zap.String("reason", reason.Error()))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers != nil {
		d.peers.group.Lost()
	}
}

func (d *directDaemon) storeRegained(outage time.Duration) {
	d.log.Info("store-regained", zap.Duration("outage", outage))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine.Register.Postpone(d.timer.Now())
}

// replace puts a complete reading of the store in force.
func (d *directDaemon) replace(changes []register.Change, revision uint64, away bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learn(changes, func(now time.Duration) { d.engine.Register.Replace(now, changes, revision, away) })
	d.log.Info("picture-read", zap.Int("entries", len(changes)), zap.Uint64("revision", revision), zap.Bool("away", away))
	if d.peers != nil {
		d.peers.group.Learned(d.timer.Now(), revision, revision, d.engine.Register.Version(), nil)
	}
}

// apply puts changes of the store in force and passes them on.
func (d *directDaemon) apply(changes []register.Change, since, revision uint64, away bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learn(changes, func(now time.Duration) {
		for _, c := range changes {
			d.engine.Register.Apply(now, c, away)
		}
	})
	if d.peers != nil {
		d.peers.group.Learned(d.timer.Now(), since, revision, d.engine.Register.Version(), changes)
	}
}

// adopt puts the picture of another entry VM in force. It is not announced, because its age is not known.
func (d *directDaemon) adopt(changes []register.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learn(changes, func(now time.Duration) {
		for _, c := range changes {
			d.engine.Register.Apply(now, c, true)
		}
	})
}

// learn logs what is wrong with changes and what their application by put altered.
func (d *directDaemon) learn(changes []register.Change, put func(now time.Duration)) {
	for _, c := range changes {
		if c.Fault != "" {
			d.counters.Add("entries-refused", 1)
			d.log.Warn("entry-refused", zap.String("host", c.Name), zap.String("reason", c.Fault))
		}
	}
	r := &d.engine.Register
	before := r.Version()
	d.contact = d.timer.Now()
	put(d.contact)
	if r.Version() != before {
		d.counters.Add("configurations-accepted", 1)
		d.log.Info("configuration-in-force", zap.Uint64("version", r.Version()), zap.Uint64("before", before))
	}
}

func (d *directDaemon) startOperator() (func(), error) {
	ready := &operator.Server{Ready: d.ready, Metrics: d.metrics}
	stopReady, err := ready.Listen(d.settings.OperatorAddress)
	if err != nil {
		return nil, err
	}
	if d.settings.MetricsAddress == d.settings.OperatorAddress {
		return stopReady, nil
	}
	stopMetrics, err := ready.Listen(d.settings.MetricsAddress)
	if err != nil {
		// Callers are served without metrics too.
		d.counters.Add("metrics-not-served", 1)
		d.log.Error("metrics-not-served", zap.Error(err))
		return stopReady, nil
	}
	return func() {
		stopMetrics()
		stopReady()
	}, nil
}

func (d *directDaemon) ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stopping.Load() && d.engine.Register.Complete()
}

func (d *directDaemon) metrics(w io.Writer) error {
	d.mu.Lock()
	states := map[register.State]int64{}
	d.engine.Register.Each(func(l *register.Lifetime) { states[l.State]++ })
	for s := register.Ready; s <= register.Gone; s++ {
		d.counters.SetGauge("hosts-"+s.String(), states[s])
	}
	d.counters.SetGauge("picture-age-milliseconds", (d.timer.Now() - d.contact).Milliseconds())
	d.counters.SetGauge("flows", int64(d.engine.Flows.Len()))
	d.counters.SetGauge("configuration-version", int64(d.engine.Register.Version()))
	d.mu.Unlock()
	return d.counters.WriteText(w)
}

// reloadOn reads the settings file again after each signal and from time to time.
func (d *directDaemon) reloadOn(signals <-chan os.Signal, file string) func() {
	var tb tomb.Tomb
	modified := modifiedAt(file)
	tb.Go(func() error {
		ticker := time.NewTicker(reloadPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-tb.Dying():
				return nil
			case <-signals:
				d.reload(file, "signal")
			case <-ticker.C:
				if modifiedAt(file).Equal(modified) {
					continue
				}
				d.reload(file, "file")
			}
			modified = modifiedAt(file)
		}
	})
	return func() {
		tb.Kill(nil)
		_ = tb.Wait()
	}
}

func modifiedAt(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{} // The next reload tells why.
	}
	return info.ModTime()
}

// reload puts the settings in force that can change while the process runs. Wrong ones leave the former in force.
func (d *directDaemon) reload(file, cause string) {
	b, err := os.ReadFile(file)
	if err != nil {
		d.counters.Add("reload-refused", 1)
		d.log.Error("reload-refused", zap.String("cause", cause), zap.Error(err))
		return
	}
	s, err := directsettings.Decode(file, b)
	if err != nil {
		d.counters.Add("reload-refused", 1)
		d.log.Error("reload-refused", zap.String("cause", cause), zap.Error(err))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine.Register.Retention = time.Duration(s.FlowLifetime) + time.Duration(s.SettleTime)
	d.engine.Placement.Hash = s.Placement == directsettings.PlacementHash
	d.stopTimeout = time.Duration(s.StopTimeout)
	d.counters.Add("reload-accepted", 1)
	d.log.Info("reloaded", zap.String("cause", cause), zap.Duration("stop-timeout", d.stopTimeout),
		zap.Duration("flow-lifetime", time.Duration(s.FlowLifetime)), zap.String("placement", s.Placement))
}

// drain takes the entry VM out of rotation and returns when the routers send nothing more or the time is up.
func (d *directDaemon) drain(signals <-chan os.Signal) error {
	d.stopping.Store(true)
	d.mu.Lock()
	if d.peers != nil {
		d.peers.list.Leave(d.timer.Now())
		d.peers.socket.Flush()
	}
	d.mu.Unlock()
	started := d.timer.Now()
	d.mu.Lock()
	limit := max(d.stopTimeout-stopMargin, leaveTime)
	d.mu.Unlock()
	done := make(chan struct{})
	var once sync.Once
	cancel := d.timer.Subscribe(direct.TickPeriod, func(now time.Duration) {
		quiet := now - time.Duration(d.packetAt.Load())
		if now-started >= limit || now-started >= leaveTime && quiet >= quietTime {
			once.Do(func() { close(done) })
		}
	})
	defer cancel()
	select {
	case <-done:
		d.log.Info("drained", zap.Duration("after", d.timer.Now()-started))
		return nil
	case v := <-signals:
		return errors.Errorf("%s during the drain", v)
	}
}

func (d *directDaemon) logHost(now time.Duration, l *register.Lifetime, before register.State) {
	d.counters.Add("host-"+l.State.String(), 1)
	d.log.Info("host-state", zap.String("host", l.Name), zap.Uint32("token", l.Token), zap.String("service", l.Service),
		zap.String("availability-zone", l.AvailabilityZone), zap.Stringer("address", l.Address),
		zap.Stringer("state", l.State), zap.Stringer("before", before), zap.Duration("held", now-l.Seen),
		zap.Bool("replaced", l.Replaced))
}

func (d *directDaemon) logSilent(now time.Duration, token uint32, silent bool) {
	event := "host-answers"
	if silent {
		event = "host-suspected"
	}
	d.counters.Add(event, 1)
	load := d.engine.Placement.Load(now, token)
	d.log.Info(event, zap.Uint32("token", token), zap.Duration("silence", load.Silence),
		zap.Int("outstanding", load.Outstanding), zap.Int("repeats", load.Repeats))
}

// logFlow writes the decision about a flow with what decided it.
func (d *directDaemon) logFlow(now time.Duration, event string, p *track.Packet, v direct.Verdict) {
	fields := []zap.Field{
		zap.Stringer("caller", p.Caller), zap.Stringer("service-address", p.Service), zap.Uint32("token", p.Token),
		zap.Bool("syn", p.SYN), zap.Uint64("configuration", d.engine.Register.Version()),
		zap.Duration("picture-age", now-d.contact),
	}
	if v.Reason != "" {
		fields = append(fields, zap.String("reason", v.Reason))
	}
	if v.Host != nil {
		load := d.engine.Placement.Load(now, v.Host.Token)
		fields = append(fields, zap.String("host", v.Host.Name), zap.Stringer("host-state", v.Host.State),
			zap.Int("outstanding", load.Outstanding), zap.Duration("answer-time", load.Answer),
			zap.Duration("silence", load.Silence), zap.Int("repeats", load.Repeats))
	}
	d.log.Info(event, fields...)
}
