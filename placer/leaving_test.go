package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
)

// Guards against new work for an endpoint that has said in a response that it is leaving, before its entry
// says so, and against leaving it out after it has restarted.
func TestAnnouncedLeavingStopsNewWork(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0, 2)
	core := f.hosts[0].core
	used := func() map[namer.Endpoint]bool {
		used := map[namer.Endpoint]bool{}
		for range 20 {
			used[f.arrive(f.hosts[0], longPrompt).endpoint] = true
		}
		f.run(f.now + 10*time.Second)
		return used
	}
	is.True(used()[f.names[0]])
	core.Observe(f.time(), decider.Event{Kind: decider.EventLeaving, Endpoint: f.names[0]})
	is.True(!used()[f.names[0]])
	f.configure() // the entry does not say it yet
	is.True(!used()[f.names[0]])
	f.view.Endpoints[0].Incarnation++
	f.configure()
	is.True(used()[f.names[0]])
}

// Guards against requests to an endpoint that has asked this daemon for none, and against leaving it out for
// longer than it asked.
func TestTurnedAwayDaemonWaits(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0, 2)
	r := f.arrive(f.hosts[0], longPrompt)
	full := r.endpoint
	f.observe(r, decider.Event{
		Kind: decider.EventFailed, Attempt: r.attempt, Endpoint: full, Reason: classifier.RetryEndpointRefused, NotRun: true, RetryAfter: 3 * time.Second,
	})
	is.True(r.endpoint != full)
	used := 0
	for f.now < 2900*time.Millisecond {
		f.run(f.now + 50*time.Millisecond)
		if f.arrive(f.hosts[0], longPrompt).endpoint == full {
			used++
		}
	}
	is.Equal(used, 0)
	for f.now < 4*time.Second {
		f.run(f.now + 50*time.Millisecond)
		if f.arrive(f.hosts[0], longPrompt).endpoint == full {
			used++
		}
	}
	is.True(used > 0)
}

// Guards against ejecting a sound plain endpoint because one call took long, and against keeping one that is
// dark in use.
func TestSilentPlainEndpoint(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0, 2)
	f.view.Services[0].Plain = true
	f.configure()
	ejected := func() int { return len(f.reports) }
	call := workload{prompt: 1, sessions: 1, target: 300 * time.Millisecond, idempotent: true, attempts: 1}
	silent := func(name namer.Endpoint) {
		r := f.arrive(f.hosts[0], call)
		for r.endpoint != name {
			f.observe(r, decider.Event{Kind: decider.EventFinished, Attempt: r.attempt, Endpoint: r.endpoint})
			r = f.arrive(f.hosts[0], call)
		}
		f.fail(r, r.attempt, classifier.RetryEndpointUnresponsive, false)
	}
	silent(f.names[0])
	is.Equal(ejected(), 0)
	silent(f.names[1])
	silent(f.names[1])
	silent(f.names[1])
	is.Equal(ejected(), 1)
	is.Equal(f.reports[0].Endpoint, f.names[1])
}
