package server_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/imitator"
	"apricotspool/namer"
)

// roundRobinCore is a decision core that admits every request, dispatches it to the first endpoint that can
// serve it, and retries a failed attempt that may be retried at the next endpoint, with up to three
// attempts. It keeps tests of the server independent of the retry budgets and scores of decider.Core.
type roundRobinCore struct {
	fleet    decider.Fleet
	requests map[namer.StreamID]decider.Request
	attempts map[namer.StreamID]namer.Attempt
}

func (c *roundRobinCore) Configure(_ time.Time, fleet decider.Fleet) {
	c.fleet = fleet
	c.requests, c.attempts = map[namer.StreamID]decider.Request{}, map[namer.StreamID]namer.Attempt{}
}

func (c *roundRobinCore) Tick(time.Time) []decider.Action { return nil }

func (c *roundRobinCore) Arrive(_ time.Time, r decider.Request) []decider.Action {
	c.requests[r.ID] = r
	return c.dispatch(r, classifier.NoEndpoint, "")
}

func (c *roundRobinCore) Observe(_ time.Time, e decider.Event) []decider.Action {
	r, known := c.requests[e.Request]
	switch {
	case !known || e.Kind == decider.EventStarted:
		return nil
	case e.Kind != decider.EventFailed:
		delete(c.requests, e.Request)
		return nil
	}
	outcome := classifier.EndpointFailed
	if e.NotRun {
		outcome = classifier.EndpointRefused
	}
	if !r.Idempotent && !e.NotRun {
		return c.refuse(r, outcome)
	}
	return c.dispatch(r, outcome, e.Reason)
}

func (c *roundRobinCore) dispatch(r decider.Request, fallback classifier.Outcome, reason classifier.RetryReason) []decider.Action {
	var candidates []namer.Endpoint
	for _, e := range c.fleet.Endpoints {
		if e.Service == r.Service && (r.Model == "" || slices.Contains(e.Models, r.Model)) {
			candidates = append(candidates, e.Name)
		}
	}
	attempt := c.attempts[r.ID] + 1
	if len(candidates) == 0 || attempt > 3 || (len(candidates) == 1 && attempt > 1) {
		return c.refuse(r, fallback)
	}
	c.attempts[r.ID] = attempt
	endpoint := candidates[(int(attempt)-1)%len(candidates)]
	return []decider.Action{{Kind: decider.ActionDispatch, Request: r.ID, Attempt: attempt, Endpoint: endpoint, Retry: reason}}
}

func (c *roundRobinCore) refuse(r decider.Request, outcome classifier.Outcome) []decider.Action {
	delete(c.requests, r.ID)
	return []decider.Action{{Kind: decider.ActionRefuse, Request: r.ID, Outcome: outcome, RetryAfter: time.Second}}
}

// recordingCore sends the requests that it receives to a channel.
type recordingCore struct {
	roundRobinCore
	arrived chan decider.Request
}

func (c *recordingCore) Arrive(now time.Time, r decider.Request) []decider.Action {
	c.arrived <- r
	return c.roundRobinCore.Arrive(now, r)
}

// Guards against requests that reach the core without the caller's weight, which the core needs to share a
// rank among callers.
func TestCallerWeightReachesCore(t *testing.T) {
	is := is.New(t)
	core := &recordingCore{arrived: make(chan decider.Request, 2)}
	f := newFixture(t, &imitator.Engine{})
	f.newCore = func() dispatcher.Core { return core }
	daemon := f.startDaemon(t)
	for _, path := range []string{"/v1/chat/completions", "/services/desk/echo"} {
		response := daemon.do(t, http.MethodPost, path, chatBody(1, ""), nil)
		response.Body.Close()
		r := <-core.arrived
		is.Equal(r.Caller, namer.Caller("fitter"))
		is.Equal(r.Weight, 3)
	}
}
