// Package imitator provides in-memory fakes of the platform: object API, host list, model engine, plain
// service and peer network. It is used only by the dev command, the standin program and tests.
package imitator

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"apricotspool/storer"
)

// DefaultWatchLimit is the default time after which a watch without changes returns an empty list.
const DefaultWatchLimit = 20 * time.Second

// Store is an in-memory object API. It implements storer.Store; platform/platformtest serves it over HTTP.
type Store struct {
	WatchLimit time.Duration // 0 means DefaultWatchLimit

	// Fault, if set, is called before each call and returns the fault to inject. Set it before first use.
	// It is called without locks held, so that it may block.
	Fault func(ctx context.Context, kind, key string) Fault

	mu          sync.Mutex // guards the fields below; held only for map operations
	objects     map[string]storer.Object
	deleted     map[string]storer.Version
	compactedAt storer.Version // history up to this version has been compacted
	era         storer.Era
	last        storer.Version
	changed     chan struct{} // closed and replaced at each write
	calls       map[string]int
}

// Fault is a fault injected into one call to the store; the zero value injects none.
type Fault struct {
	Err  error // returned without any effect of the call
	Lost error // returned after the write has taken effect
}

var _ storer.Store = (*Store)(nil)

func (s *Store) lock() {
	s.mu.Lock()
	if s.objects == nil {
		s.objects = map[string]storer.Object{}
		s.deleted = map[string]storer.Version{}
		s.changed = make(chan struct{})
		s.calls = map[string]int{}
	}
}

func (s *Store) beginCall(ctx context.Context, kind, key string) Fault {
	s.lock()
	s.calls[kind]++
	s.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return Fault{Err: storer.ErrUnavailable}
	}
	if s.Fault == nil {
		return Fault{}
	}
	return s.Fault(ctx, kind, key)
}

// Calls returns the number of calls by kind.
func (s *Store) Calls() map[string]int {
	s.lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.calls))
	for kind, n := range s.calls {
		counts[kind] = n
	}
	return counts
}

// Get returns the newest version of an object.
func (s *Store) Get(ctx context.Context, key string) (storer.Object, error) {
	if f := s.beginCall(ctx, "get", key); f.Err != nil || f.Lost != nil {
		return storer.Object{}, firstError(f.Err, f.Lost)
	}
	s.lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return storer.Object{}, storer.ErrNotFound
	}
	return cloneObject(object), nil
}

// Put writes an object if its version is still expect.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect storer.Version) (storer.Object, error) {
	f := s.beginCall(ctx, "put", key)
	if f.Err != nil {
		return storer.Object{}, f.Err
	}
	if len(value) > storer.MaxValueBytes || len(key) > storer.MaxKeyBytes {
		return storer.Object{}, storer.ErrTooLarge
	}
	s.lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != expect {
		return storer.Object{}, firstError(f.Lost, storer.ErrConflict)
	}
	s.last++
	object := storer.Object{Key: key, Version: s.last, Value: bytes.Clone(value)}
	s.objects[key] = object
	delete(s.deleted, key)
	s.notifyWatches()
	if f.Lost != nil {
		return storer.Object{}, f.Lost
	}
	return cloneObject(object), nil
}

// Delete removes an object if its version is still expect.
func (s *Store) Delete(ctx context.Context, key string, expect storer.Version) error {
	f := s.beginCall(ctx, "delete", key)
	if f.Err != nil {
		return f.Err
	}
	s.lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return firstError(f.Lost, storer.ErrNotFound)
	}
	if object.Version != expect {
		return firstError(f.Lost, storer.ErrConflict)
	}
	s.last++
	delete(s.objects, key)
	s.deleted[key] = s.last
	s.notifyWatches()
	return f.Lost
}

