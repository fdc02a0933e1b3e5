package placer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
	"apricotspool/placer"
)

// resumable is a long stream that may continue at another engine.
var resumable = workload{prompt: 200, shared: 100, output: 5000, sessions: 20, target: 100 * time.Millisecond, idempotent: true, patience: 2 * time.Second}

// Guards against giving up attempts at a silent endpoint that no other attempt can follow, because the retry budget
// or the endpoints are exhausted, and against refusing those that were given up.
func TestUnresponsiveEndpointIsLeftOnlyForAnother(t *testing.T) {
	for name, c := range map[string]struct {
		engines, abandoned int
		slack              float64
		once               bool // the requests can't be repeated
		crowded            bool // the other engine has a long queue
		silent             int  // engines that don't respond to probes
		attempts           int  // of the route; 0 means 2
	}{
		"budget for all":             {engines: 2, slack: 100, abandoned: 30},
		"other engine is full":       {engines: 2, slack: 100, abandoned: 30, crowded: true},
		"budget for some":            {engines: 2, slack: 5, abandoned: 8},
		"no other engine":            {engines: 1, slack: 100},
		"other engine is silent too": {engines: 2, slack: 100, silent: 2},
		"one of two others responds": {engines: 3, slack: 100, silent: 2, abandoned: 30},
		"requests that run once":     {engines: 2, slack: 100, once: true},
		"last attempt of the route":  {engines: 2, slack: 100, attempts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, 0, c.engines)
			f.view.Services[0].Backups = false
			f.configure()
			f.hosts[0].core.Retries.Slack = c.slack
			k := resumable
			k.idempotent, k.attempts = !c.once, c.attempts
			streams := f.fillOneEngine(k, 30)
			silent := streams[0].endpoint
			f.run(f.now + 3*time.Second) // longer than callers wait for the first event
			if c.crowded {
				f.crowd()
			}
			for i := range c.silent {
				f.silent[f.names[(slices.Index(f.names, silent)+i)%c.engines]] = true
			}
			var abandoned []*trackedRequest
			for _, r := range streams {
				f.observe(r, decider.Event{Kind: decider.EventUnresponsive, Attempt: r.attempt, Endpoint: silent, Reason: classifier.RetryEndpointUnresponsive})
				if f.decided[r.request.ID] == decider.ActionAbandon {
					abandoned = append(abandoned, r)
					continue
				}
				is.Equal(f.decided[r.request.ID], decider.ActionKeep)
			}
			is.Equal(len(abandoned), c.abandoned)
			for _, r := range abandoned {
				f.fail(r, r.attempt, classifier.RetryEndpointUnresponsive, false)
				is.True(r.endpoint != silent && !f.silent[r.endpoint])
				is.Equal(string(r.outcome), "")
			}
			is.True(f.reports[0].Report == decider.EndpointEjected && f.reports[0].Endpoint == silent)
		})
	}
}

// fillOneEngine places streams on the engine that the core prefers until it is full.
func (f *fleet) fillOneEngine(k workload, streams int) []*trackedRequest {
	var placed []*trackedRequest
	for range streams {
		placed = append(placed, f.arrive(f.hosts[0], k))
		f.run(f.now + 20*time.Millisecond)
	}
	return placed
}

// crowd gives the engines urgent prompts that take them longer than a stream may pause.
func (f *fleet) crowd() {
	urgent := longPrompt
	urgent.priority, urgent.target = 0, 20*time.Second
	for range 400 {
		f.arrive(f.hosts[0], urgent)
	}
}

// Guards against refusing a stream whose engine has failed because no other engine meets the targets.
func TestStreamContinuesAtFullEngine(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0, 2)
	f.view.Services[0].Backups = false
	f.configure()
	r := f.arrive(f.hosts[0], resumable)
	f.run(f.now + 3*time.Second)
	failed := r.endpoint
	f.crowd()
	f.observe(r, decider.Event{Kind: decider.EventFailed, Attempt: r.attempt, Endpoint: failed, Reason: classifier.RetryStreamBroken, OutputTokens: 10})
	is.Equal(string(r.outcome), "")
	is.True(r.endpoint != failed)
}

// Guards against a stream that is cut because the engine with its backup refuses it: an attempt that did not run
// doesn't use up the attempts of a response that has begun.
func TestRefusedBackupDoesNotEndStream(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0, 3)
	r := f.arrive(f.hosts[0], resumable)
	f.run(f.now + 3*time.Second)
	backup := r.backup
	is.True(backup != "")
	f.fail(r, r.attempt, classifier.RetryStreamBroken, false)
	is.Equal(r.endpoint, backup)
	f.fail(r, r.attempt, classifier.RetryEndpointRefused, true)
	is.Equal(string(r.outcome), "")
	is.True(r.endpoint != backup)
}

