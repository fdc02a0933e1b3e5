package follower_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"apricotspool/follower"
	"apricotspool/imitator"
	"apricotspool/storer"
)

// pagedStore lists one key a page and leaves out the objects that can't be decoded, as the client of the store does.
type pagedStore struct {
	*imitator.Store
	odd map[string]bool
	// stuck makes every page end at the same key.
	stuck bool
}

func (s *pagedStore) List(ctx context.Context, prefix, after string, _ int) (storer.Page, error) {
	page, err := s.Store.List(ctx, prefix, after, 1)
	if err != nil || len(page.Objects) == 0 {
		return page, err
	}
	page.Last = page.Objects[0].Key
	if s.odd[page.Last] {
		page.Objects = nil
	}
	if s.stuck {
		page.More, page.Last = true, prefix
	}
	return page, nil
}

// Guards against a list that ends at a page which holds nothing but an odd object, such as one as large as a page. The
// endpoints after it were taken for gone.
func TestListContinuesAfterOddPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &pagedStore{Store: &imitator.Store{}, odd: map[string]bool{prefix + "b": true}}
		for _, name := range []string{"a", "b", "c"} {
			_, err := store.Put(t.Context(), prefix+name, []byte(`{}`), 0)
			is.NoErr(err)
		}
		f := &follower.Follower{Source: store, Prefix: prefix}
		ctx, stop := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		is.Equal(len(f.Listing().Objects), 2)
		_, present := f.Listing().Objects[prefix+"c"]
		is.True(present)
		stop()
		<-f.Done()
	})
}

// Guards against a list without an end, and against one that is taken for complete, if its pages don't advance.
func TestListThatDoesNotAdvanceFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &pagedStore{Store: &imitator.Store{}, stuck: true}
		_, err := store.Put(t.Context(), prefix+"a", []byte(`{}`), 0)
		is.NoErr(err)
		f := &follower.Follower{Source: store, Prefix: prefix}
		ctx, stop := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		is.True(f.Listing() == nil)
		stop()
		<-f.Done()
	})
}

// Guards against one huge object that makes the replies to all other daemons exceed their limit.
func TestLargeValuesAreNotReplicated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &imitator.Store{}
		put := func(name string, size int) {
			_, err := store.Put(t.Context(), prefix+name, make([]byte, size), 0)
			is.NoErr(err)
		}
		put("listed", 101)
		f := &follower.Follower{Source: store, Prefix: prefix, MaxValueBytes: 100}
		ctx, stop := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		put("watched", 101)
		put("sound", 100)
		synctest.Wait()
		reply := f.Serve(ctx, &follower.SyncRequest{Prefix: prefix})
		is.Equal(len(reply.Objects), 3)
		for _, o := range reply.Objects {
			is.Equal(len(o.Value) == 100, o.Key == prefix+"sound")
			is.True(len(o.Value) <= 100)
		}
		stop()
		<-f.Done()
	})
}

// oddReaders is a reader with the same reply to each call.
type oddReaders struct{ reply follower.SyncReply }

func (oddReaders) IsReader() bool     { return false }
func (oddReaders) ReportStaleReader() {}

func (r oddReaders) Sync(context.Context, *follower.SyncRequest) (*follower.SyncReply, error) {
	time.Sleep(10 * time.Millisecond)
	return &r.reply, nil
}

// Guards against a reply with absurd values that keeps a daemon from reading the store itself: with a confirmation in the
// future its replica never became stale.
func TestOddReplyOfReaderIsRefused(t *testing.T) {
	for name, reply := range map[string]follower.SyncReply{
		"negative age":       {Ready: true, Full: true, Version: 1, Age: -100 * time.Hour},
		"negative hold":      {Ready: true, Full: true, Version: 1, Held: -100 * time.Hour},
		"era in the future":  {Ready: true, Full: true, Version: 1, EraAge: -100 * time.Hour},
		"object of a prefix": {Ready: true, Full: true, Version: 1, Objects: []storer.Object{{Key: "other/a", Version: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newFaultyStore()
				f := &follower.Follower{Source: store, Prefix: prefix, StalenessBound: stalenessBound, Readers: oddReaders{reply}}
				run(t, f)
				time.Sleep(time.Second)
				store.put(t, "a")
				time.Sleep(2 * stalenessBound)
				is.Equal(objectCount(f.Listing()), 1)
				_, present := f.Listing().Objects[prefix+"a"]
				is.True(present)
			})
		})
	}
}
