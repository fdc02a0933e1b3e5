package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
)

// arriveForPrefill returns a fleet of one daemon and a request that was sent to a prefill engine.
func arriveForPrefill(t *testing.T, budget int) (*fleet, *trackedRequest) {
	f := newFleet(t, 1, 2, 2)
	f.hosts[0].core.Retries.Ratio, f.hosts[0].core.Retries.Slack = 0, float64(budget)
	once := longPrompt
	once.attempts = 1
	for {
		if r := f.arrive(f.hosts[0], once); r.prefill {
			return f, r
		}
	}
}

// Guards against requests that are refused because their prefill engine failed, although no decode engine has
// received them yet. In a burst, prefill engines were taken for unresponsive, which was the only cause of 359
// of the 411 refusals of an incident.
func TestFailedPrefillIsNotAnAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		budget int
		role   namer.Role // of the next engine
	}{
		"another prefill engine":        {100, namer.RolePrefill},
		"no budget for another prefill": {0, namer.RoleDecode},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, r := arriveForPrefill(t, c.budget)
			first := r.endpoint
			f.fail(r, r.attempt, classifier.RetryEndpointUnresponsive, true)
			is.Equal(r.outcome, classifier.Outcome(""))
			is.True(r.endpoint != first)
			for _, e := range f.view.Endpoints {
				if e.Name == r.endpoint {
					is.Equal(e.Role, c.role)
				}
			}
		})
	}
}

// Guards against attempts that are abandoned although no other could follow, and against engines that are
// abandoned although they are only as slow as expected.
func TestDispatchLastFlagAndExpectedDelay(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 2, 2)
	f.view.Services[0].Backups = false
	f.configure()
	core := f.hosts[0].core
	action := func(id namer.StreamID, attempts int) decider.Action {
		actions := core.Arrive(f.time(), decider.Request{
			ID: id, Service: service, Idempotent: true, PromptTokens: 200, MaxTokens: 5000, Deadline: f.time().Add(15 * time.Second),
			Target: 100 * time.Millisecond, Attempts: attempts,
		})
		is.Equal(len(actions), 1)
		return actions[0]
	}
	is.True(action("once", 1).FinalAttempt)
	is.True(!action("twice", 2).FinalAttempt)
	core.Retries.Ratio, core.Retries.Slack = 0, 0
	is.True(action("nothing to pay with", 2).FinalAttempt)

	long := workload{prompt: 30_000, shared: 100, output: 40, sessions: 300, target: 10 * time.Second, priority: 2}
	for range 60 {
		f.arrive(f.hosts[0], long)
	}
	r := f.arrive(f.hosts[0], long)
	is.True(f.basis[r.request.ID].Expected > 300*time.Millisecond)
	is.True(f.basis[r.request.ID].QueueingTime > 0)
}

// Guards against processing a prompt again because the decode engine could not be reached. When a quarter of
// the engines had crashed, the prompt of a request was processed by up to five engines, and the retries
// exceeded the budget of all daemons.
func TestPrefillIsReusedAfterConnectFailure(t *testing.T) {
	is := is.New(t)
	f, r := arriveForPrefill(t, 0)
	core := f.hosts[0].core
	f.perform(f.hosts[0], core.Observe(f.time(), decider.Event{Kind: decider.EventPrefilled, Request: r.request.ID, Attempt: r.attempt, Endpoint: r.endpoint}))
	is.True(!r.prefill)
	first := r.endpoint
	f.fail(r, r.attempt, classifier.RetryConnectFailed, true)
	is.Equal(r.outcome, classifier.Outcome(""))
	is.True(!r.prefill)
	is.True(r.endpoint != first)
	// An engine that received the request may have fetched the KV cache.
	f.fail(r, r.attempt, classifier.RetryEndpointRefused, true)
	is.True(r.outcome != "")
}

// Guards against a second prefill that is not charged to the retry budget.
func TestSecondPrefillIsChargedAsRetry(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 5, 1)
	f.view.Endpoints[5].Leaving = true // only prefill engines remain
	f.configure()
	f.hosts[0].core.Retries.Ratio, f.hosts[0].core.Retries.Slack = 0, 10
	once := longPrompt
	once.attempts = 1
	retries := 0
	for i := range 40 {
		f.run(time.Duration(i) * 200 * time.Millisecond) // until ejections end
		r := f.arrive(f.hosts[0], once)
		for r.outcome == "" && r.prefill {
			before := r.attempt
			f.fail(r, r.attempt, classifier.RetryEndpointUnresponsive, true)
			if r.outcome == "" && r.prefill && r.attempt > before {
				retries++
			}
		}
	}
	is.True(retries > 0)
	is.True(retries <= 10)
}