// List returns objects whose keys have the prefix and follow after.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) (storer.Page, error) {
	if f := s.beginCall(ctx, "list", prefix); f.Err != nil || f.Lost != nil {
		return storer.Page{}, firstError(f.Err, f.Lost)
	}
	s.lock()
	defer s.mu.Unlock()
	var found []storer.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, cloneObject(object))
		}
	}
	slices.SortFunc(found, func(a, b storer.Object) int { return strings.Compare(a.Key, b.Key) })
	page := storer.Page{Objects: found, Version: s.last}
	if limit > 0 && len(found) > limit {
		page.Objects, page.More = found[:limit], true
	}
	return page, nil
}

// WithWatchLimit returns a view of the store with a different limit on the duration of a watch.
func WithWatchLimit(s *Store, watchLimit time.Duration) storer.Reader { return limited{s, watchLimit} }

type limited struct {
	*Store
	watchLimit time.Duration
}

// Watch waits for objects below prefix that are newer than since.
func (l limited) Watch(ctx context.Context, prefix string, since storer.Version) (storer.Changes, error) {
	return l.Store.watch(ctx, prefix, since, l.watchLimit)
}

// Watch waits for objects below prefix that are newer than since.
func (s *Store) Watch(ctx context.Context, prefix string, since storer.Version) (storer.Changes, error) {
	limit := s.WatchLimit
	if limit == 0 {
		limit = DefaultWatchLimit
	}
	return s.watch(ctx, prefix, since, limit)
}

func (s *Store) watch(ctx context.Context, prefix string, since storer.Version, limit time.Duration) (storer.Changes, error) {
	if f := s.beginCall(ctx, "watch", prefix); f.Err != nil || f.Lost != nil {
		return storer.Changes{}, firstError(f.Err, f.Lost)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		changes, changed, known := s.changesSince(prefix, since)
		if !known {
			return storer.Changes{}, storer.ErrHistoryGone
		}
		if len(changes.Objects) > 0 {
			return changes, nil
		}
		select {
		case <-ctx.Done():
			return storer.Changes{}, storer.ErrUnavailable
		case <-timer.C:
			return changes, nil
		case <-changed:
		}
	}
}

func (s *Store) changesSince(prefix string, since storer.Version) (storer.Changes, <-chan struct{}, bool) {
	s.lock()
	defer s.mu.Unlock()
	var found []storer.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) && object.Version > since {
			found = append(found, cloneObject(object))
		}
	}
	for key, version := range s.deleted {
		if strings.HasPrefix(key, prefix) && version > since {
			found = append(found, storer.Object{Key: key, Version: version, Deleted: true})
		}
	}
	slices.SortFunc(found, func(a, b storer.Object) int { return int(a.Version) - int(b.Version) })
	return storer.Changes{Objects: found, Version: max(since, s.last)}, s.changed, since >= s.compactedAt
}

// Backup is a copy of the store's content.
type Backup struct {
	objects map[string]storer.Object
	last    storer.Version
}

// Backup returns a copy of the store's content.
func (s *Store) Backup() Backup {
	s.lock()
	defer s.mu.Unlock()
	return Backup{objects: maps.Clone(s.objects), last: s.last}
}

// Restore replaces the content by a backup and begins a new era, in which revisions after the backup are given
// out again. The history of the era before is gone.
func (s *Store) Restore(b Backup) {
	s.lock()
	defer s.mu.Unlock()
	s.era = max(s.era, 1) + 1
	s.objects = map[string]storer.Object{}
	for key, object := range b.objects {
		object.Version = storer.NewVersion(s.era, object.Version.Revision())
		s.objects[key] = object
	}
	clear(s.deleted)
	s.last = storer.NewVersion(s.era, b.last.Revision())
	s.compactedAt = s.last
	s.notifyWatches()
}

// Era returns the store's era.
func (s *Store) Era() storer.Era {
	s.lock()
	defer s.mu.Unlock()
	return s.era
}

// Compact discards the history: a watch from an earlier version fails.
func (s *Store) Compact() {
	s.lock()
	defer s.mu.Unlock()
	clear(s.deleted)
	s.compactedAt = s.last
	s.notifyWatches()
}

// notifyWatches wakes all watches to check for changes. The caller holds the lock.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func cloneObject(o storer.Object) storer.Object {
	o.Value = bytes.Clone(o.Value)
	return o
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
