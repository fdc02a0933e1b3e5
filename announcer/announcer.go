// Package announcer lets the daemons of a fleet discover each other through the object API: each daemon
// writes an entry for itself and reads the entries of the others. An entry is no evidence that its
// daemon is alive; callers detect and skip daemons that do not respond.
package announcer

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/decider"
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
	// BlockedParts are the prompt parts that the daemon keeps for all.
	BlockedParts []decider.BlockedPart `json:"blocked-parts,omitempty"`
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
	outdated chan struct{} // signals that the entry differs from the one that was written
	follower *follower.Follower
	written  []byte // the entry that was written last; used by announce only

	leaving atomic.Bool // the entry was removed, or is about to be

	mu      sync.Mutex
	listing *follower.Listing // the listing that members was decoded from
	members []Member
	refused map[string]bool       // keys of that listing that could not be decoded
	blocked []decider.BlockedPart // nil until the daemon has set them; then those of the old entry are kept
}

func (a *Announcer) init() {
	a.once.Do(func() {
		a.done = make(chan struct{})
		a.outdated = make(chan struct{}, 1)
		a.follower = &follower.Follower{
			Source: a.Reader, Prefix: Prefix, StalenessBound: stalenessBound, Readers: a.Readers, DisableWatch: true,
			MaxValueBytes: follower.MaxEntryBytes, Log: a.Log,
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
	refused := map[string]bool{}
	for key, object := range listing.Objects {
		m, err := decodeMember(key, object.Value)
		if err == nil {
			a.members = append(a.members, m)
			continue
		}
		if refused[key] = true; !a.refused[key] {
			a.Log.Warn().Err(err).Str("key", key).Msg("member-entry-refused")
		}
	}
	a.refused = refused
	return a.members
}

// decodeMember decodes the entry of a daemon. Other clients may have written it.
func decodeMember(key string, value []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(value, &m); err != nil {
		return Member{}, errors.Wrapf(err, "decode entry %q", key)
	}
	if key != Prefix+string(m.Host) {
		return Member{}, errors.Errorf("entry %q is of host %q", key, m.Host)
	}
	for _, address := range []netip.AddrPort{m.PeerAddress, m.DatagramAddress} {
		if !namer.IsListenAddress(address) {
			return Member{}, errors.Errorf("entry %q has address %v, which no daemon can have", key, address)
		}
	}
	return m, nil
}

// Run writes the daemon's own entry and follows all entries until ctx is done.
func (a *Announcer) Run(ctx context.Context) error {
	a.init()
	defer close(a.done)
	go a.announce(ctx)
	return a.follower.Run(ctx)
}

// SetBlockedParts replaces the prompt parts in the daemon's own entry. The parts of an entry from an earlier start are
// kept until then.
func (a *Announcer) SetBlockedParts(parts []decider.BlockedPart) {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.blocked != nil && slices.Equal(a.blocked, parts) {
		return
	}
	a.blocked = append([]decider.BlockedPart{}, parts...)
	select {
	case a.outdated <- struct{}{}:
	default: // signalled already
	}
}

// announce writes the daemon's own entry, and writes it again when it changes or is missing: a store that was
// restored from a backup may have lost it, or a late removal has deleted it. An unchanged entry from an earlier start is kept.
func (a *Announcer) announce(ctx context.Context) {
	var written storer.Version // 0 until the entry has been written
	outdated := true
	for ctx.Err() == nil {
		changed := a.follower.Changed()
		if a.lost(written) || a.overwritten(written) {
			written, outdated = 0, true
		}
		if outdated && !a.leaving.Load() {
			version, err := a.writeEntry(ctx, written)
			if err != nil {
				written = 0 // the entry is read before the next attempt
				a.Log.Warn().Err(err).Msg("announcement-failed")
				select {
				case <-ctx.Done():
				case <-time.After(retryDelay):
				}
				continue
			}
			written, outdated = version, false
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-a.outdated:
			outdated = true
		}
	}
}

// lost reports whether a listing that is newer than the entry doesn't have it. Nobody but the daemon itself removes it, yet the
// store may carry out late what an earlier process on this host has sent.
func (a *Announcer) lost(written storer.Version) bool {
	listing := a.follower.Listing()
	if written == 0 || listing == nil || listing.Version <= written {
		return false
	}
	_, present := listing.Objects[a.key()]
	return !present
}

// overwritten reports whether another client has replaced the entry by something else.
func (a *Announcer) overwritten(written storer.Version) bool {
	listing := a.follower.Listing()
	if written == 0 || listing == nil {
		return false
	}
	found, present := listing.Objects[a.key()]
	return present && found.Version > written && string(found.Value) != string(a.written)
}

func (a *Announcer) key() string { return Prefix + string(a.Self.Host) }

// writeEntry writes the entry over the version that was written last, unless it is the same, and returns the new
// version.
func (a *Announcer) writeEntry(ctx context.Context, last storer.Version) (storer.Version, error) {
	value, err := a.encodeEntry(nil)
	if err != nil || (last != 0 && string(value) == string(a.written)) {
		return last, err
	}
	written, err := a.Store.Put(ctx, a.key(), value, last)
	if errors.Is(err, storer.ErrConflict) {
		var old storer.Object
		if old, err = a.Store.Get(ctx, a.key()); err != nil {
			return 0, err
		}
		if value, err = a.encodeEntry(old.Value); err != nil {
			return 0, err
		}
		if written = old; string(old.Value) != string(value) {
			written, err = a.Store.Put(ctx, a.key(), value, old.Version)
		}
	}
	if err == nil {
		a.written = value
	}
	return written.Version, err
}

// encodeEntry encodes the entry. Until the daemon has set its blocked parts, it keeps those of the old entry.
func (a *Announcer) encodeEntry(old []byte) ([]byte, error) {
	entry := a.Self
	a.mu.Lock()
	entry.BlockedParts = a.blocked
	known := a.blocked != nil
	a.mu.Unlock()
	if !known && old != nil {
		var before Member
		if err := json.Unmarshal(old, &before); err != nil {
			a.Log.Warn().Err(err).Str("key", a.key()).Msg("member-entry-refused") // it is replaced
		}
		entry.BlockedParts = before.BlockedParts
	}
	value, err := json.Marshal(entry)
	return value, errors.Wrap(err, "encode member")
}

// Deregister deletes the daemon's own entry, which isn't written again.
func (a *Announcer) Deregister() {
	a.leaving.Store(true)
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
