package distributor

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"apricotspool/recorder"
	"apricotspool/storer"
)

// Rate limit of one daemon's configuration calls to the object API. A commit takes two calls, or up to
// six when it writes a history segment and a snapshot; a watcher makes three calls per minute.
const (
	storeRate  = 5  // calls per second
	storeBurst = 20 // calls
)

// rateLimitedStore counts the calls to a store and limits their rate. A call over the limit fails with
// ErrThrottled and has no effect.
type rateLimitedStore struct {
	store   storer.Store
	limiter *rate.Limiter
	metrics *recorder.Metrics
}

var _ storer.Store = (*rateLimitedStore)(nil)

func newRateLimitedStore(store storer.Store, metrics *recorder.Metrics) *rateLimitedStore {
	return &rateLimitedStore{store: store, limiter: rate.NewLimiter(storeRate, storeBurst), metrics: metrics}
}

func (s *rateLimitedStore) allow(kind string) error {
	if !s.limiter.Allow() {
		s.metrics.Counter(`apricotspool_configuration_store_calls_total{call="` + kind + `",result="over-rate"}`).Inc()
		return errors.Wrapf(storer.ErrThrottled, "%s call exceeds this daemon's own rate limit", kind)
	}
	return nil
}

func (s *rateLimitedStore) count(kind string, err error) {
	result := "ok"
	if err != nil && !errors.Is(err, storer.ErrNotFound) && !errors.Is(err, storer.ErrConflict) {
		result = "failed"
	}
	s.metrics.Counter(`apricotspool_configuration_store_calls_total{call="` + kind + `",result="` + result + `"}`).Inc()
}

func (s *rateLimitedStore) Get(ctx context.Context, key string) (storer.Object, error) {
	if err := s.allow("get"); err != nil {
		return storer.Object{}, err
	}
	object, err := s.store.Get(ctx, key)
	s.count("get", err)
	return object, err
}

func (s *rateLimitedStore) Put(ctx context.Context, key string, value []byte, expect storer.Version) (storer.Object, error) {
	if err := s.allow("put"); err != nil {
		return storer.Object{}, err
	}
	object, err := s.store.Put(ctx, key, value, expect)
	s.count("put", err)
	return object, err
}

func (s *rateLimitedStore) Delete(ctx context.Context, key string, expect storer.Version) error {
	if err := s.allow("delete"); err != nil {
		return err
	}
	err := s.store.Delete(ctx, key, expect)
	s.count("delete", err)
	return err
}

func (s *rateLimitedStore) List(ctx context.Context, prefix, after string, limit int) (storer.Page, error) {
	if err := s.allow("list"); err != nil {
		return storer.Page{}, err
	}
	page, err := s.store.List(ctx, prefix, after, limit)
	s.count("list", err)
	return page, err
}

func (s *rateLimitedStore) Watch(ctx context.Context, prefix string, since storer.Version) (storer.Changes, error) {
	if err := s.allow("watch"); err != nil {
		return storer.Changes{}, err
	}
	changes, err := s.store.Watch(ctx, prefix, since)
	s.count("watch", err)
	return changes, err
}
