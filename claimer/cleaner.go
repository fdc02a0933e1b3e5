package claimer

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"apricotspool/leaser"
	"apricotspool/messenger"
	"apricotspool/storer"
)

const (
	// DeletionsPerSecond is far below the several hundred writes per second that the store can take.
	DeletionsPerSecond = 20
	// cleanPageSize is small, because a page includes the responses, of up to 1 MB each.
	cleanPageSize = 8
	// DefaultCleanInterval is the time between two sweeps.
	DefaultCleanInterval = time.Hour
	// leaseCheckInterval is the time between two checks whether this process holds the lease.
	leaseCheckInterval = 10 * time.Second
)

// Housekeeper grants the authority to remove expired objects while this process holds the housekeeping lease.
type Housekeeper interface {
	Housekeeping() (leaser.HousekeepingAuthority, bool)
}

// Cleaner removes claims when their retention time has passed. Set the exported fields before Run.
type Cleaner struct {
	Store    storer.Store
	Lease    Housekeeper
	Clock    leaser.Clock // nil means leaser.SystemClock
	Interval time.Duration
	Log      zerolog.Logger
}

// Run sweeps once per interval while this process holds the lease, until ctx is done.
func (c *Cleaner) Run(ctx context.Context) error {
	interval := c.Interval
	if interval == 0 {
		interval = DefaultCleanInterval
	}
	if c.Clock == nil {
		c.Clock = leaser.SystemClock{}
	}
	for {
		pause := leaseCheckInterval
		if authority, ok := c.Lease.Housekeeping(); ok {
			removed, err := c.sweep(ctx, authority)
			c.Log.Info().Err(err).Int("removed", removed).Msg("claims-swept")
			if err == nil {
				pause = interval
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

// sweep checks every claim once. Reads and deletions share one rate limit.
func (c *Cleaner) sweep(ctx context.Context, authority leaser.HousekeepingAuthority) (removed int, err error) {
	limiter := rate.NewLimiter(DeletionsPerSecond, 1)
	for after := ""; ; {
		if err := limiter.Wait(ctx); err != nil {
			return removed, err
		}
		page, err := c.Store.List(ctx, "claim/", after, cleanPageSize)
		if err != nil {
			return removed, errors.Wrap(err, "list claims")
		}
		for _, object := range page.Objects {
			if !c.expired(object) {
				continue
			}
			if err := limiter.Wait(ctx); err != nil {
				return removed, err
			}
			if err := c.remove(ctx, authority, object); err != nil {
				return removed, err
			}
			removed++
		}
		if !page.More {
			return removed, nil
		}
		if page.Next() <= after {
			return removed, errors.Errorf("list of claims doesn't advance after key %q", after)
		}
		after = page.Next()
	}
}

func (c *Cleaner) expired(object storer.Object) bool {
	var found claim
	if err := messenger.Unmarshal(object.Value, &found); err != nil {
		c.Log.Warn().Err(err).Str("claim", object.Key).Msg("claim-not-valid")
		return false
	}
	return found.expired(c.Clock.Now().Wall)
}

// remove deletes a claim unless it has changed since it was read.
func (c *Cleaner) remove(ctx context.Context, authority leaser.HousekeepingAuthority, object storer.Object) error {
	ctx, end, err := authority.Begin(ctx)
	if err != nil {
		return err
	}
	defer end()
	err = c.Store.Delete(ctx, object.Key, object.Version)
	if errors.Is(err, storer.ErrNotFound) || errors.Is(err, storer.ErrConflict) {
		return nil
	}
	return errors.Wrapf(err, "remove claim %q", object.Key)
}
