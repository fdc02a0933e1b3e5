package follower_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"apricotspool/follower"
	"apricotspool/imitator"
	"apricotspool/storer"
)

const prefix = "servers/"

// faultyStore is a store whose watches and lists can be made to fail or to hang.
type faultyStore struct {
	*imitator.Store

	mu          sync.Mutex // guards the fields below
	hangWatches bool       // watches return nothing until they time out
	fault       error      // returned by lists and watches
	partitioned bool       // calls hang until their timeout, also those in progress when the partition ends
	calls       int
	connected   context.Context // done when the waiting watches are cut; nil before the first cut
	disconnect  context.CancelFunc
}

func newFaultyStore() *faultyStore { return &faultyStore{Store: &imitator.Store{}} }

// set makes watches hang, makes calls fail, or restores them.
func (s *faultyStore) set(hangWatches bool, fault error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangWatches, s.fault = hangWatches, fault
}

// cut resets all calls in progress and makes new ones fail, or lets calls through again.
func (s *faultyStore) cut(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault = nil; on {
		s.fault = storer.ErrUnavailable
		s.disconnect()
	}
	s.connected, s.disconnect = context.WithCancel(context.Background())
}

// partition makes calls hang, or lets new calls through again.
func (s *faultyStore) partition(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned = on
}

// hang blocks for the call timeout of an object API client while the store is partitioned.
func (s *faultyStore) hang(ctx context.Context) error {
	s.mu.Lock()
	partitioned := s.partitioned
	s.mu.Unlock()
	if !partitioned {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	return storer.ErrUnavailable
}

// call counts a call and returns the faults to inject.
func (s *faultyStore) call() (hangWatches bool, fault error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.hangWatches, s.fault
}

func (s *faultyStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *faultyStore) List(ctx context.Context, prefix, after string, limit int) (storer.Page, error) {
	if err := s.hang(ctx); err != nil {
		return storer.Page{}, err
	}
	if _, fault := s.call(); fault != nil {
		return storer.Page{}, fault
	}
	return s.Store.List(ctx, prefix, after, limit)
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, since storer.Version) (storer.Changes, error) {
	if err := s.hang(ctx); err != nil {
		return storer.Changes{}, err
	}
	hangWatches, fault := s.call()
	if fault != nil {
		return storer.Changes{}, fault
	}
	if hangWatches {
		<-ctx.Done()
		return storer.Changes{}, storer.ErrUnavailable
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	if s.connected != nil {
		defer context.AfterFunc(s.connected, cancel)()
	}
	s.mu.Unlock()
	changes, err := s.Store.Watch(ctx, prefix, since)
	if err != nil && ctx.Err() != nil {
		err = storer.ErrUnavailable
	}
	return changes, err
}

func (s *faultyStore) put(t *testing.T, name string) storer.Object {
	t.Helper()
	old, _ := s.Get(t.Context(), prefix+name)
	object, err := s.Put(t.Context(), prefix+name, []byte(`{}`), old.Version)
	if err != nil {
		t.Fatal(err)
	}
	return object
}

func (s *faultyStore) remove(t *testing.T, name string) {
	t.Helper()
	old, _ := s.Get(t.Context(), prefix+name)
	if err := s.Delete(t.Context(), prefix+name, old.Version); err != nil {
		t.Fatal(err)
	}
}

// fakeReaders connects a daemon to one reader.
type fakeReaders struct {
	mu          sync.Mutex // guards the fields below
	reader      *follower.Follower
	isReader    bool // the daemon is a reader itself
	unreachable bool // calls to the reader hang
}

func (r *fakeReaders) set(reader *follower.Follower, isReader, unreachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reader, r.isReader, r.unreachable = reader, isReader, unreachable
}

func (r *fakeReaders) IsReader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isReader
}

func (r *fakeReaders) Sync(ctx context.Context, request *follower.SyncRequest) (*follower.SyncReply, error) {
	r.mu.Lock()
	reader, unreachable := r.reader, r.unreachable
	r.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return reader.Serve(ctx, request), nil
}

func (r *fakeReaders) ReportStaleReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isReader = true
}

func run(t *testing.T, f *follower.Follower) {
	ctx, stop := context.WithCancel(t.Context())
	go f.Run(ctx)
	t.Cleanup(func() {
		stop()
		<-f.Done()
	})
}

func objectCount(l *follower.Listing) int {
	if l == nil {
		return -1
	}
	return len(l.Objects)
}

// stalenessBound is the staleness bound for configurations and for endpoints that leave.
const stalenessBound = 2 * time.Second
