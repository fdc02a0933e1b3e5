// Package storer defines the interface to the platform's object API: versioned objects with conditional
// updates and watches. platform.Store is the client. Package storer/storertest has contract tests for
// implementations. The package owns no state.
package storer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Limits of the object API.
const (
	MaxValueBytes = 1 << 20
	MaxKeyBytes   = 512
	MaxListLimit  = 1000
)

// WatchTimeout bounds one watch. It exceeds the store's own limit.
const WatchTimeout = 45 * time.Second

// Object is one stored value.
type Object struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
	// Deleted marks an object that a watch reports as deleted; its Value is empty.
	Deleted bool `json:"deleted,omitzero"`
}

// Page is one page of a list.
type Page struct {
	Objects []Object `json:"objects"`
	// Version is the version of the store at the time of the list; a watch can continue from it.
	Version Version `json:"version"`
	// More reports that the list continues after the key Last, or after the last object if Last is empty.
	More bool `json:"more,omitzero"`
	// Last is the last key that the page covers. Its object may be missing from Objects, since it can't be decoded or
	// its key doesn't match the prefix.
	Last string `json:"last,omitzero"`
}

// Next returns the key after which the list continues.
func (p *Page) Next() string {
	if p.Last == "" && len(p.Objects) > 0 {
		return p.Objects[len(p.Objects)-1].Key
	}
	return p.Last
}

// Changes is the result of a watch.
type Changes struct {
	Objects []Object `json:"objects"`
	// Version is the version from which the next watch continues.
	Version Version `json:"version"`
}

// Reader is the part of the object API for listing and watching objects.
type Reader interface {
	List(ctx context.Context, prefix, after string, limit int) (Page, error)
	Watch(ctx context.Context, prefix string, since Version) (Changes, error)
}

// Store is the object API. The errors of all methods wrap one of the errors below.
type Store interface {
	// Get returns the latest version of an object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes an object if its current version is expect, or creates it if expect is 0. Otherwise it
	// fails with ErrConflict.
	Put(ctx context.Context, key string, value []byte, expect Version) (Object, error)
	// Delete deletes an object if its current version is expect.
	Delete(ctx context.Context, key string, expect Version) error
	// List returns objects whose keys start with prefix and are greater than after, sorted by key. The
	// store may return fewer than limit objects; Page.More reports whether there are more. A limit of 0
	// lets the store choose the page size.
	List(ctx context.Context, prefix, after string, limit int) (Page, error)
	// Watch blocks until an object whose key starts with prefix has a version greater than since, and
	// returns all such objects sorted by version. It returns no objects if the time limit of the call
	// expires. A blocked call counts as one call to the store. ErrHistoryGone means that the store has
	// discarded changes after since, or was restored from a backup; the caller must list the objects again.
	Watch(ctx context.Context, prefix string, since Version) (Changes, error)
}

// Error classes. Only after ErrUncertain may a failed write have taken effect.
var (
	ErrNotFound    = errors.New("object does not exist")
	ErrConflict    = errors.New("object version does not match")
	ErrTooLarge    = errors.New("key or value exceeds the size limit")
	ErrThrottled   = errors.New("store rejected the call because of its rate limit")
	ErrUnavailable = errors.New("store is unavailable; nothing was applied")
	ErrUncertain   = errors.New("store did not respond; the write may have been applied")
	ErrHistoryGone = errors.New("store has discarded changes after the requested version")
)
