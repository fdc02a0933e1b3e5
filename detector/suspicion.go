package detector

import (
	"time"

	"apricotspool/namer"
)

// Report is an endpoint's report of its own load, which may be some hundred milliseconds old.
type Report struct {
	// Incarnation is that of the process that made the report; 0 if it doesn't say.
	Incarnation namer.Incarnation
	// Waiting and Running count the requests at the endpoint.
	Waiting, Running int
	// KVUsed and Handles are the tokens of KV memory in use and the KV caches held for other engines.
	KVUsed, Handles int64
	// Runs holds the state of the running requests by id. It is nil if the endpoint doesn't list them.
	Runs map[string]Run
}

// Run is the state of a running request.
type Run struct {
	Tokens, Events int64
}

// Verdict is what is known about an attempt at an endpoint that sends nothing.
type Verdict int

const (
	// Working means that the endpoint makes progress, or that too little is known to say otherwise.
	Working Verdict = iota
	// Lost means that the endpoint works but no longer has the request.
	Lost
	// Stalled means that the endpoint has work and makes no progress.
	Stalled
)

// Suspicion collects the reports of an endpoint during one attempt that gets no response. The zero value
// has no reports.
type Suspicion struct {
	last        Report
	reported    bool
	changedAt   time.Duration // when a report first had the content of last
	missing     bool          // the last report did not have the request
	missingFrom time.Duration
}

// Judge evaluates a report that was received at a time. id is the id of the request in Report.Runs. A
// verdict other than Working needs reports that agree over the time settle, which covers the delay of
// reports and one step of the endpoint.
func (s *Suspicion) Judge(at time.Duration, r Report, id string, settle time.Duration) Verdict {
	if !s.reported || !s.last.equal(r) {
		s.changedAt = at
	}
	missing := r.lacks(id)
	if missing && !s.missing {
		s.missingFrom = at
	}
	s.last, s.reported, s.missing = r, true, missing
	switch {
	case missing && at-s.missingFrom >= settle:
		return Lost
	case r.Running+r.Waiting > 0 && at-s.changedAt >= settle:
		return Stalled
	}
	return Working
}

// lacks reports whether the endpoint certainly doesn't have the request: nothing waits there, and it is not
// among the running ones.
func (r *Report) lacks(id string) bool {
	if r.Waiting > 0 {
		return false
	}
	if r.Runs == nil {
		return r.Running == 0
	}
	_, runs := r.Runs[id]
	return !runs && len(r.Runs) >= r.Running
}

func (r *Report) equal(other Report) bool {
	if r.Waiting != other.Waiting || r.Running != other.Running || r.KVUsed != other.KVUsed || r.Handles != other.Handles || len(r.Runs) != len(other.Runs) {
		return false
	}
	for id, run := range r.Runs {
		if other.Runs[id] != run {
			return false
		}
	}
	return true
}
