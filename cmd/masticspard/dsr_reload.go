package main

import (
	"os"
	"time"

	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	dsrsettings "github.com/masticspar/masticspar/internal/dsr/settings"
)

// settingsPollPeriod is the interval between checks of the settings file, which may change without a signal.
const settingsPollPeriod = 5 * time.Second

// watchSettings reloads the settings file after each signal and when its modification time changes. It returns a
// function that stops the watch.
func (d *dsrDaemon) watchSettings(signals <-chan os.Signal, file string) func() {
	var tb tomb.Tomb
	modified := modifiedAt(file)
	tb.Go(func() error {
		ticker := time.NewTicker(settingsPollPeriod)
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

// modifiedAt returns the modification time of a file, or the zero time when the file is unavailable.
func modifiedAt(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{} // The next reload reports the error.
	}
	return info.ModTime()
}

// reload applies the settings that can change while the process runs. Invalid settings are refused and the previous
// ones stay active.
func (d *dsrDaemon) reload(file, cause string) {
	b, err := os.ReadFile(file)
	if err != nil {
		d.counters.Add("reload-refused", 1)
		d.log.Error("reload-refused", zap.String("cause", cause), zap.Error(err))
		return
	}
	s, err := dsrsettings.Decode(file, b)
	if err != nil {
		d.counters.Add("reload-refused", 1)
		d.log.Error("reload-refused", zap.String("cause", cause), zap.Error(err))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine.Registry.Retention = time.Duration(s.FlowLifetime) + time.Duration(s.SettleTime)
	d.engine.Placement.HashOnly = s.Placement == dsrsettings.PlacementHash
	d.stopTimeout = time.Duration(s.StopTimeout)
	d.counters.Add("reload-accepted", 1)
	d.log.Info("reloaded", zap.String("cause", cause), zap.Duration("stop-timeout", d.stopTimeout),
		zap.Duration("flow-lifetime", time.Duration(s.FlowLifetime)), zap.String("placement", s.Placement))
}
