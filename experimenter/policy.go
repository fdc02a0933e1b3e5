// Package experimenter measures decisions: it drives several deciding hosts and modelled engines
// through schedules of requests in virtual time and reports goodput and service by rank. A run is
// determined by its schedule, its policy and their seeds. The package owns no state between runs.
package experimenter

import (
	"time"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
)

// Policy decides for one host. decider.Core is one; the baselines are others.
type Policy interface {
	Configure(now time.Time, fleet decider.Fleet)
	Arrive(now time.Time, r decider.Request) []decider.Action
	Observe(now time.Time, e decider.Event) []decider.Action
	Tick(now time.Time) []decider.Action
}

// Contender is a named policy that takes part in a measurement.
type Contender struct {
	Name string
	New  func(seed uint64) Policy // returns the policy of one host
}

// Contenders returns the core and the baselines.
func Contenders() []Contender {
	return []Contender{
		{"core", func(seed uint64) Policy { return &decider.Core{Seed: seed} }},
		{"round-robin", func(seed uint64) Policy { return &Baseline{Choose: RoundRobin(seed)} }},
		{"least-outstanding", func(uint64) Policy { return &Baseline{Choose: LeastOutstanding} }},
	}
}

// Choose selects one of the candidates, which are never empty. Outstanding counts the host's own
// unfinished requests by endpoint.
type Choose func(candidates []decider.EndpointView, outstanding map[namer.Endpoint]int) namer.Endpoint

// RoundRobin takes the endpoints in turn. Each host starts at a place of its own.
func RoundRobin(seed uint64) Choose {
	turn := seed
	return func(candidates []decider.EndpointView, _ map[namer.Endpoint]int) namer.Endpoint {
		turn++
		return candidates[turn%uint64(len(candidates))].Name
	}
}

// LeastOutstanding takes the endpoint with the fewest unfinished requests of this host.
func LeastOutstanding(candidates []decider.EndpointView, outstanding map[namer.Endpoint]int) namer.Endpoint {
	best := candidates[0].Name
	for _, e := range candidates[1:] {
		if outstanding[e.Name] < outstanding[best] {
			best = e.Name
		}
	}
	return best
}

// baselineAttempts bounds the attempts of one request.
const baselineAttempts = 3

// Baseline is a policy that sends each request at once to the endpoint that Choose selects, with one
// priority for all, and tries another endpoint after a failure.
type Baseline struct {
	Choose Choose

	fleet       decider.Fleet
	outstanding map[namer.Endpoint]int
	sent        map[namer.StreamID]sending
}

type sending struct {
	request decider.Request
	action  decider.Action
}

// Configure replaces the fleet.
func (b *Baseline) Configure(_ time.Time, fleet decider.Fleet) {
	b.fleet = fleet
	if b.sent == nil {
		b.outstanding = map[namer.Endpoint]int{}
		b.sent = map[namer.StreamID]sending{}
	}
}

// Arrive sends the request.
func (b *Baseline) Arrive(_ time.Time, r decider.Request) []decider.Action {
	return b.send(r, 1, "", "")
}

// Observe forgets finished requests and repeats failed ones.
func (b *Baseline) Observe(_ time.Time, e decider.Event) []decider.Action {
	s, known := b.sent[e.Request]
	if !known || s.action.Attempt != e.Attempt {
		return nil
	}
	switch e.Kind {
	case decider.EventFinished, decider.EventCancelled:
		b.forget(s)
	case decider.EventFailed:
		b.forget(s)
		if s.action.Attempt < baselineAttempts && (s.request.Idempotent || e.NotRun) {
			return b.send(s.request, s.action.Attempt+1, s.action.Endpoint, e.Reason)
		}
		return []decider.Action{{Kind: decider.ActionRefuse, Request: e.Request, Outcome: classifier.EndpointFailed}}
	}
	return nil
}

// Tick does nothing; a baseline holds no request back.
func (b *Baseline) Tick(time.Time) []decider.Action { return nil }

func (b *Baseline) send(r decider.Request, attempt namer.Attempt, except namer.Endpoint, reason classifier.RetryReason) []decider.Action {
	var candidates []decider.EndpointView
	for _, e := range b.fleet.Endpoints {
		if e.Service == r.Service && !e.Leaving && e.Name != except {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return []decider.Action{{Kind: decider.ActionRefuse, Request: r.ID, Outcome: classifier.NoEndpoint}}
	}
	action := decider.Action{
		Kind: decider.ActionDispatch, Request: r.ID, Attempt: attempt, Retry: reason,
		Endpoint: b.Choose(candidates, b.outstanding),
	}
	b.outstanding[action.Endpoint]++
	b.sent[r.ID] = sending{request: r, action: action}
	return []decider.Action{action}
}

func (b *Baseline) forget(s sending) {
	b.outstanding[s.action.Endpoint]--
	delete(b.sent, s.request.ID)
}
