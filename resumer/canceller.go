package resumer

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"apricotspool/generator"
	"apricotspool/namer"
)

// DefaultReconnectTimeout is how long a caller may be disconnected before its stream is cancelled at the engine.
const DefaultReconnectTimeout = 30 * time.Second

// Abandoner ends a stream at its engine unless another connection reads it, such as that of a caller
// that has reconnected to another daemon.
type Abandoner interface {
	Abandon(ctx context.Context, to generator.Target, stream namer.StreamID) error
}

// Canceller ends streams whose callers do not reconnect. It owns the list of these streams, which is
// lost when the daemon stops; engines then end them after their own timeout.
type Canceller struct {
	Engine           Abandoner
	Log              zerolog.Logger
	ReconnectTimeout time.Duration // 0 means DefaultReconnectTimeout

	mu           sync.Mutex // guards disconnected; not held during calls
	disconnected map[namer.StreamID]*disconnection
}

// disconnection is one disconnection of a caller. Its pointer distinguishes it from a later one of the same stream.
type disconnection struct{ timer *time.Timer }

// CallerDisconnected records that the caller of a stream has disconnected. The stream ends after ReconnectTimeout.
func (c *Canceller) CallerDisconnected(at generator.Target, stream namer.StreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disconnected == nil {
		c.disconnected = map[namer.StreamID]*disconnection{}
	}
	if old := c.disconnected[stream]; old != nil {
		old.timer.Stop()
	}
	d := &disconnection{}
	d.timer = time.AfterFunc(orDefault(c.ReconnectTimeout, DefaultReconnectTimeout), func() {
		if c.removeIfCurrent(stream, d) {
			c.abandon(at, stream)
		}
	})
	c.disconnected[stream] = d
}

// CallerReconnected records that the caller of a stream has reconnected to this daemon.
func (c *Canceller) CallerReconnected(stream namer.StreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.disconnected[stream]; d != nil {
		d.timer.Stop()
		delete(c.disconnected, stream)
	}
}

// removeIfCurrent removes a disconnection if it is still the latest one of its stream, and reports whether it was.
func (c *Canceller) removeIfCurrent(stream namer.StreamID, d *disconnection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disconnected[stream] != d {
		return false
	}
	delete(c.disconnected, stream)
	return true
}

func (c *Canceller) abandon(at generator.Target, stream namer.StreamID) {
	ctx, stop := context.WithTimeout(context.Background(), generator.DefaultTimeout)
	defer stop()
	if err := c.Engine.Abandon(ctx, at, stream); err != nil {
		c.Log.Warn().Err(err).Str("stream", string(stream)).Msg("stream-not-cancelled")
	}
}
