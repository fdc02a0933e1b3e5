package decider

import (
	"time"

	"apricotspool/classifier"
	"apricotspool/namer"
)

// Core decides about requests. Set the exported fields before the first call.
type Core struct {
	Seed uint64 // of the random choices between endpoints

	fleet    Fleet
	running  map[namer.Endpoint]int
	requests map[namer.StreamID]tracked
}

type tracked struct {
	request  Request
	endpoint namer.Endpoint
	attempt  namer.Attempt
}

// Configure replaces the fleet.
func (c *Core) Configure(_ time.Time, fleet Fleet) {
	c.fleet = fleet
	if c.running == nil {
		c.running = map[namer.Endpoint]int{}
		c.requests = map[namer.StreamID]tracked{}
	}
}

// Arrive decides about a new request.
func (c *Core) Arrive(_ time.Time, r Request) []Action {
	best, ok := c.leastRunning(r, "")
	if !ok {
		return []Action{{Kind: ActionRefuse, Request: r.ID, Outcome: classifier.NoEndpoint, RetryAfter: time.Second}}
	}
	return []Action{c.dispatch(tracked{request: r, endpoint: best, attempt: 1}, "")}
}

// Observe takes news into account.
func (c *Core) Observe(_ time.Time, e Event) []Action {
	t, known := c.requests[e.Request]
	if !known {
		return nil
	}
	switch e.Kind {
	case EventFinished, EventCancelled:
		c.release(t)
	case EventFailed:
		c.release(t)
		return []Action{c.retry(t, e)}
	}
	return nil
}

// Tick decides what time alone makes due.
func (c *Core) Tick(time.Time) []Action { return nil }

func (c *Core) retry(t tracked, e Event) Action {
	other, ok := c.leastRunning(t.request, t.endpoint)
	if !ok || t.attempt >= 3 || (!t.request.Idempotent && !e.NotRun) {
		outcome := classifier.EndpointFailed
		if e.NotRun {
			outcome = classifier.EndpointRefused
		}
		return Action{Kind: ActionRefuse, Request: t.request.ID, Outcome: outcome, RetryAfter: time.Second}
	}
	t.endpoint = other
	t.attempt++
	return c.dispatch(t, e.Reason)
}

func (c *Core) dispatch(t tracked, reason classifier.RetryReason) Action {
	c.requests[t.request.ID] = t
	c.running[t.endpoint]++
	return Action{Kind: ActionDispatch, Request: t.request.ID, Attempt: t.attempt, Endpoint: t.endpoint, Priority: c.order(t.request), Retry: reason}
}

func (c *Core) release(t tracked) {
	c.running[t.endpoint]--
	delete(c.requests, t.request.ID)
}

// order returns the rank's place within its service, 0 for the most urgent.
func (c *Core) order(r Request) int {
	for _, s := range c.fleet.Services {
		for i, rank := range s.Ranks {
			if s.Name == r.Service && rank.Name == r.Rank {
				return i
			}
		}
	}
	return 0
}

func (c *Core) leastRunning(r Request, except namer.Endpoint) (namer.Endpoint, bool) {
	var best namer.Endpoint
	for _, e := range c.fleet.Endpoints {
		if e.Service != r.Service || e.Leaving || e.Name == except || !serves(e, r.Model) {
			continue
		}
		if best == "" || c.running[e.Name] < c.running[best] {
			best = e.Name
		}
	}
	return best, best != ""
}

func serves(e EndpointView, m namer.Model) bool {
	if m == "" {
		return true
	}
	for _, model := range e.Models {
		if model == m {
			return true
		}
	}
	return false
}
