package messenger

import "sync"

// BackgroundCalls runs the background calls of a component and waits for them when it stops. Handlers may still start
// calls while the component stops. The zero value is ready to use.
type BackgroundCalls struct {
	mu      sync.Mutex // guards stopped, so that no call starts after Stop
	stopped bool
	running sync.WaitGroup
}

// Go runs f in a new goroutine, unless Stop has been called.
func (c *BackgroundCalls) Go(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopped {
		c.running.Go(f)
	}
}

// Stop waits for the running calls and prevents new ones.
func (c *BackgroundCalls) Stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.running.Wait()
}
