// Package announcer lets the daemons of a fleet discover each other through the object API: each daemon
// writes an entry for itself and reads the entries of the others. An entry is no evidence that its
// daemon is alive; callers detect and skip daemons that do not respond.
package announcer

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/follower"
	"apricotspool/namer"
	"apricotspool/storer"
)

// Prefix is the key prefix of the daemons' entries.
const Prefix = "gateways/"

const (
	// stalenessBound is the time within which the other daemons learn of a new one. The loss of a daemon
	// is detected by the daemons that call it.
	stalenessBound = 5 * time.Second
	// retryDelay is the delay before a failed write is retried.
	retryDelay = 500 * time.Millisecond
	// deregisterTimeout bounds the removal of the daemon's own entry.
	deregisterTimeout = time.Second
)

// Member is the entry of a daemon.
type Member struct {
	Host            namer.Host       `json:"host"`
	DataCentre      namer.DataCentre `json:"data-centre"`
	PeerAddress     netip.AddrPort   `json:"peers"`     // address for calls between daemons
	DatagramAddress netip.AddrPort   `json:"datagrams"` // UDP address for short messages
}

// Announcer maintains the daemon's own entry and reads the entries of the others. Set the exported
// fields before Run.
type Announcer struct {
	Self    Member
	Store   storer.Store     // writes the daemon's own entry
	Reader  storer.Reader    // reads all entries; they may be some seconds out of date
	Readers follower.Readers // if nil, this daemon reads the object API directly
	Log     zerolog.Logger

	once     sync.Once
	done     chan struct{}
	follower *follower.Follower

	mu      sync.Mutex
	listing *follower.Listing // the listing that members was decoded from
	members []Member
}

func (a *Announcer) init() {
	a.once.Do(func() {
		a.done = make(chan struct{})
		a.follower = &follower.Follower{
			Source: a.Reader, Prefix: Prefix, StalenessBound: stalenessBound, Readers: a.Readers, DisableWatch: true, Log: a.Log,
		}
	})
}

// Done returns a channel that is closed when Run has returned.
func (a *Announcer) Done() <-chan struct{} {
	a.init()
	return a.done
}

// Follower returns the replica of the entries.
func (a *Announcer) Follower() *follower.Follower {
	a.init()
	return a.follower
}

// Changed returns a channel that is closed when the entries next change.
func (a *Announcer) Changed() <-chan struct{} {
	a.init()
	return a.follower.Changed()
}

// Members returns the known daemons. The slice is shared and must not be modified.
func (a *Announcer) Members() []Member {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	listing := a.follower.Listing()
	if listing == a.listing {
		return a.members
	}
	a.listing = listing
	a.members = nil
	for key, object := range listing.Objects {
		var m Member
		if err := json.Unmarshal(object.Value, &m); err != nil {
			a.Log.Warn().Err(err).Str("key", key).Msg("member-entry-refused")
			continue
		}
		a.members = append(a.members, m)
	}
	return a.members
}

// Run writes the daemon's own entry and follows all entries until ctx is done.
func (a *Announcer) Run(ctx context.Context) error {
	a.init()
	defer close(a.done)
	go a.announce(ctx)
	return a.follower.Run(ctx)
}

// announce writes the daemon's own entry, and writes it again whenever it is missing: a store that was
// restored from a backup may have lost it. An unchanged entry from an earlier start is kept.
func (a *Announcer) announce(ctx context.Context) {
	var written storer.Version // 0 until the entry has been written
	for ctx.Err() == nil {
		changed := a.follower.Changed()
		if written == 0 || a.lost(written) {
			version, err := a.writeEntry(ctx)
			if err != nil {
				a.Log.Warn().Err(err).Msg("announcement-failed")
				select {
				case <-ctx.Done():
				case <-time.After(retryDelay):
				}
				continue
			}
			written = version
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// lost reports whether a listing of a later era than the entry doesn't have it.
func (a *Announcer) lost(written storer.Version) bool {
	listing := a.follower.Listing()
	if listing == nil || listing.Version.Era() <= written.Era() {
		return false
	}
	_, present := listing.Objects[a.key()]
	return !present
}

func (a *Announcer) key() string { return Prefix + string(a.Self.Host) }

// writeEntry writes the entry and returns its version.
func (a *Announcer) writeEntry(ctx context.Context) (storer.Version, error) {
	value, err := json.Marshal(a.Self)
	if err != nil {
		return 0, errors.Wrap(err, "encode member")
	}
	written, err := a.Store.Put(ctx, a.key(), value, 0)
	if !errors.Is(err, storer.ErrConflict) {
		return written.Version, err
	}
	old, err := a.Store.Get(ctx, a.key())
	if err != nil || string(old.Value) == string(value) {
		return old.Version, err
	}
	written, err = a.Store.Put(ctx, a.key(), value, old.Version)
	return written.Version, err
}

// Deregister deletes the daemon's own entry.
func (a *Announcer) Deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	old, err := a.Store.Get(ctx, a.key())
	if err == nil {
		err = a.Store.Delete(ctx, a.key(), old.Version)
	}
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		a.Log.Warn().Err(err).Msg("entry-not-removed")
	}
}
