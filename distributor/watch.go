package distributor

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"apricotspool/gossiper"
	"apricotspool/storer"
)

// watchersPerDataCentre is the number of daemons in each data centre that watch the object API.
const watchersPerDataCentre = 2

// watcherCheckInterval is how often a daemon checks whether it is one of the watchers.
const watcherCheckInterval = time.Second

// idleWatchesBeforeReread is the number of watches without a change after which the head is read again
// from object version 0. A store restored from a backup may have a lower object version than the one the
// watch waits for, and would never report a change.
const idleWatchesBeforeReread = 15

// watch follows changes of the head while this daemon is one of the watchers.
func (d *Distributor) watch(ctx context.Context) {
	var delay backoff
	var since storer.Version
	idle := 0
	for ctx.Err() == nil {
		if !d.isWatcher() {
			since = 0
			sleep(ctx, watcherCheckInterval)
			continue
		}
		objects, err := d.watchOnce(ctx, since)
		if err != nil {
			sleep(ctx, delay.next(d.jitter))
			continue
		}
		delay.reset()
		if idle++; idle >= idleWatchesBeforeReread || len(objects) > 0 {
			since, idle = 0, 0
		}
		for _, object := range objects {
			since = max(since, object.Version)
		}
		if len(objects) > 0 && !d.handleWatchedHead(ctx, objects[len(objects)-1]) {
			since = 0
			sleep(ctx, delay.next(d.jitter))
		}
	}
}

func (d *Distributor) isWatcher() bool {
	return d.Members.View().Chosen("configuration", watchersPerDataCentre)
}

// watchOnce performs one watch call, and cancels it when this daemon is no longer a watcher.
func (d *Distributor) watchOnce(ctx context.Context, since storer.Version) ([]storer.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, storer.WatchTimeout)
	defer cancel()
	go func() {
		for d.isWatcher() {
			if !sleep(ctx, watcherCheckInterval) {
				return
			}
		}
		cancel()
	}()
	changes, err := d.limitedStore.Watch(ctx, headKey, since)
	return changes.Objects, err
}

// handleWatchedHead processes a head returned by a watch. It returns false if the head must be read again.
func (d *Distributor) handleWatchedHead(ctx context.Context, object storer.Object) bool {
	if object.Deleted {
		object = storer.Object{Key: headKey}
	}
	h, err := d.acceptHead(object)
	if err != nil {
		d.Log.Error().Err(err).Msg("configuration-head-refused")
		return true
	}
	return d.applyHead(ctx, h)
}

// applyHead activates a head's version and pushes it to the peers. It reports whether it succeeded.
func (d *Distributor) applyHead(ctx context.Context, h head) bool {
	if h.Version <= d.version() {
		return true
	}
	message := Announcement{Version: h.Version, From: d.Self.Address, Entries: h.Tail[len(h.Tail)-1:]}
	d.push(ctx, message, gossiper.PushFanoutAll)
	if d.applyEntries(h.Tail, "store") {
		return true
	}
	next, err := d.load(ctx, h) // may read the store, so d.applyMu is not held
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			d.Log.Error().Err(err).Uint64("version", uint64(h.Version)).Msg("configuration-not-loaded")
		}
		return false
	}
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	d.adopt(next, h.Tail, "store")
	return true
}
