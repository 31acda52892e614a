package main

import (
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/dsr"
)

const (
	// minDrainTime is how long the routers take to detect that an entry VM is not ready.
	minDrainTime = 1500 * time.Millisecond
	// idleTime is the time without packets after which a drain ends before its timeout.
	idleTime = 600 * time.Millisecond
	// exitMargin is the portion of the stop timeout that is reserved for the exit of the process.
	exitMargin = time.Second
)

// drain takes the entry VM out of rotation. It returns when minDrainTime has passed and no packets arrive any longer,
// or when the stop timeout is almost reached. It returns an error when a signal arrives.
func (d *dsrDaemon) drain(signals <-chan os.Signal) error {
	d.stopping.Store(true)
	d.mu.Lock()
	if d.peers != nil {
		d.peers.list.Leave(d.timer.Now())
		d.peers.socket.Flush()
	}
	limit := max(d.stopTimeout-exitMargin, minDrainTime)
	d.mu.Unlock()
	started := d.timer.Now()
	done := make(chan struct{})
	var once sync.Once
	cancel := d.timer.Subscribe(dsr.TickPeriod, func(now time.Duration) {
		idle := now - time.Duration(d.lastPacketAt.Load())
		if now-started >= limit || now-started >= minDrainTime && idle >= idleTime {
			once.Do(func() { close(done) })
		}
	})
	defer cancel()
	select {
	case <-done:
		d.log.Info("drained", zap.Duration("after", d.timer.Now()-started))
		return nil
	case v := <-signals:
		return errors.Errorf("received signal %s during the drain", v)
	}
}
