package main

import (
	"time"

	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/internal/replica"
	"github.com/masticspar/masticspar/platform/store"
)

// batchDelayShare is the part of the shortest bound of the site in which changes of the store are collected, because
// every call to the store has a price.
const batchDelayShare = 0.25

func (d *dsrDaemon) startStore() (func(), error) {
	client, closeClient := store.New(d.settings.Store.String())
	d.mu.Lock()
	defer d.mu.Unlock()
	r, stop := replica.New(replica.Config{
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
		Counters:     d.counters,
	})
	d.replica = r
	return func() {
		stop()
		closeClient()
	}, nil
}

// shouldRead reports whether this entry VM waits for changes of the store itself.
func (d *dsrDaemon) shouldRead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peers == nil || d.peers.group.ShouldRead(d.timer.Now())
}

func (d *dsrDaemon) storeLost(reason error) {
	d.log.Warn("store-lost", zap.String("reason", reason.Error()))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers != nil {
		d.peers.group.StoreLost()
	}
}

func (d *dsrDaemon) storeRegained(outage time.Duration) {
	d.log.Info("store-regained", zap.Duration("outage", outage))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine.Registry.ExtendGracePeriod(d.timer.Now())
}

// replace puts a complete reading of the store in force.
func (d *dsrDaemon) replace(changes []registry.Change, revision uint64, storeDown bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.update(changes, func(now time.Duration) { d.engine.Registry.Replace(now, changes, revision, storeDown) })
	d.log.Info("picture-read", zap.Int("entries", len(changes)), zap.Uint64("revision", revision),
		zap.Bool("away", storeDown))
	if d.peers != nil {
		d.peers.group.Publish(d.timer.Now(), revision, revision, d.engine.Registry.Version(), nil)
	}
}

// apply puts changes of the store in force and passes them on.
func (d *dsrDaemon) apply(changes []registry.Change, since, revision uint64, storeDown bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.update(changes, func(now time.Duration) {
		for _, c := range changes {
			d.engine.Registry.Apply(now, c, storeDown)
		}
	})
	if d.peers != nil {
		d.peers.group.Publish(d.timer.Now(), since, revision, d.engine.Registry.Version(), changes)
	}
}

// adopt puts the picture of another entry VM in force. It is not announced, because its age is not known. Servers that a
// complete one does not name may have lapsed there.
func (d *dsrDaemon) adopt(changes []registry.Change, revision uint64, complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.update(changes, func(now time.Duration) {
		if complete {
			d.engine.Registry.Replace(now, changes, revision, true)
			return
		}
		for _, c := range changes {
			d.engine.Registry.Apply(now, c, true)
		}
	})
}

// update logs what is wrong with changes and what their application by put altered.
func (d *dsrDaemon) update(changes []registry.Change, applyChanges func(now time.Duration)) {
	for _, c := range changes {
		if c.Fault != "" {
			d.counters.Add("entries-refused", 1)
			d.log.Warn("entry-refused", zap.String("host", c.Name), zap.String("reason", c.Fault))
		}
	}
	r := &d.engine.Registry
	before := r.Version()
	d.lastUpdate = d.timer.Now()
	applyChanges(d.lastUpdate)
	if r.Version() != before {
		d.counters.Add("configurations-accepted", 1)
		d.log.Info("configuration-in-force", zap.Uint64("version", r.Version()), zap.Uint64("before", before))
	}
	d.retryHeld(d.lastUpdate)
}
