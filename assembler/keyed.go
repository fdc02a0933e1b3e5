package assembler

import (
	"context"
	"net/http"

	"apricotspool/claimer"
	"apricotspool/classifier"
	"apricotspool/server"
)

// keyedCalls runs non-idempotent calls under a claim.
type keyedCalls struct {
	claimer *claimer.Claimer
}

var _ server.Claimer = keyedCalls{}

// Run claims a call, sends it at most once and stores its answer.
func (k keyedCalls) Run(ctx context.Context, call server.KeyedCall, send func(context.Context) (server.KeyedAnswer, classifier.Outcome)) (server.KeyedAnswer, classifier.Outcome) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	result := k.claimer.Claim(ctx, claimer.Call{Service: call.Service, Caller: call.Caller, Key: call.Key, Digest: claimer.Digest(call.Digest)})
	if result.Permit == nil {
		return storedAnswer(result.Answer), result.Outcome
	}
	if err := result.Permit.Consume(); err != nil {
		result.Permit.NotRun(ctx)
		return server.KeyedAnswer{}, classifier.StoreUnavailable
	}
	// The call goes on when its caller is gone, so that the caller gets the stored answer when it asks again.
	ctx, stop := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	defer stop()
	answer, outcome := send(ctx)
	switch {
	case outcome == classifier.Served:
		result.Permit.Finish(ctx, claimer.Answer{Status: answer.Status, Header: claimer.HeaderOf(answer.Header), Body: answer.Body})
	case outcome.Class().Execution == classifier.NotRun:
		result.Permit.NotRun(ctx)
	default:
		result.Permit.Unknown(ctx)
	}
	return answer, outcome
}

func storedAnswer(stored claimer.Answer) server.KeyedAnswer {
	header := http.Header{}
	for name, value := range stored.Header {
		header.Set(name, value)
	}
	return server.KeyedAnswer{Status: stored.Status, Header: header, Body: stored.Body}
}
