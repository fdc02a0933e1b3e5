package experimenter

import (
	"math/rand/v2"
	"slices"
	"time"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
)

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

// PowerOfTwo takes the better of two random endpoints.
func PowerOfTwo(seed uint64) Choose {
	random := rand.New(rand.NewPCG(seed, 6))
	return func(candidates []decider.EndpointView, outstanding map[namer.Endpoint]int) namer.Endpoint {
		pair := []decider.EndpointView{candidates[random.IntN(len(candidates))], candidates[random.IntN(len(candidates))]}
		return LeastOutstanding(pair, outstanding)
	}
}

// baselineAttempts bounds the attempts of one request.
const baselineAttempts = 3

// Baseline is a policy that sends each request at once to the endpoints that Choose selects and tries
// others after a failure.
type Baseline struct {
	Choose Choose
	// Priorities gives the engines the order of the ranks; without it all work has one priority.
	Priorities bool

	fleet       decider.Fleet
	outstanding map[namer.Endpoint]int
	sent        map[namer.StreamID]sending
}

type sending struct {
	request decider.Request
	action  decider.Action
	started bool // the prefill engine has done its part
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
	case decider.EventStarted:
		if s.action.Prefill != "" && !s.started {
			b.outstanding[s.action.Prefill]--
		}
		s.started = true
		b.sent[e.Request] = s
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
	action := decider.Action{Kind: decider.ActionDispatch, Request: r.ID, Attempt: attempt, Retry: reason}
	mixed := b.candidates(r, except, func(role namer.Role) bool { return role == namer.RoleMixed })
	decode := b.candidates(r, except, namer.Role.CanDecode)
	prefill := b.candidates(r, except, namer.Role.CanPrefill)
	switch {
	case len(mixed) > 0:
		action.Endpoint = b.Choose(mixed, b.outstanding)
	case len(decode) > 0 && len(prefill) > 0:
		action.Endpoint = b.Choose(decode, b.outstanding)
		action.Prefill = b.Choose(prefill, b.outstanding)
		b.outstanding[action.Prefill]++
	default:
		return []decider.Action{{Kind: decider.ActionRefuse, Request: r.ID, Outcome: classifier.NoEndpoint}}
	}
	if b.Priorities {
		action.Priority = slices.IndexFunc(b.fleet.Services[0].Ranks, func(rank decider.RankView) bool { return rank.Name == r.Rank })
	}
	b.outstanding[action.Endpoint]++
	b.sent[r.ID] = sending{request: r, action: action}
	return []decider.Action{action}
}

func (b *Baseline) candidates(r decider.Request, except namer.Endpoint, fits func(namer.Role) bool) []decider.EndpointView {
	var candidates []decider.EndpointView
	for _, e := range b.fleet.Endpoints {
		if e.Service == r.Service && !e.Leaving && e.Name != except && slices.Contains(e.Models, r.Model) && fits(e.Role) {
			candidates = append(candidates, e)
		}
	}
	return candidates
}

func (b *Baseline) forget(s sending) {
	b.outstanding[s.action.Endpoint]--
	if s.action.Prefill != "" && !s.started {
		b.outstanding[s.action.Prefill]--
	}
	delete(b.sent, s.request.ID)
}
