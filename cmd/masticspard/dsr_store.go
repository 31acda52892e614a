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
		WatchTimeout: d.settings.WatchTimeout(),
		BatchDelay:   time.Duration(batchDelayShare * float64(d.settings.Bound())),
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
func (d *dsrDaemon) replace(changes []registry.Change, at history.Position, storeDown bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.update(changes, func(now time.Duration) { d.engine.Registry.Replace(now, changes, at, storeDown) })
	d.log.Info("picture-read", zap.Int("entries", len(changes)), zap.Uint64("era", at.Era),
		zap.Uint64("revision", at.Revision), zap.Bool("away", storeDown))
	if d.peers != nil {
		d.peers.group.Publish(at.Revision, at, d.engine.Registry.Version(), nil)
	}
}

// apply applies changes of the store to the registry and announces them to other entry VMs.
func (d *dsrDaemon) apply(changes []registry.Change, since, at history.Position, storeDown bool) {
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
	if d.peers != nil {
		d.peers.group.Publish(since.Revision, at, d.engine.Registry.Version(), changes)
	}
}

// adopt applies the snapshot of another entry VM. The snapshot is not announced, because its age is unknown. Servers
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
	d.lastUpdate = d.timer.Now()
	func() {
		defer d.contain("store-update", nil)
		applyChanges(d.lastUpdate)
	}()
	if r.Version() != before {
		d.counters.Add("configurations-accepted", 1)
		d.log.Info("configuration-in-force", zap.Uint64("version", r.Version()), zap.Uint64("before", before))
	}
	if d.peers != nil && r.Complete() {
		d.peers.bootstrap.Synced(d.lastUpdate)
	}
	d.retryHeld(d.lastUpdate)
}
