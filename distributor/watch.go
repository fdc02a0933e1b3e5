package distributor

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"apricotspool/gossiper"
	"apricotspool/storer"
)

// watchers is the number of daemons of a data centre that watch the object API.
const watchers = 2

// choicePeriod is how often a daemon looks whether it is among the watchers.
const choicePeriod = time.Second

// rereadAfter is the number of watches without news after which the head is read from the start. A
// store that was restored from a backup may count below the version that the watch waits for.
const rereadAfter = 15

// watch waits for new heads while this daemon is one of the watchers.
func (d *Distributor) watch(ctx context.Context) {
	var delay backoff
	var since storer.Version
	quiet := 0
	for ctx.Err() == nil {
		if !d.chosen() {
			since = 0
			sleep(ctx, choicePeriod)
			continue
		}
		objects, err := d.watchOnce(ctx, since)
		if err != nil {
			sleep(ctx, delay.next(d.jitter))
			continue
		}
		delay.reset()
		if quiet++; quiet >= rereadAfter || len(objects) > 0 {
			since, quiet = 0, 0
		}
		for _, object := range objects {
			since = max(since, object.Version)
		}
		if len(objects) > 0 && !d.observe(ctx, objects[len(objects)-1]) {
			since = 0
			sleep(ctx, delay.next(d.jitter))
		}
	}
}

func (d *Distributor) chosen() bool { return d.Members.View().Chosen("configuration", watchers) }

// watchOnce watches once, and stops early when this daemon is no longer a watcher.
func (d *Distributor) watchOnce(ctx context.Context, since storer.Version) ([]storer.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, storer.WatchTimeout)
	defer cancel()
	go func() {
		for d.chosen() {
			if !sleep(ctx, choicePeriod) {
				return
			}
		}
		cancel()
	}()
	changes, err := d.budget.Watch(ctx, headKey, since)
	return changes.Objects, err
}

// observe takes a head that a watch has returned. It reports whether the head needs no other look.
func (d *Distributor) observe(ctx context.Context, object storer.Object) bool {
	if object.Deleted {
		object = storer.Object{Key: headKey}
	}
	h, err := d.acceptHead(object)
	if err != nil {
		d.Log.Error().Err(err).Msg("configuration-head-refused")
		return true
	}
	return d.learn(ctx, h)
}

// learn brings a head into force and passes it on. It reports success.
func (d *Distributor) learn(ctx context.Context, h head) bool {
	if h.Version <= d.version() {
		return true
	}
	message := Announcement{Version: h.Version, From: d.Self.Address, Entries: h.Tail[len(h.Tail)-1:]}
	d.push(ctx, message, gossiper.PushFanoutAll)
	if d.follow(h.Tail, "store") {
		return true
	}
	next, err := d.load(ctx, h) // reads the store, so without d.applying
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			d.Log.Error().Err(err).Uint64("version", uint64(h.Version)).Msg("configuration-not-loaded")
		}
		return false
	}
	d.applying.Lock()
	defer d.applying.Unlock()
	d.adopt(next, h.Tail, "store")
	return true
}