// Guards against a request that runs twice, or at another service, because the engine that was checked for it has
// restarted, changed its service or role, or takes no more work, before the result, or the budget is used up.
func TestChangedReplacementIsNotUsed(t *testing.T) {
	for name, c := range map[string]struct {
		once   bool
		change func(f *fleet, i int)
	}{
		"backup has restarted": {true, func(f *fleet, i int) { f.view.Endpoints[i].Incarnation++ }},
		"other service":        {false, func(f *fleet, i int) { f.view.Endpoints[i].Service = "other" }},
		"other role":           {false, func(f *fleet, i int) { f.view.Endpoints[i].Role = namer.RolePrefill }},
		"paused":               {false, func(f *fleet, i int) { f.hosts[0].core.Pause(f.time(), f.names[i], time.Second) }},
		"no budget":            {false, func(f *fleet, _ int) { f.hosts[0].core.Retries.Slack = 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, 0, 2)
			f.view.Services = append(f.view.Services, decider.ServiceView{Name: "other", EventTokens: eventTokens})
			f.view.Services[0].Backups = c.once
			f.configure()
			k := resumable
			k.idempotent = !c.once
			r := f.arrive(f.hosts[0], k)
			f.run(f.now + 3*time.Second)
			left := r.endpoint
			r.deliveredTokens = eventTokens
			f.onProbe = func(a decider.Action) {
				c.change(f, slices.Index(f.names, a.Endpoint))
				f.configure()
			}
			f.observe(r, decider.Event{Kind: decider.EventUnresponsive, Attempt: r.attempt, Endpoint: left, Reason: classifier.RetryEndpointUnresponsive})
			is.Equal(f.decided[r.request.ID], decider.ActionKeep)
			f.fail(r, r.attempt, classifier.RetryEndpointUnresponsive, false)
			is.Equal(r.endpoint, left)
		})
	}
}

// Guards against responses that are cut although they could go on elsewhere: an engine that returns from an ejection
// admits one request at a time, or is ejected again after the attempts were given up.
func TestAbandonedRequestsGoOnAtReturningEngine(t *testing.T) {
	for name, ejectAgain := range map[string]bool{"returning": false, "ejected again": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, 0, 2)
			f.view.Services[0].Backups = false
			f.configure()
			f.hosts[0].core.Retries.Slack = 100
			streams := f.fillOneEngine(resumable, 10)
			silent := streams[0].endpoint
			other := f.names[1-slices.Index(f.names, silent)]
			f.run(f.now + time.Second)
			f.silent[other] = true
			f.observe(streams[0], decider.Event{Kind: decider.EventUnresponsive, Attempt: 1, Endpoint: silent, Reason: classifier.RetryEndpointUnresponsive})
			is.True(slices.ContainsFunc(f.reports, func(a decider.Action) bool { return a.Report == decider.EndpointEjected && a.Endpoint == other }))
			f.run(f.now + 500*time.Millisecond)
			delete(f.silent, other)
			for _, r := range streams {
				f.observe(r, decider.Event{Kind: decider.EventUnresponsive, Attempt: 1, Endpoint: silent, Reason: classifier.RetryEndpointUnresponsive})
				is.Equal(f.decided[r.request.ID], decider.ActionAbandon)
			}
			for i, r := range streams {
				f.fail(r, 1, classifier.RetryEndpointUnresponsive, false)
				is.Equal(string(r.outcome), "")
				is.Equal(r.endpoint, other)
				if ejectAgain && i == 0 {
					f.fail(r, r.attempt, classifier.RetryConnectFailed, true)
				}
			}
		})
	}
}

// Guards against the same with endpoints of a plain service.
func TestAbandonedCallsGoOnAtReturningEndpoint(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0, 2)
	f.view.Services[0].Plain = true
	f.configure()
	call := workload{prompt: 1, sessions: 1, target: 300 * time.Millisecond, idempotent: true}
	lost := f.arrive(f.hosts[0], call)
	other := lost.endpoint
	f.fail(lost, 1, classifier.RetryConnectFailed, true)
	calls := []*trackedRequest{f.arrive(f.hosts[0], call), f.arrive(f.hosts[0], call)}
	f.now += 500 * time.Millisecond
	for _, r := range calls {
		is.True(r.endpoint != other)
		f.observe(r, decider.Event{Kind: decider.EventUnresponsive, Attempt: 1, Endpoint: r.endpoint, Reason: classifier.RetryEndpointUnresponsive})
		is.Equal(f.decided[r.request.ID], decider.ActionAbandon)
	}
	for _, r := range calls {
		f.fail(r, 1, classifier.RetryEndpointUnresponsive, false)
		is.Equal(string(r.outcome), "")
		is.Equal(r.endpoint, other)
	}
}

// Guards against an engine that stays in use after a failure, because it was unresponsive earlier in the same attempt.
func TestFailureAfterSilenceEjects(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0, 1)
	r := f.arrive(f.hosts[0], resumable)
	f.observe(r, decider.Event{Kind: decider.EventUnresponsive, Attempt: 1, Endpoint: r.endpoint, Reason: classifier.RetryEndpointUnresponsive})
	is.Equal(f.decided[r.request.ID], decider.ActionKeep)
	f.now += 500 * time.Millisecond // longer than the first ejection
	f.fail(r, 1, classifier.RetryConnectFailed, true)
	var ejections []classifier.RetryReason
	for _, a := range f.reports {
		ejections = append(ejections, a.Retry)
	}
	is.Equal(ejections, []classifier.RetryReason{classifier.RetryEndpointUnresponsive, classifier.RetryConnectFailed})
}

