// Package storertest provides contract tests for implementations of storer.Store.
package storertest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"apricotspool/storer"
)

// Run tests a store that has no objects with the prefix "contract/".
func Run(t *testing.T, store storer.Store) {
	t.Run("create, read, update and delete", func(t *testing.T) { lifecycle(t, store) })
	t.Run("a conditional write with a stale version has no effect", func(t *testing.T) { conflicts(t, store) })
	t.Run("exactly one of many concurrent creates succeeds", func(t *testing.T) { concurrentCreates(t, store) })
	t.Run("list returns pages sorted by key", func(t *testing.T) { lists(t, store) })
	t.Run("watch returns writes and deletions in order", func(t *testing.T) { watches(t, store) })
	t.Run("a value over the size limit is rejected", func(t *testing.T) { limits(t, store) })
}

func lifecycle(t *testing.T, store storer.Store) {
	is := is.New(t)
	ctx := t.Context()
	_, err := store.Get(ctx, "contract/a/b c?&é")
	is.True(errors.Is(err, storer.ErrNotFound))
	created, err := store.Put(ctx, "contract/a/b c?&é", []byte("one"), 0)
	is.NoErr(err)
	updated, err := store.Put(ctx, created.Key, []byte("two"), created.Version)
	is.NoErr(err)
	is.True(updated.Version > created.Version)
	read, err := store.Get(ctx, created.Key)
	is.NoErr(err)
	is.Equal(string(read.Value), "two")
	is.Equal(read.Version, updated.Version)
	is.NoErr(store.Delete(ctx, created.Key, updated.Version))
	_, err = store.Get(ctx, created.Key)
	is.True(errors.Is(err, storer.ErrNotFound))
	recreated, err := store.Put(ctx, created.Key, []byte("three"), 0)
	is.NoErr(err)
	is.True(recreated.Version > updated.Version) // versions are never reused
}

func conflicts(t *testing.T, store storer.Store) {
	is := is.New(t)
	ctx := t.Context()
	first, err := store.Put(ctx, "contract/conflict", []byte("1"), 0)
	is.NoErr(err)
	_, err = store.Put(ctx, "contract/conflict", []byte("x"), 0)
	is.True(errors.Is(err, storer.ErrConflict))
	_, err = store.Put(ctx, "contract/conflict", []byte("2"), first.Version)
	is.NoErr(err)
	_, err = store.Put(ctx, "contract/conflict", []byte("x"), first.Version)
	is.True(errors.Is(err, storer.ErrConflict))
	is.True(errors.Is(store.Delete(ctx, "contract/conflict", first.Version), storer.ErrConflict))
	read, err := store.Get(ctx, "contract/conflict")
	is.NoErr(err)
	is.Equal(string(read.Value), "2")
}

func concurrentCreates(t *testing.T, store storer.Store) {
	is := is.New(t)
	const writers = 16
	var mu sync.Mutex
	winners := 0
	var group sync.WaitGroup
	for i := range writers {
		group.Go(func() {
			_, err := store.Put(t.Context(), "contract/race", fmt.Append(nil, i), 0)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				winners++
			}
		})
	}
	group.Wait()
	is.Equal(winners, 1)
}

func lists(t *testing.T, store storer.Store) {
	is := is.New(t)
	ctx := t.Context()
	for _, key := range []string{"contract/list/c", "contract/list/a", "contract/list/b", "contract/other"} {
		_, err := store.Put(ctx, key, []byte(key), 0)
		is.NoErr(err)
	}
	page, err := store.List(ctx, "contract/list/", "", 2)
	is.NoErr(err)
	is.Equal(len(page.Objects), 2)
	is.Equal(page.Objects[1].Key, "contract/list/b")
	is.True(page.More)
	page, err = store.List(ctx, "contract/list/", page.Objects[1].Key, 2)
	is.NoErr(err)
	is.Equal(len(page.Objects), 1)
	is.Equal(string(page.Objects[0].Value), "contract/list/c")
	is.True(!page.More)
	is.True(page.Version >= page.Objects[0].Version)
}

func watches(t *testing.T, store storer.Store) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	first, err := store.Put(ctx, "contract/watch/a", []byte("1"), 0)
	is.NoErr(err)
	watched := make(chan storer.Changes, 1)
	go func() {
		changes, err := store.Watch(ctx, "contract/watch/", first.Version)
		if err == nil {
			watched <- changes
		}
		close(watched)
	}()
	second, err := store.Put(ctx, "contract/watch/b", []byte("2"), 0)
	is.NoErr(err)
	changes := <-watched
	is.Equal(len(changes.Objects), 1)
	is.Equal(changes.Objects[0].Version, second.Version)
	is.True(changes.Version >= second.Version)
	is.NoErr(store.Delete(ctx, "contract/watch/a", first.Version))
	changes, err = store.Watch(ctx, "contract/watch/", second.Version)
	is.NoErr(err)
	is.Equal(len(changes.Objects), 1)
	is.True(changes.Objects[0].Deleted)
}

func limits(t *testing.T, store storer.Store) {
	is := is.New(t)
	_, err := store.Put(t.Context(), "contract/large", make([]byte, storer.MaxValueBytes+1), 0)
	is.True(errors.Is(err, storer.ErrTooLarge))
}
