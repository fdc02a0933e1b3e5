package resumer

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"apricotspool/generator"
	"apricotspool/namer"
)

// DefaultReturnLimit is how long a caller may stay away before its stream ends at the engine.
const DefaultReturnLimit = 30 * time.Second

// Abandoner ends a stream at its engine unless another connection reads it. A caller that has come
// back at another daemon is such a reader.
type Abandoner interface {
	Abandon(ctx context.Context, to generator.Target, stream namer.StreamID) error
}

// Canceller ends streams whose callers do not come back. It owns the list of these streams; engines
// end what a daemon forgets when it stops, by their own time limit.
type Canceller struct {
	Engine      Abandoner
	Log         zerolog.Logger
	ReturnLimit time.Duration // 0 means DefaultReturnLimit

	mu   sync.Mutex // guards left; not held during calls
	left map[namer.StreamID]*departure
}

// departure is one disconnection of a caller. Its address tells it from a later one of the same stream.
type departure struct{ timer *time.Timer }

// Leave notes that the caller of a stream is gone.
func (c *Canceller) Leave(at generator.Target, stream namer.StreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left == nil {
		c.left = map[namer.StreamID]*departure{}
	}
	if old := c.left[stream]; old != nil {
		old.timer.Stop()
	}
	d := &departure{}
	d.timer = time.AfterFunc(orDefault(c.ReturnLimit, DefaultReturnLimit), func() {
		if c.forget(stream, d) {
			c.end(at, stream)
		}
	})
	c.left[stream] = d
}

// Return notes that the caller of a stream is back at this daemon.
func (c *Canceller) Return(stream namer.StreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.left[stream]; d != nil {
		d.timer.Stop()
		delete(c.left, stream)
	}
}

// forget reports whether the departure is still the last one of its stream.
func (c *Canceller) forget(stream namer.StreamID, d *departure) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left[stream] != d {
		return false
	}
	delete(c.left, stream)
	return true
}

func (c *Canceller) end(at generator.Target, stream namer.StreamID) {
	ctx, stop := context.WithTimeout(context.Background(), generator.DefaultTimeout)
	defer stop()
	if err := c.Engine.Abandon(ctx, at, stream); err != nil {
		c.Log.Warn().Err(err).Str("stream", string(stream)).Msg("stream-not-cancelled")
	}
}