// Guards against an engine that gets no work, as long as the response lasts that it gave first after an ejection.
func TestFirstEventEndsEjection(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0, 1)
	r := f.arrive(f.hosts[0], resumable)
	f.fail(r, 1, classifier.RetryConnectFailed, true)
	f.run(f.now + 500*time.Millisecond)
	long := f.arrive(f.hosts[0], resumable)
	f.run(f.now + 500*time.Millisecond)
	is.True(long.startedAt > 0 && long.finishedAt == 0)
	next := f.arrive(f.hosts[0], resumable)
	is.Equal(string(next.outcome), "")
}

// Guards against a request that stays at a dark engine until its deadline, because the retry budget was used up for a
// moment when it was sent there.
func TestEmptyBudgetIsNotFinal(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0, 2)
	f.view.Services[0].Backups = false
	f.configure()
	core := f.hosts[0].core
	core.Retries = placer.Retries{Ratio: 0.01, Slack: 1.3, Window: time.Second}
	first := f.arrive(f.hosts[0], resumable)
	f.fail(first, 1, classifier.RetryEndpointRefused, true) // uses the budget
	var final bool
	f.onDispatch = func(a decider.Action, _ uint64, _ bool) { final = a.FinalAttempt }
	r := f.arrive(f.hosts[0], resumable)
	is.True(!final)
	unresponsive := func() decider.ActionKind {
		f.observe(r, decider.Event{Kind: decider.EventUnresponsive, Attempt: 1, Endpoint: r.endpoint, Reason: classifier.RetryEndpointUnresponsive})
		return f.decided[r.request.ID]
	}
	is.Equal(unresponsive(), decider.ActionKeep)
	f.now += 1500 * time.Millisecond
	is.Equal(unresponsive(), decider.ActionAbandon)
}

// Guards against new work for an engine that leaves, or turns requests away, after requests were given up for it.
func TestReplacementThatLeavesIsNotUsed(t *testing.T) {
	for name, leave := range map[string]func(f *fleet, i int){
		"entry says so": func(f *fleet, i int) { f.view.Endpoints[i].Leaving = true },
		"is gone":       func(f *fleet, i int) { f.view.Endpoints = slices.Delete(f.view.Endpoints, i, i+1) },
		"is paused":     func(f *fleet, i int) { f.hosts[0].core.Pause(f.time(), f.names[i], time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, 0, 2)
			f.view.Services[0].Backups = false
			f.configure()
			r := f.arrive(f.hosts[0], resumable)
			f.run(f.now + 500*time.Millisecond)
			silent := r.endpoint
			f.observe(r, decider.Event{Kind: decider.EventUnresponsive, Attempt: 1, Endpoint: silent, Reason: classifier.RetryEndpointUnresponsive})
			is.Equal(f.decided[r.request.ID], decider.ActionAbandon)
			leave(f, 1-slices.Index(f.names, silent))
			f.configure()
			f.fail(r, 1, classifier.RetryEndpointUnresponsive, false)
			is.Equal(r.endpoint, silent)
			is.Equal(r.outcome, classifier.EndpointFailed)
		})
	}
}

// Guards against a prompt that stays at a silent prefill engine, and against a report about that engine that ends the
// attempt at the next one.
func TestSilentPrefillEngineIsLeft(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 1, 1)
	k := longPrompt
	k.idempotent = true
	r := f.arrive(f.hosts[0], k)
	is.True(r.prefill)
	silence := decider.Event{Kind: decider.EventUnresponsive, Attempt: 1, Endpoint: r.endpoint, Reason: classifier.RetryEndpointUnresponsive}
	f.observe(r, silence)
	is.Equal(f.decided[r.request.ID], decider.ActionAbandon)
	delete(f.decided, r.request.ID)
	r.outcome = "handled"
	f.observe(r, decider.Event{Kind: decider.EventPrefilled, Attempt: 1, Endpoint: r.endpoint}) // before it was ended
	is.True(!r.prefill)
	is.Equal(r.attempt, silence.Attempt)
	f.observe(r, silence)
	is.Equal(f.decided[r.request.ID], decider.ActionKind(0))
}

// Guards against a begun stream that goes on from one refusing engine to the next through the whole fleet.
func TestBegunStreamIsTriedAtFewEngines(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0, 20)
	f.view.Services[0].Backups = false
	f.configure()
	r := f.arrive(f.hosts[0], resumable)
	f.run(f.now + time.Second)
	tried := 0
	for ; r.outcome == ""; tried++ {
		f.fail(r, r.attempt, classifier.RetryEndpointRefused, true)
	}
	is.Equal(tried, 9)
}
