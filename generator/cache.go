package generator

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"apricotspool/namer"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Number  uint64   `json:"number"` // counts up by one; a jump means that events were lost
	Added   []uint64 `json:"added,omitempty"`
	Dropped []uint64 `json:"dropped,omitempty"`
}

// CacheReport holds cache events in order. A new incarnation starts with an empty cache and number 1.
type CacheReport struct {
	Incarnation namer.Incarnation `json:"incarnation"`
	Events      []CacheEvent      `json:"events"`
}

// Cache asks for the cache events after a number.
func (c *Client) Cache(ctx context.Context, to Target, after uint64) (CacheReport, error) {
	var report CacheReport
	err := c.get(ctx, to, "/cache?after="+strconv.FormatUint(after, 10), &report)
	return report, errors.Wrapf(err, "cache of endpoint %q", to.Endpoint)
}
