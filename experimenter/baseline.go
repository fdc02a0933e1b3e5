package experimenter

import (
	"math/rand/v2"
	"slices"
	"time"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
)

// Picker selects an endpoint from a non-empty list of candidates. The map outstanding counts this
// host's own in-flight requests per endpoint.
type Picker func(candidates []decider.EndpointView, outstanding map[namer.Endpoint]int) namer.Endpoint

// RoundRobin returns a Picker that cycles through the candidates. The seed is the starting offset, so
// that hosts do not move in step.
func RoundRobin(seed uint64) Picker {
	next := seed
	return func(candidates []decider.EndpointView, _ map[namer.Endpoint]int) namer.Endpoint {
		next++
		return candidates[next%uint64(len(candidates))].Name
	}
}

// LeastOutstanding picks the endpoint with the fewest in-flight requests from this host.
func LeastOutstanding(candidates []decider.EndpointView, outstanding map[namer.Endpoint]int) namer.Endpoint {
	best := candidates[0].Name
	for _, e := range candidates[1:] {
		if outstanding[e.Name] < outstanding[best] {
			best = e.Name
		}
	}
	return best
}

// PowerOfTwo returns a Picker that samples two candidates at random and takes the one with fewer
// in-flight requests.
func PowerOfTwo(seed uint64) Picker {
	random := rand.New(rand.NewPCG(seed, 6))
	return func(candidates []decider.EndpointView, outstanding map[namer.Endpoint]int) namer.Endpoint {
		pair := []decider.EndpointView{candidates[random.IntN(len(candidates))], candidates[random.IntN(len(candidates))]}
		return LeastOutstanding(pair, outstanding)
	}
}

// baselineAttempts is the maximum number of attempts per request.
const baselineAttempts = 3

// Baseline is a policy without admission control. It dispatches each request on arrival to the
// endpoints selected by Pick and retries on another endpoint after a failure.
type Baseline struct {
	Pick Picker
	// Priorities passes the rank order to the engines as their scheduling priority. If it is false, all
	// requests have the same priority.
	Priorities bool

	fleet       decider.Fleet
	outstanding map[namer.Endpoint]int
	inFlight    map[namer.StreamID]inFlightAttempt
}

type inFlightAttempt struct {
	request decider.Request
	action  decider.Action
	started bool // prefill has completed
}

// Configure replaces the fleet.
func (b *Baseline) Configure(_ time.Time, fleet decider.Fleet) {
	b.fleet = fleet
	if b.inFlight == nil {
		b.outstanding = map[namer.Endpoint]int{}
		b.inFlight = map[namer.StreamID]inFlightAttempt{}
	}
}

// Arrive dispatches the request immediately.
func (b *Baseline) Arrive(_ time.Time, r decider.Request) []decider.Action {
	return b.send(r, 1, "", "")
}

// Observe releases finished requests and retries failed ones.
func (b *Baseline) Observe(_ time.Time, e decider.Event) []decider.Action {
	s, known := b.inFlight[e.Request]
	if !known || s.action.Attempt != e.Attempt {
		return nil
	}
	switch e.Kind {
	case decider.EventStarted:
		if s.action.Prefill != "" && !s.started {
			b.outstanding[s.action.Prefill]--
		}
		s.started = true
		b.inFlight[e.Request] = s
	case decider.EventFinished, decider.EventCancelled:
		b.release(s)
	case decider.EventFailed:
		b.release(s)
		if s.action.Attempt < baselineAttempts && (s.request.Idempotent || e.NotRun) {
			return b.send(s.request, s.action.Attempt+1, s.action.Endpoint, e.Reason)
		}
		return []decider.Action{{Kind: decider.ActionRefuse, Request: e.Request, Outcome: classifier.EndpointFailed}}
	}
	return nil
}

// Tick does nothing, since a baseline queues no requests.
func (b *Baseline) Tick(time.Time) []decider.Action { return nil }

func (b *Baseline) send(r decider.Request, attempt namer.Attempt, excluded namer.Endpoint, reason classifier.RetryReason) []decider.Action {
	action := decider.Action{Kind: decider.ActionDispatch, Request: r.ID, Attempt: attempt, Retry: reason}
	mixed := b.candidates(r, excluded, func(role namer.Role) bool { return role == namer.RoleMixed })
	decode := b.candidates(r, excluded, namer.Role.CanDecode)
	prefill := b.candidates(r, excluded, namer.Role.CanPrefill)
	switch {
	case len(mixed) > 0:
		action.Endpoint = b.Pick(mixed, b.outstanding)
	case len(decode) > 0 && len(prefill) > 0:
		action.Endpoint = b.Pick(decode, b.outstanding)
		action.Prefill = b.Pick(prefill, b.outstanding)
		b.outstanding[action.Prefill]++
	default:
		return []decider.Action{{Kind: decider.ActionRefuse, Request: r.ID, Outcome: classifier.NoEndpoint}}
	}
	if b.Priorities {
		action.Priority = slices.IndexFunc(b.fleet.Services[0].Ranks, func(rank decider.RankView) bool { return rank.Name == r.Rank })
	}
	b.outstanding[action.Endpoint]++
	b.inFlight[r.ID] = inFlightAttempt{request: r, action: action}
	return []decider.Action{action}
}

func (b *Baseline) candidates(r decider.Request, excluded namer.Endpoint, allowed func(namer.Role) bool) []decider.EndpointView {
	var candidates []decider.EndpointView
	for _, e := range b.fleet.Endpoints {
		if e.Service == r.Service && !e.Leaving && e.Name != excluded && slices.Contains(e.Models, r.Model) && allowed(e.Role) {
			candidates = append(candidates, e)
		}
	}
	return candidates
}

func (b *Baseline) release(s inFlightAttempt) {
	b.outstanding[s.action.Endpoint]--
	if s.action.Prefill != "" && !s.started {
		b.outstanding[s.action.Prefill]--
	}
	delete(b.inFlight, s.request.ID)
}
