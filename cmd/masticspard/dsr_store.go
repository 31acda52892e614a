package main

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/history"
	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/internal/replica"
	"github.com/masticspar/masticspar/platform/store"
)

// batchDelayShare is the time for which changes of the store are batched, as a share of the shortest bound in the
// settings. Batches reduce the number of calls to the store, which are charged for.
const batchDelayShare = 0.25

func (d *dsrDaemon) startStore() (func(), error) {
	client, closeClient := store.New(d.settings.Store.String())
	d.mu.Lock()
	defer d.mu.Unlock()
	c := replica.Config{
		Read: client.Read, Watch: client.Watch, ReadConfiguration: client.Configuration, Now: d.timer.Now,
		WatchTimeout: d.watchTimeout,
		BatchDelay:   time.Duration(batchDelayShare * float64(d.settings.Bound())),
		MaxPollDelay: d.settings.Bound(),
		ReadPeer:     d.fetchSnapshot,
		Adopt:        d.adopt,
		Replace:      d.replace,
		Apply:        d.apply,
		ShouldRead:   d.shouldRead,
		Lost:         d.storeLost,
		Regained:     d.storeRegained,
		Restored:     d.storeRestored,
		Counters:     d.counters,
	}
	if d.peers != nil {
		c.ReadPeerConfiguration = d.fetchConfiguration
		c.ReadPeerState = d.fetchState
		c.PollDelay = d.pollDelay
		c.Bootstrap = func(ctx context.Context) (replica.Page, error) { return d.bootstrap(ctx, client.IsSmall) }
	}
	r, stop := replica.New(c)
	d.replica = r
	if d.peers != nil {
		d.peers.bootstrap.Start(d.timer.Now())
		d.peers.socket.Flush()
	}
	return func() {
		stop()
		closeClient()
	}, nil
}

// shouldRead reports whether this entry VM watches the store itself.
func (d *dsrDaemon) shouldRead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peers == nil || d.peers.group.ShouldRead(d.timer.Now())
}

// watchTimeout returns how long the store may delay its reply to a watch.
func (d *dsrDaemon) watchTimeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers == nil {
		return d.settings.WatchTimeout()
	}
	return d.peers.group.WatchTimeout(d.settings.WatchTimeout())
}

// pollDelay returns how long this entry VM waits until it substitutes for the readers of its zone. It logs when it does.
func (d *dsrDaemon) pollDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	age := d.age()
	delay := d.peers.group.PollAge() - age
	if delay <= 0 {
		d.log.Info("store-polled", zap.Duration("picture-age", age))
		d.peers.group.Substitute()
	}
	return delay
}

// age returns how long ago the store confirmed the state of this entry VM; d.mu must be held.
func (d *dsrDaemon) age() time.Duration {
	if d.replica == nil {
		return d.timer.Now()
	}
	d.confirm()
	age, _ := d.replica.Age()
	return age
}

// confirm records what announcements tell about the state of this entry VM; d.mu must be held.
func (d *dsrDaemon) confirm() {
	if d.peers != nil {
		at := d.replica.Position()
		d.replica.Confirm(at.Era, d.peers.group.ConfirmedAt(at, d.engine.Registry.Version()))
	}
}

// storeLost logs the start of an outage of the store and reports it to the announcement group.
func (d *dsrDaemon) storeLost(reason error) {
	d.log.Warn("store-lost", zap.String("reason", reason.Error()))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers != nil {
		d.peers.group.StoreLost()
	}
}

// storeRegained logs the end of an outage of the store and restarts the grace period of lapsed servers.
func (d *dsrDaemon) storeRegained(outage time.Duration) {
	d.log.Info("store-regained", zap.Duration("outage", outage))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine.Registry.ExtendGracePeriod(d.timer.Now())
}

// storeRestored logs that the store was restored from a copy.
func (d *dsrDaemon) storeRestored(before, at history.Position) {
	d.log.Warn("store-restored", zap.Uint64("era", at.Era), zap.Uint64("revision", at.Revision),
		zap.Uint64("before-era", before.Era), zap.Uint64("before-revision", before.Revision))
}

// replace replaces the registry with a full read of the store. storeDown reports whether the store was recently
// unavailable or restored.
func (d *dsrDaemon) replace(
	changes []registry.Change, at history.Position, confirmedAt time.Duration, storeDown bool,
) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.update(changes, func(now time.Duration) { d.engine.Registry.Replace(now, changes, at, storeDown) })
	d.log.Info("picture-read", zap.Int("entries", len(changes)), zap.Uint64("era", at.Era),
		zap.Uint64("revision", at.Revision), zap.Bool("away", storeDown))
	d.publish(at.Revision, at, confirmedAt, nil)
}

// apply applies changes of the store to the registry and announces them to other entry VMs.
func (d *dsrDaemon) apply(
	changes []registry.Change, since, at history.Position, confirmedAt time.Duration, storeDown bool,
) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(changes) > 0 {
		d.log.Info("changes-read", zap.Uint64("era", at.Era), zap.Uint64("since", since.Revision),
			zap.Uint64("revision", at.Revision), zap.Int("changes", len(changes)))
	}
	d.update(changes, func(now time.Duration) {
		for _, c := range changes {
			d.engine.Registry.Apply(now, c, storeDown)
		}
	})
	d.publish(since.Revision, at, confirmedAt, changes)
}

// publish passes what the store replied to the announcement group. Confirmations, and the changes that a substitute has read,
// are announced at once, because others wait for them; a reader's changes are paced.
func (d *dsrDaemon) publish(since uint64, at history.Position, confirmedAt time.Duration, changes []registry.Change) {
	if d.peers == nil {
		return
	}
	g, now := &d.peers.group, d.timer.Now()
	g.Publish(since, at, confirmedAt, d.engine.Registry.Version(), changes)
	if len(changes) == 0 || !g.ShouldRead(now) {
		g.Tick(now)
		d.peers.socket.Flush()
	}
}

// adopt applies the snapshot of another entry VM. The snapshot is not announced; its source announces the same. Servers
// that are missing from a complete snapshot may have lapsed there, so they lapse here, too.
func (d *dsrDaemon) adopt(changes []registry.Change, at history.Position, complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.update(changes, func(now time.Duration) {
		if complete {
			d.engine.Registry.Replace(now, changes, at, true)
			return
		}
		for _, c := range changes {
			d.engine.Registry.Apply(now, c, true)
		}
	})
}

// update calls applyChanges, and logs invalid changes and a new version of the configuration. It then retries held
// packets.
func (d *dsrDaemon) update(changes []registry.Change, applyChanges func(now time.Duration)) {
	for _, c := range changes {
		if c.Fault != "" {
			reason, _, _ := strings.Cut(c.Fault, ":")
			d.counters.Add("entries-refused", 1)
			d.counters.Add("entries-refused-"+reason, 1)
			d.log.Warn("entry-refused", zap.String("host", c.Name), zap.String("reason", c.Fault))
		}
	}
	r := &d.engine.Registry
	before := r.Version()
	now := d.timer.Now()
	func() {
		defer d.contain("store-update", nil)
		applyChanges(now)
	}()
	if r.Version() != before {
		d.counters.Add("configurations-accepted", 1)
		d.log.Info("configuration-in-force", zap.Uint64("version", r.Version()), zap.Uint64("before", before))
	}
	if d.peers != nil && r.Complete() {
		d.peers.bootstrap.Synced(now)
	}
	d.retryHeld(now)
}
