package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
)

// read sends a request whose prompt is processed apart, in a fleet of one daemon.
func read(t *testing.T, budget int) (*fleet, *attempted) {
	f := newFleet(t, 1, 2, 2)
	f.hosts[0].core.Retries.Ratio, f.hosts[0].core.Retries.Slack = 0, budget
	once := check
	once.attempts = 1
	for {
		if r := f.arrive(f.hosts[0], once); r.prefill {
			return f, r
		}
	}
}

// Guards against requests that are refused because an engine that was to process their prompt has failed:
// in a burst the readers were taken for silent, and 359 of 411 refusals of an incident had no other
// cause. No engine has got them to run.
func TestFailedReaderIsNoAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		budget int
		role   namer.Role // of the engine that comes next
	}{
		"another reader":           {100, namer.RolePrefill},
		"no budget for any reader": {0, namer.RoleDecode},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, r := read(t, c.budget)
			first := r.at
			f.fail(r, r.attempt, classifier.RetryEndpointSilent, true)
			is.Equal(r.outcome, classifier.Outcome(""))
			is.True(r.at != first)
			for _, e := range f.view.Endpoints {
				if e.Name == r.at {
					is.Equal(e.Role, c.role)
				}
			}
		})
	}
}

// Guards against attempts that are given up although nothing could follow, and against engines that are
// given up while they are as slow as was expected.
func TestWhatADispatchSays(t *testing.T) {
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
	is.True(action("once", 1).Last)
	is.True(!action("twice", 2).Last)
	core.Retries.Ratio, core.Retries.Slack = 0, 0
	is.True(action("nothing to pay with", 2).Last)

	long := kind{prompt: 30_000, shared: 100, output: 40, sessions: 300, target: 10 * time.Second, priority: 2}
	for range 60 {
		f.arrive(f.hosts[0], long)
	}
	r := f.arrive(f.hosts[0], long)
	is.True(f.basis[r.request.ID].Expected > 300*time.Millisecond)
	is.True(f.basis[r.request.ID].Waiting > 0)
}

// Guards against a prompt that is processed once more because the engine that was to generate could not
// be reached: when a quarter of the engines had crashed, requests had up to five engines process their
// prompt, and the repeats exceeded what all daemons may send.
func TestProcessedPromptIsKept(t *testing.T) {
	is := is.New(t)
	f, r := read(t, 0)
	core := f.hosts[0].core
	f.perform(f.hosts[0], core.Observe(f.time(), decider.Event{Kind: decider.EventPrefilled, Request: r.request.ID, Attempt: r.attempt, Endpoint: r.at}))
	is.True(!r.prefill)
	first := r.at
	f.fail(r, r.attempt, classifier.RetryConnectFailed, true)
	is.Equal(r.outcome, classifier.Outcome(""))
	is.True(!r.prefill)
	is.True(r.at != first)
	// An engine that has got the request may have taken the memory.
	f.fail(r, r.attempt, classifier.RetryEndpointRefused, true)
	is.True(r.outcome != "")
}

// Guards against a second processing that nobody has paid for.
func TestSecondProcessingIsARepeat(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 5, 1)
	f.view.Endpoints[5].Leaving = true // only readers are left
	f.configure()
	f.hosts[0].core.Retries.Ratio, f.hosts[0].core.Retries.Slack = 0, 10
	once := check
	once.attempts = 1
	repeats := 0
	for i := range 40 {
		f.run(time.Duration(i) * 200 * time.Millisecond) // for ejections to pass
		r := f.arrive(f.hosts[0], once)
		for r.outcome == "" && r.prefill {
			before := r.attempt
			f.fail(r, r.attempt, classifier.RetryEndpointSilent, true)
			if r.outcome == "" && r.prefill && r.attempt > before {
				repeats++
			}
		}
	}
	is.True(repeats > 0)
	is.True(repeats <= 10)
}
