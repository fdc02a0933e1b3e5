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

// source is a store whose watches and lists can be made to fail or to hear nothing.
type source struct {
	*imitator.Store

	mu    sync.Mutex // guards the fields below
	deaf  bool       // watches hear nothing
	fault error      // of lists and watches
	cut   bool       // calls get no answer, those in progress at its end neither
	calls int
}

func newSource() *source { return &source{Store: &imitator.Store{}} }

// set makes the source deaf or faulty, or well again.
func (s *source) set(deaf bool, fault error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf, s.fault = deaf, fault
}

// cutOff lets calls hang, or new ones be answered again.
func (s *source) cutOff(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = on
}

// hang waits as long as a client of the object API does when the source is cut off.
func (s *source) hang(ctx context.Context) error {
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	if !cut {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	<-ctx.Done()
	return storer.ErrUnavailable
}

// call counts a call and returns how it goes wrong.
func (s *source) call() (deaf bool, fault error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.deaf, s.fault
}

func (s *source) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *source) List(ctx context.Context, prefix, after string, limit int) (storer.Page, error) {
	if err := s.hang(ctx); err != nil {
		return storer.Page{}, err
	}
	if _, fault := s.call(); fault != nil {
		return storer.Page{}, fault
	}
	return s.Store.List(ctx, prefix, after, limit)
}

func (s *source) Watch(ctx context.Context, prefix string, since storer.Version) (storer.Changes, error) {
	if err := s.hang(ctx); err != nil {
		return storer.Changes{}, err
	}
	deaf, fault := s.call()
	if fault != nil {
		return storer.Changes{}, fault
	}
	if deaf {
		<-ctx.Done()
		return storer.Changes{}, storer.ErrUnavailable
	}
	return s.Store.Watch(ctx, prefix, since)
}

func (s *source) put(t *testing.T, name string) storer.Object {
	t.Helper()
	old, _ := s.Get(t.Context(), prefix+name)
	object, err := s.Put(t.Context(), prefix+name, []byte(`{}`), old.Version)
	if err != nil {
		t.Fatal(err)
	}
	return object
}

func (s *source) remove(t *testing.T, name string) {
	t.Helper()
	old, _ := s.Get(t.Context(), prefix+name)
	if err := s.Delete(t.Context(), prefix+name, old.Version); err != nil {
		t.Fatal(err)
	}
}

// pair is a reader and a daemon that follows it.
type pair struct {
	mu     sync.Mutex // guards the fields below
	reader *follower.Follower
	reads  bool // the daemon reads for itself
	cut    bool // the reader can't be reached
}

func (p *pair) set(reader *follower.Follower, reads, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reader, p.reads, p.cut = reader, reads, cut
}

func (p *pair) Reads() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *pair) Sync(ctx context.Context, request *follower.SyncRequest) (*follower.SyncReply, error) {
	p.mu.Lock()
	reader, cut := p.reader, p.cut
	p.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return reader.Serve(ctx, request), nil
}

func (p *pair) Behind() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads = true
}

func run(t *testing.T, f *follower.Follower) {
	ctx, stop := context.WithCancel(t.Context())
	go f.Run(ctx)
	t.Cleanup(func() {
		stop()
		<-f.Done()
	})
}

func names(l *follower.Listing) int {
	if l == nil {
		return -1
	}
	return len(l.Objects)
}

// within is the bound for configurations and leaving endpoints.
const within = 2 * time.Second
