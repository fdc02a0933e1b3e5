package assembler

import (
	"context"
	"net/http"

	"apricotspool/claimer"
	"apricotspool/classifier"
	"apricotspool/server"
)

// keyedCalls executes non-idempotent calls with an idempotency key under a claim.
type keyedCalls struct {
	claimer *claimer.Claimer
}

var _ server.Claimer = keyedCalls{}

// Run claims a call, sends it at most once and stores its response.
func (k keyedCalls) Run(ctx context.Context, call server.KeyedCall, send func(context.Context) (server.KeyedResponse, classifier.Outcome)) (server.KeyedResponse, classifier.Outcome) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	result := k.claimer.Claim(ctx, claimer.Call{Service: call.Service, Caller: call.Caller, Key: call.Key, Digest: claimer.Digest(call.Digest)})
	if result.Permit == nil {
		return storedResponse(result.Answer), result.Outcome
	}
	if err := result.Permit.Consume(); err != nil {
		result.Permit.NotRun(ctx)
		return server.KeyedResponse{}, classifier.StoreUnavailable
	}
	// The call continues after its caller has disconnected, so that a retry gets the stored response.
	ctx, stop := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	defer stop()
	response, outcome := send(ctx)
	switch {
	case outcome == classifier.Served:
		result.Permit.Finish(ctx, claimer.Answer{Status: response.Status, Header: claimer.HeaderOf(response.Header), Body: response.Body})
	case outcome.Class().Execution == classifier.NotRun:
		result.Permit.NotRun(ctx)
	default:
		result.Permit.Unknown(ctx)
	}
	return response, outcome
}

func storedResponse(stored claimer.Answer) server.KeyedResponse {
	header := http.Header{}
	for name, value := range stored.Header {
		header.Set(name, value)
	}
	return server.KeyedResponse{Status: stored.Status, Header: header, Body: stored.Body}
}
