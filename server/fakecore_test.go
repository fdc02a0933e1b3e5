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

// steadyCore admits every request, sends it to the first endpoint that can serve it and repeats each
// attempt that may be repeated at the next endpoint, up to three times. Tests of the server's own part
// do not depend on the budgets and scores of decider.Core with it.
type steadyCore struct {
	fleet    decider.Fleet
	requests map[namer.StreamID]decider.Request
	attempts map[namer.StreamID]namer.Attempt
}

func (c *steadyCore) Configure(_ time.Time, fleet decider.Fleet) {
	c.fleet = fleet
	c.requests, c.attempts = map[namer.StreamID]decider.Request{}, map[namer.StreamID]namer.Attempt{}
}

func (c *steadyCore) Tick(time.Time) []decider.Action { return nil }

func (c *steadyCore) Arrive(_ time.Time, r decider.Request) []decider.Action {
	c.requests[r.ID] = r
	return c.dispatch(r, classifier.NoEndpoint, "")
}

func (c *steadyCore) Observe(_ time.Time, e decider.Event) []decider.Action {
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

func (c *steadyCore) dispatch(r decider.Request, otherwise classifier.Outcome, reason classifier.RetryReason) []decider.Action {
	var able []namer.Endpoint
	for _, e := range c.fleet.Endpoints {
		if e.Service == r.Service && (r.Model == "" || slices.Contains(e.Models, r.Model)) {
			able = append(able, e.Name)
		}
	}
	attempt := c.attempts[r.ID] + 1
	if len(able) == 0 || attempt > 3 || (len(able) == 1 && attempt > 1) {
		return c.refuse(r, otherwise)
	}
	c.attempts[r.ID] = attempt
	at := able[(int(attempt)-1)%len(able)]
	return []decider.Action{{Kind: decider.ActionDispatch, Request: r.ID, Attempt: attempt, Endpoint: at, Retry: reason}}
}

func (c *steadyCore) refuse(r decider.Request, outcome classifier.Outcome) []decider.Action {
	delete(c.requests, r.ID)
	return []decider.Action{{Kind: decider.ActionRefuse, Request: r.ID, Outcome: outcome, RetryAfter: time.Second}}
}

// heardCore keeps the requests that arrive.
type heardCore struct {
	steadyCore
	arrived chan decider.Request
}

func (c *heardCore) Arrive(now time.Time, r decider.Request) []decider.Action {
	c.arrived <- r
	return c.steadyCore.Arrive(now, r)
}

// Guards against a core that shares a rank without the callers' weights.
func TestCoreGetsTheCallersWeight(t *testing.T) {
	is := is.New(t)
	core := &heardCore{arrived: make(chan decider.Request, 2)}
	f := newFar(t, &imitator.Engine{})
	f.core = func() dispatcher.Core { return core }
	daemon := f.start(t)
	for _, path := range []string{"/v1/chat/completions", "/services/desk/echo"} {
		response := daemon.do(t, http.MethodPost, path, chat(1, ""), nil)
		response.Body.Close()
		r := <-core.arrived
		is.Equal(r.Caller, namer.Caller("fitter"))
		is.Equal(r.Weight, 3)
	}
}
