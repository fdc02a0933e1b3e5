package messenger

import "sync"

// Calls runs the calls that a component opens in the background, also from handlers, which can still
// be called while the component stops. The zero value is ready.
type Calls struct {
	mu      sync.Mutex // guards stopped, and that no call starts after Stop
	stopped bool
	running sync.WaitGroup
}

// Go runs f in the background, unless Stop was called.
func (c *Calls) Go(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopped {
		c.running.Go(f)
	}
}

// Stop waits for the running calls; later ones are not started.
func (c *Calls) Stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.running.Wait()
}
