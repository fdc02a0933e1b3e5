// Package announcer makes the daemons of a fleet known to each other through the object API: each one
// keeps an entry there, and reads the others'. An entry is no proof of life; who does not answer is
// left out by those that ask it.
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

// Prefix is where the daemons' entries are.
const Prefix = "gateways/"

const (
	// newsBound is the time within which a new daemon is known to the others. One that is gone is noticed by
	// those that ask it.
	newsBound = 5 * time.Second
	// retryDelay is the pause before a failed write is repeated.
	retryDelay = 500 * time.Millisecond
	// leaveTimeout bounds the removal of the own entry.
	leaveTimeout = time.Second
)

// Member is a daemon.
type Member struct {
	Host       namer.Host       `json:"host"`
	DataCentre namer.DataCentre `json:"data-centre"`
	Peers      netip.AddrPort   `json:"peers"`     // for calls
	Datagrams  netip.AddrPort   `json:"datagrams"` // for short messages
}

// Announcer keeps the own entry and reads the others'. Set the exported fields before Run.
type Announcer struct {
	Self    Member
	Store   storer.Store     // for the own entry
	Reader  storer.Reader    // for the others', where some seconds of age are no harm
	Readers follower.Readers // nil makes this daemon read for itself
	Log     zerolog.Logger

	once     sync.Once
	done     chan struct{}
	follower *follower.Follower

	mu      sync.Mutex
	listing *follower.Listing // that members was read from
	members []Member
}

func (a *Announcer) init() {
	a.once.Do(func() {
		a.done = make(chan struct{})
		a.follower = &follower.Follower{
			Source: a.Reader, Prefix: Prefix, StalenessBound: newsBound, Readers: a.Readers, DisableWatch: true, Log: a.Log,
		}
	})
}

// Done closes when Run has returned.
func (a *Announcer) Done() <-chan struct{} {
	a.init()
	return a.done
}

// Follower returns the copy of the entries.
func (a *Announcer) Follower() *follower.Follower {
	a.init()
	return a.follower
}

// Changed returns a channel that closes when the entries change.
func (a *Announcer) Changed() <-chan struct{} {
	a.init()
	return a.follower.Changed()
}

// Members returns the known daemons. The slice is shared and must not be changed.
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

// Run writes the own entry and follows the others until ctx ends.
func (a *Announcer) Run(ctx context.Context) error {
	a.init()
	defer close(a.done)
	go a.announce(ctx)
	return a.follower.Run(ctx)
}

// announce writes the own entry, unless it is there from an earlier start.
func (a *Announcer) announce(ctx context.Context) {
	for ctx.Err() == nil {
		err := a.write(ctx)
		if err == nil {
			return
		}
		a.Log.Warn().Err(err).Msg("announcement-failed")
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

func (a *Announcer) key() string { return Prefix + string(a.Self.Host) }

func (a *Announcer) write(ctx context.Context) error {
	value, err := json.Marshal(a.Self)
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	_, err = a.Store.Put(ctx, a.key(), value, 0)
	if !errors.Is(err, storer.ErrConflict) {
		return err
	}
	old, err := a.Store.Get(ctx, a.key())
	if err != nil || string(old.Value) == string(value) {
		return err
	}
	_, err = a.Store.Put(ctx, a.key(), value, old.Version)
	return err
}

// Leave removes the own entry.
func (a *Announcer) Leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	old, err := a.Store.Get(ctx, a.key())
	if err == nil {
		err = a.Store.Delete(ctx, a.key(), old.Version)
	}
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		a.Log.Warn().Err(err).Msg("entry-not-removed")
	}
}
