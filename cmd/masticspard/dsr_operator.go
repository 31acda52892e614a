package main

import (
	"io"

	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/operator"
	"github.com/masticspar/masticspar/internal/registry"
)

func (d *dsrDaemon) startOperator() (func(), error) {
	server := &operator.Server{Ready: d.ready, Metrics: d.metrics}
	stopReady, err := server.Listen(d.settings.OperatorAddress)
	if err != nil {
		return nil, err
	}
	if d.settings.MetricsAddress == d.settings.OperatorAddress {
		return stopReady, nil
	}
	stopMetrics, err := server.Listen(d.settings.MetricsAddress)
	if err != nil {
		// The daemon serves callers without metrics, too.
		d.counters.Add("metrics-not-served", 1)
		d.log.Error("metrics-not-served", zap.Error(err))
		return stopReady, nil
	}
	return func() {
		stopMetrics()
		stopReady()
	}, nil
}

// ready reports whether the routers may send packets: the registry is complete and no drain has started.
func (d *dsrDaemon) ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stopping.Load() && d.engine.Registry.Complete()
}

func (d *dsrDaemon) metrics(w io.Writer) error {
	d.mu.Lock()
	states := map[registry.State]int64{}
	d.engine.Registry.Each(func(l *registry.Lifetime) { states[l.State]++ })
	for s := registry.StateReady; s <= registry.StateGone; s++ {
		d.counters.SetGauge("hosts-"+s.String(), states[s])
	}
	d.counters.SetGauge("servers-paced", int64(d.engine.Placement.Paced()))
	d.counters.SetGauge("zones-evacuated", int64(len(d.engine.Registry.EvacuatedZones())))
	d.counters.SetGauge("picture-age-milliseconds", d.age().Milliseconds())
	d.counters.SetGauge("flows", int64(d.engine.Flows.Len()))
	d.counters.SetGauge("configuration-version", int64(d.engine.Registry.Version()))
	d.mu.Unlock()
	return d.counters.WriteText(w)
}
