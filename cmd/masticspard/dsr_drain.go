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
	// minDrainTime is how long the routers take to notice that an entry VM is not ready.
	minDrainTime = 1500 * time.Millisecond
	// idleTime without packets ends a stop before its timeout.
	idleTime = 600 * time.Millisecond
	// exitMargin is kept of the stop timeout for the end of the process.
	exitMargin = time.Second
)

// drain takes the entry VM out of rotation and returns when the routers send nothing more or the time is up.
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
		return errors.Errorf("%s during the drain", v)
	}
}
