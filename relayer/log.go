package relayer

import (
	"cmp"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"apricotspool/classifier"
	"apricotspool/decider"
)

// logDecision logs a decision of the core about the request, with the estimates that it is based on.
func (x *exchange) logDecision(a decider.Action) {
	event, name := x.relayer.Log.Info(), "attempt-started"
	if a.Kind == decider.ActionRefuse {
		event, name = x.relayer.Log.Warn(), "request-refused"
	}
	if event == nil {
		return
	}
	event.Str("request", x.call.ID).Str("service", string(x.service))
	switch a.Kind {
	case decider.ActionRefuse:
		event.Str("outcome", string(a.Outcome)).Int("usable", a.Basis.Usable).Dur("retry-after-ms", a.RetryAfter)
		x.addParts(event)
	default:
		event.Str("endpoint", string(a.Endpoint)).Int("attempt", int(a.Attempt)).Bool("prompt-only", a.Kind == decider.ActionPrefill).
			Int("priority", a.Priority).Dur("expected-ms", a.Basis.Expected).Dur("waiting-ms", a.Basis.QueueingTime).Dur("news-age-ms", a.Basis.LoadAge)
		addOptional(event, "build", string(a.Basis.Build))
		addOptional(event, "fetch", string(a.Fetch))
		addOptional(event, "backup", string(a.Backup))
		addOptional(event, "repeats-after", string(a.Retry))
		if a.FromBackup {
			event.Bool("from-backup", true)
		}
	}
	event.Int("declined", a.Basis.Declined).Bool("late", a.Basis.Late).Msg(name)
}

func addOptional(event *zerolog.Event, key, value string) {
	if value != "" {
		event.Str(key, value)
	}
}

// addParts adds the request's fingerprint and the ids of the prompt's parts, in order.
func (x *exchange) addParts(event *zerolog.Event) {
	event.Str("fingerprint", strconv.FormatUint(uint64(x.fingerprint), 16))
	if len(x.call.Parts) == 0 {
		return
	}
	ids := zerolog.Arr()
	for _, part := range x.call.Parts {
		ids.Str(strconv.FormatUint(part.ID, 16))
	}
	event.Array("parts", ids)
}

// logAttemptFailure logs why an attempt failed.
func (x *exchange) logAttemptFailure(a decider.Action, reason classifier.RetryReason, err error) {
	x.attemptFailure(a, reason, err).Msg("attempt-failed")
}

// attemptFailure returns the line about a failed attempt, and keeps the reason for the line of the request's outcome.
func (x *exchange) attemptFailure(a decider.Action, reason classifier.RetryReason, err error) *zerolog.Event {
	x.lastFailure = reason
	event := x.relayer.Log.Warn().Err(err).Str("request", x.call.ID).Str("endpoint", string(a.Endpoint)).Int("attempt", int(a.Attempt)).
		Str("reason", string(reason)).Bool("may-have-run", x.mayHaveRun)
	x.addParts(event)
	return event
}

// notRunProof is what shows that a request has not been executed.
type notRunProof string

// The proofs. Each is that of the last attempt; the ones before it had a proof too.
const (
	proofNoAttempt     notRunProof = "no-attempt"
	proofNotSent       notRunProof = "not-sent"       // no byte of the call was sent
	proofRefused       notRunProof = "refused"        // the endpoint says that it has not executed the call
	proofWrongEndpoint notRunProof = "wrong-endpoint" // the endpoint at the address isn't the expected one
	proofPromptOnly    notRunProof = "prompt-only"    // the call was for the prompt only
)

// logOutcome logs the outcome of the request.
func (x *exchange) logOutcome(took time.Duration) {
	event := x.relayer.Log.Info()
	if x.outcome != classifier.Served {
		event = x.relayer.Log.Warn()
	}
	event.Str("request", x.call.ID).Str("service", string(x.service)).Str("outcome", string(x.outcome)).
		Uint64("version", uint64(x.version)).Bool("may-have-run", x.mayHaveRun).Dur("took-ms", took)
	addOptional(event, "workspace", string(x.workspace))
	addOptional(event, "resumes", x.call.Resumes)
	if x.confirmation.Known {
		event.Dur("entries-age-ms", x.confirmation.Age)
	}
	if x.route != nil {
		event.Str("route", string(x.route.Name))
	}
	if !x.stream.firstAt.IsZero() {
		event.Dur("first-event-ms", x.stream.firstAt.Sub(x.startTime)).Dur("longest-gap-ms", x.stream.longestGap)
	}
	if x.outcome.Class().Execution == classifier.NotRun && !x.mayHaveRun {
		event.Str("not-run", string(cmp.Or(x.notRun, proofNoAttempt)))
	}
	if x.outcome != classifier.Served {
		addOptional(event, "failed-attempt", string(x.lastFailure))
	}
	x.addArrival(event)
	if x.abort {
		event.Bool("aborted", true)
	}
	event.Msg("request-ended")
}
