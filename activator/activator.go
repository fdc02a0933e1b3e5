// Package activator holds the configuration in force: the routing table, the directory of its keys, and how recently the store
// has confirmed that no newer configuration exists.
package activator

import (
	"sync"

	"github.com/rs/zerolog"

	"apricotspool/attester"
	"apricotspool/authenticator"
	"apricotspool/follower"
	"apricotspool/matcher"
	"apricotspool/storer"
	"apricotspool/timekeeper"
)

// Source is a replica of the configuration.
type Source interface {
	Listing() *follower.Listing
	Confirmation() follower.Confirmation
}

// Activator takes new configurations from a replica. Set the exported fields before use. Apply must not run concurrently with
// itself.
type Activator struct {
	Source Source
	Key    string // of the configuration in the store
	Decode func(value []byte) (*matcher.Table, error)
	// Clock is that of the replica's confirmations. It counts the time in which the machine is suspended.
	Clock  timekeeper.Clock
	Secret authenticator.Secret
	Bounds authenticator.Bounds
	// Attested reports whether a list in the store shows that nothing is missing there any more since its last restore; nil
	// means that none does.
	Attested func(attester.Record) bool
	Log      zerolog.Logger

	// seen is the version of the last configuration that was read, and valid whether the store then held nothing newer than
	// what is in force. Used by Apply only.
	seen  storer.Version
	valid bool

	mu        sync.Mutex // guards the fields below; not held during calls, except those of Source, Clock and Attested
	table     *matcher.Table
	directory *authenticator.Directory
	// newest is set while the configuration in force is the newest one as of the listing with the number changes.
	newest  bool
	changes uint64
	// confirmedAt is an instant at which the store held no newer configuration; meaningful if confirmed is set.
	confirmedAt timekeeper.Instant
	confirmed   bool
}

// Table returns the routing table in force, or nil before the first configuration.
func (a *Activator) Table() *matcher.Table {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table
}

// View returns the keys in force and their age.
func (a *Activator) View() authenticator.View {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.confirm()
	view := authenticator.View{Directory: a.directory, Bounds: a.Bounds, Confirmed: a.confirmed}
	if a.confirmed {
		view.Age = max(0, a.Clock().Sub(a.confirmedAt))
	}
	return view
}

// Confirm notes how recently the store has confirmed the configuration in force. It is called often enough that the age stays
// small also without requests: when the replica has changed, its earlier confirmations are gone.
func (a *Activator) Confirm() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.confirm()
}

// confirm takes over the replica's confirmation if it is about the listing that the configuration in force comes from. The
// confirmation of a later listing says nothing about it: the earlier one stays. Nor does that of a restored store, which may
// have lost a later configuration that the operator hasn't written again. The caller holds a.mu.
func (a *Activator) confirm() {
	c := a.Source.Confirmation()
	if a.newest && c.Known && c.Changes == a.changes && (c.Eras.Whole(c.At, attester.RewriteTime) || a.attested(c.Eras)) {
		a.confirmedAt, a.confirmed = c.At, true
	}
}

func (a *Activator) attested(eras attester.Record) bool { return a.Attested != nil && a.Attested(eras) }

// Apply activates the newest configuration, unless it is invalid or older than the one in force.
func (a *Activator) Apply() {
	listing := a.Source.Listing()
	if listing == nil {
		return
	}
	object, exists := listing.Objects[a.Key]
	switch {
	case !exists || object.Version < a.seen:
		a.supersede(listing.Changes, false)
		return
	case object.Version == a.seen:
		a.supersede(listing.Changes, a.valid)
		return
	}
	a.seen, a.valid = object.Version, false
	table, err := a.Decode(object.Value)
	if err != nil {
		a.Log.Error().Err(err).Msg("configuration-refused")
		a.supersede(listing.Changes, false)
		return
	}
	a.valid = true
	if old := a.Table(); old != nil && old.Version > table.Version {
		a.Log.Error().Uint64("version", uint64(table.Version)).Uint64("in-force", uint64(old.Version)).Msg("configuration-went-back")
		// A restored store holds nothing newer than what is in force. Until the operator has had the time to write again what
		// it has lost, that confirms nothing; see confirm.
		a.supersede(listing.Changes, true)
		return
	}
	a.activate(table, listing.Changes)
}

// supersede records the listing that the configuration in force was last compared with, and whether it is the newest there.
func (a *Activator) supersede(changes uint64, newest bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.newest, a.changes = newest, changes
}

func (a *Activator) activate(table *matcher.Table, changes uint64) {
	directory := authenticator.NewDirectory(a.Secret, table.Workspaces)
	a.mu.Lock()
	a.table, a.directory, a.newest, a.changes = table, directory, true, changes
	a.mu.Unlock()
	a.Log.Info().Uint64("version", uint64(table.Version)).Int("routes", len(table.Routes)).Int("workspaces", directory.Workspaces()).
		Msg("configuration-in-force")
	if shared := directory.SharedKeys(); shared > 0 {
		a.Log.Error().Int("keys", shared).Msg("keys-of-several-workspaces")
	}
}
