package replica

import (
	"context"
	"time"

	"github.com/masticspar/masticspar/internal/counter"
	"github.com/masticspar/masticspar/internal/history"
	"github.com/masticspar/masticspar/internal/registry"
)

// Page is a portion of the published state or a list of changes to it.
type Page struct {
	// Changes are the entries, or the changes in the order of their revisions.
	Changes []registry.Change
	// Era is the era in which the store was read.
	Era uint64
	// Revision is the revision of the store to continue from.
	Revision uint64
	// Next is the position of the next page; it is empty on the last page.
	Next string
	// ConfirmedAt is when the store confirmed the state of another process; 0 if that is not known. It is not used for the
	// replies of the store.
	ConfirmedAt time.Duration
}

// Position returns the position of the page.
func (p *Page) Position() history.Position { return history.Position{Era: p.Era, Revision: p.Revision} }

// Config has the callbacks and settings of a Replica.
type Config struct {
	// Read returns the page after the given position, which is empty for the first page.
	Read func(ctx context.Context, after string) (Page, error)
	// Watch returns the changes after a revision as soon as there is one, or an empty page when wait has passed.
	Watch func(ctx context.Context, after uint64, wait time.Duration) (Page, error)
	// ReadConfiguration returns only the configuration.
	ReadConfiguration func(ctx context.Context) (Page, error)
	// Bootstrap returns the state of another process once when this process starts, or an error if the store has to be
	// read. It may block until one of both is known. Nil reads the store.
	Bootstrap func(ctx context.Context) (Page, error)
	// ReadPeerConfiguration returns the configuration of the process that announced it. It is called before
	// ReadConfiguration, which is called only if it fails; nil disables it.
	ReadPeerConfiguration func(ctx context.Context) (Page, error)
	// ReadPeerState returns the snapshot of the process that announced a later era of the store. If it fails, the store is
	// read; nil disables it.
	ReadPeerState func(ctx context.Context) (Page, error)
	// ReadPeer returns the snapshot of another process whose state is younger, if that of this process is complete. It is
	// called when the store does not reply; nil disables it.
	ReadPeer func(ctx context.Context) (Page, error)
	// Replace is called with the result of a full read, its position and when the store confirmed it. storeDown reports
	// whether the store was unavailable or restored within the last 4 s.
	Replace func(changes []registry.Change, at history.Position, confirmedAt time.Duration, storeDown bool)
	// Apply is called with the changes after since up to position at of the same era, in order; the list may be empty.
	// confirmedAt and storeDown have the same meaning as in Replace.
	Apply func(changes []registry.Change, since, at history.Position, confirmedAt time.Duration, storeDown bool)
	// Adopt is called with the snapshot or configuration of another process and its position. complete reports whether
	// the snapshot is at least as new as the state of this Replica, so that servers missing from it are gone.
	Adopt func(changes []registry.Change, at history.Position, complete bool)
	// ShouldRead reports whether this process has to watch the store itself; nil means that it has to.
	ShouldRead func() bool
	// PollDelay returns how long a process that does not watch the store waits, by the age of its state, until it reads the
	// changes once. It then substitutes for those that watch, so a call that fails is repeated late. Nil never polls.
	PollDelay func() time.Duration
	// Lost and Regained are called once for each outage of the store, when it starts and when it ends.
	Lost     func(reason error)
	Regained func(outage time.Duration)
	// Restored is called when the state of a later era is received, with the previous position; nil ignores it.
	Restored func(before, at history.Position)
	// Now returns the monotonic time.
	Now func() time.Duration
	// WatchTimeout returns how long the store delays its reply to a watch while there is no change.
	WatchTimeout func() time.Duration
	// MaxPollDelay is the greatest delay before a poll is repeated; the least one is half of it.
	MaxPollDelay time.Duration
	// BatchDelay is the delay after a watch that returned changes.
	BatchDelay time.Duration
	// Counters counts calls and retries by reason; nil counts nothing.
	Counters *counter.Set
}
