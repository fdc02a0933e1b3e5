package server

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"apricotspool/classifier"
	"apricotspool/configurer"
	"apricotspool/decider"
	"apricotspool/generator"
	"apricotspool/namer"
)

func (s *Server) chat(x *exchange)        { s.complete(x, generator.ChatCompletions) }
func (s *Server) completions(x *exchange) { s.complete(x, generator.Completions) }

// complete serves one completion request from its parsing to its last byte.
func (s *Server) complete(x *exchange, operation generator.Operation) {
	body, err := readBody(x.w, x.r, configurer.DefaultMaxBody)
	if err != nil {
		s.refuse(x.w, refusal{Outcome: classifier.TooLarge, Message: err.Error()})
		return
	}
	parsed, err := parseCompletion(body)
	if err != nil {
		s.refuse(x.w, refusal{Outcome: classifier.BadRequest, Message: err.Error()})
		return
	}
	service, model, ok := x.resolve(parsed.Model)
	if !ok {
		s.refuse(x.w, refusal{Outcome: classifier.NotFound, Message: "model " + parsed.Model + " does not exist for this caller, or several services offer it; see GET /v1/models"})
		return
	}
	rank, err := x.rank(service)
	if err != nil {
		s.refuse(x.w, refusal{Outcome: classifier.Forbidden, Message: err.Error()})
		return
	}
	request := decider.Request{
		ID: namer.NewStreamID(), Caller: x.name, Service: service, Model: model, Rank: rank, Idempotent: true,
		PromptTokens: parsed.promptTokens(), MaxTokens: parsed.maxTokens(), Prefix: parsed.prefixHashes(),
		Deadline: time.Now().Add(x.snapshot.Document().Services[service].Deadline.Std()),
	}
	x.w.Header().Set(HeaderRequestID, string(request.ID))
	call := generator.Call{Stream: request.ID, Operation: operation, Model: model, Body: body}
	s.relay(x, request, call, newWriter(x.w, parsed, operation))
}

// rank returns the rank of the request: the caller's own, or a lower one that the request asks for.
func (x *exchange) rank(service namer.Service) (namer.Rank, error) {
	asked := namer.Rank(x.r.Header.Get(HeaderRank))
	if asked == "" || asked == x.caller.Rank {
		return x.caller.Rank, nil
	}
	ranks := x.snapshot.Document().Services[service].Ranks
	lower, known := ranks[asked]
	if !known {
		return "", errors.Errorf("service %q has no rank %q", service, asked)
	}
	if lower.Order < ranks[x.caller.Rank].Order {
		return "", errors.Errorf("rank %q is above the caller's rank %q", asked, x.caller.Rank)
	}
	return asked, nil
}

// relay asks for decisions and carries them out until the request has its final answer.
func (s *Server) relay(x *exchange, request decider.Request, call generator.Call, out answerWriter) {
	ctx := x.r.Context()
	ticket, err := s.Dispatcher.Submit(ctx, request)
	if err != nil {
		s.refuse(x.w, refusal{Outcome: classifier.Draining, Message: "the daemon is shutting down"})
		return
	}
	defer ticket.Close()
	for {
		select {
		case <-ctx.Done():
			s.Dispatcher.Report(decider.Event{Kind: decider.EventCancelled, Request: request.ID})
			s.Metrics.Outcome(classifier.CallerGone)
			return
		case action := <-ticket.Actions:
			switch action.Kind {
			case decider.ActionRefuse:
				s.giveUp(x.w, action, out)
				return
			case decider.ActionDispatch:
				if action.Retry != "" {
					s.Metrics.Retry(action.Retry)
				}
				if s.attempt(x, action, request, &call, out) {
					return
				}
			}
		}
	}
}

// giveUp sends the final answer of a request that is not served.
func (s *Server) giveUp(w http.ResponseWriter, action decider.Action, out answerWriter) {
	f := refusal{Outcome: action.Outcome, Message: action.Outcome.Class().Help, RetryAfter: action.RetryAfter}
	if out.started() {
		s.Metrics.Outcome(f.Outcome)
		out.fail(f)
		return
	}
	s.refuse(w, f)
}

// attempt sends the request to one endpoint and reports how it went. It returns true when the
// request has its whole answer.
func (s *Server) attempt(x *exchange, action decider.Action, request decider.Request, call *generator.Call, out answerWriter) bool {
	call.Attempt, call.Priority = action.Attempt, action.Priority
	call.From, call.Continuation = out.delivered()
	failed := decider.Event{Kind: decider.EventFailed, Request: request.ID, Attempt: action.Attempt, Endpoint: action.Endpoint}
	endpoint, ok := x.snapshot.Document().Endpoints[action.Endpoint]
	if !ok {
		failed.Reason, failed.NotRun = classifier.RetryEndpointLeaving, true
		s.Dispatcher.Report(failed)
		return false
	}
	target := generator.Target{Endpoint: action.Endpoint, Address: endpoint.Address}
	stream, err := s.Engine.Generate(x.r.Context(), target, *call)
	if err != nil {
		failed.Reason, failed.NotRun = failureOf(err)
		s.Log.Warn().Err(err).Str("request", string(request.ID)).Msg("attempt-failed")
		s.Dispatcher.Report(failed)
		return false
	}
	defer stream.Close()
	accepted := time.Now()
	for first := true; ; first = false {
		chunk, err := stream.Next()
		if err != nil {
			failed.Reason, failed.OutputTokens = classifier.RetryStreamBroken, out.tokens()
			s.Log.Warn().Err(err).Str("request", string(request.ID)).Msg("attempt-failed")
			s.Dispatcher.Report(failed)
			return false
		}
		if chunk.Done {
			break
		}
		if first {
			s.Metrics.FirstToken(request.Rank, time.Since(accepted))
			s.Dispatcher.Report(decider.Event{Kind: decider.EventStarted, Request: request.ID, Attempt: action.Attempt, Endpoint: action.Endpoint})
		}
		if err := out.write(chunk); err != nil {
			s.Dispatcher.Report(decider.Event{Kind: decider.EventCancelled, Request: request.ID})
			return true
		}
	}
	out.finish()
	s.Metrics.Outcome(classifier.Served)
	s.Dispatcher.Report(decider.Event{Kind: decider.EventFinished, Request: request.ID, Attempt: action.Attempt, Endpoint: action.Endpoint, OutputTokens: out.tokens()})
	return true
}

// failureOf classes an error of Engine.Generate for the decision core.
func failureOf(err error) (reason classifier.RetryReason, notRun bool) {
	switch {
	case errors.Is(err, generator.ErrNotStarted):
		return classifier.RetryConnectFailed, true
	case errors.Is(err, generator.ErrRefused), errors.Is(err, generator.ErrRejected):
		return classifier.RetryEndpointRefused, true
	}
	return classifier.RetryStreamBroken, false
}
