package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/masticspar/masticspar/internal/bootstrap"
	"github.com/masticspar/masticspar/internal/history"
	"github.com/masticspar/masticspar/internal/registry"
	"github.com/masticspar/masticspar/internal/replica"
	"github.com/masticspar/masticspar/internal/snapshot"
)

const (
	// probeDelay is how long a process that starts waits for a reply of its contacts before it checks whether the store
	// is small; contacts that run reply within milliseconds.
	probeDelay = 15 * time.Millisecond
	// probeTimeout bounds the check.
	probeTimeout = 60 * time.Millisecond
)

func (p *peers) sendBootstrap(to netip.AddrPort, m *bootstrap.Message) {
	b, err := bootstrap.Encode(m)
	p.send(to, kindBootstrap, b, err)
}

// bootstrapSources returns the other active entry VMs of an availability zone.
func (p *peers) bootstrapSources(zone string) []bootstrap.Source {
	var list []bootstrap.Source
	for _, m := range p.list.Active() {
		if m.Zone == zone && m.Name != p.list.Self.Name {
			list = append(list, bootstrap.Source{Address: m.Control, Size: m.Size})
		}
	}
	return list
}

// bootstrap returns the state of another entry VM when this process starts, or an error if the store has to be read.
// isSmall reports whether the store can be read in one call.
func (d *dsrDaemon) bootstrap(
	ctx context.Context, isSmall func(context.Context) (bool, error),
) (replica.Page, error) {
	probe := time.After(probeDelay)
	for {
		var a bootstrap.Action
		select {
		case a = <-d.peers.actions:
		case <-probe:
			d.probeStore(ctx, isSmall)
			continue
		case <-ctx.Done():
			return replica.Page{}, errors.Trace(ctx.Err())
		}
		if a.Read {
			d.counters.Add("bootstrap-read-"+a.Reason, 1)
			d.log.Info("bootstrap-read", zap.String("reason", a.Reason))
			return replica.Page{}, errors.Errorf("bootstrap: %s", a.Reason)
		}
		for _, source := range a.Sources {
			// A state that is older than the time between two replies to a watch may come from an entry VM that is cut off.
			s, err := snapshot.Fetch(ctx, source, d.settings.WatchTimeout()+time.Second, history.Position{})
			if err == nil {
				return d.newPage(source, s), nil
			}
			d.counters.Add("bootstrap-retry-source", 1)
			d.log.Info("bootstrap-source-failed", zap.Stringer("source", source), zap.Error(err))
		}
		d.mu.Lock()
		d.peers.bootstrap.FetchFailed()
		d.mu.Unlock()
	}
}

// probeStore makes the agent read the store if it is small.
func (d *dsrDaemon) probeStore(ctx context.Context, isSmall func(context.Context) (bool, error)) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	d.counters.Add("store-probes", 1)
	small, err := isSmall(ctx)
	if err != nil {
		d.counters.Add("store-probes-failed", 1)
		d.log.Info("store-probe-failed", zap.Error(err))
		return
	}
	if small {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.peers.bootstrap.ReadSmall()
	}
}

// fetchConfiguration returns the configuration of the entry VM that announced it. If each entry VM read it from the
// store, a large one would fill the link of the store.
func (d *dsrDaemon) fetchConfiguration(ctx context.Context) (replica.Page, error) {
	d.mu.Lock()
	source, version := d.peers.configurationSource, d.peers.configurationVersion
	d.peers.configurationSource = netip.AddrPort{}
	d.mu.Unlock()
	if !source.IsValid() {
		return replica.Page{}, errors.New("no entry VM announced a configuration")
	}
	c, err := snapshot.FetchConfiguration(ctx, source, version)
	if err != nil {
		d.log.Info("configuration-source-failed", zap.Stringer("source", source), zap.Error(err))
		return replica.Page{}, errors.Trace(err)
	}
	return replica.Page{Changes: []registry.Change{{Configuration: c}}}, nil
}
