package detector

import "time"

const (
	// enginePatience is the multiple of the usual overrun after which a silent engine is asked for a report.
	enginePatience = 2
	// plainPatience is the multiple after which an attempt at a silent endpoint that has no reports ends.
	plainPatience = 3
	// An engine is asked after at most 1/engineShare of the time left, and an attempt at an endpoint without
	// reports ends after 1/plainShare of it, so that there is time for another one.
	engineShare = 4
	plainShare  = 2
	// ownSilenceFactor is the factor for an attempt without a response whose endpoint responds to others.
	ownSilenceFactor = 3
	// recheckGrowth is the growth of an attempt's silence between two reports.
	recheckGrowth = 0.5
	// ReportLag covers the age of a report. Reports closer together may be the same.
	ReportLag = 250 * time.Millisecond
)

// Action is what to do about an attempt.
type Action int

const (
	// Wait means to check again after Step.Wait.
	Wait Action = iota
	// Ask means to ask the endpoint for a report.
	Ask
	// AbandonUnresponsive means that the endpoint has failed.
	AbandonUnresponsive
	// AbandonLost means that the endpoint works but the response will not come.
	AbandonLost
)

// Step is the next step of a Watch.
type Step struct {
	Action Action
	Wait   time.Duration
}

// Silence is the time for which nothing has come from an endpoint.
type Silence struct {
	Attempt  time.Duration // for the watched attempt
	Endpoint time.Duration // for any attempt, since the start of the watched one
}

// Watch decides how long to wait for an attempt to which another one can follow. An endpoint that is silent
// for longer than usual is asked for a report of its load, and the attempt ends only if there is none or if
// the reports show no progress. Endpoints without reports are judged by their silence.
type Watch struct {
	// CallID is the id of the request in reports.
	CallID string
	// Reports says that the endpoint reports its load.
	Reports bool

	suspicion Suspicion
	nextAsk   time.Duration
}

// Patience returns how long the endpoint may be silent before it is in doubt.
func (w *Watch) Patience(l *Latency, predicted, target, left time.Duration) time.Duration {
	if w.Reports {
		return min(l.Patience(predicted, target, enginePatience), max(left/engineShare, ReportLag))
	}
	return min(l.Patience(predicted, target, plainPatience), max(left/plainShare, ReportLag))
}

// Check returns the next step at a time.
func (w *Watch) Check(now time.Duration, s Silence, patience time.Duration) Step {
	if rest := min(patience-s.Endpoint, ownSilenceFactor*patience-s.Attempt); rest > 0 {
		return Step{Wait, rest}
	}
	switch {
	case w.Reports && now < w.nextAsk:
		return Step{Wait, w.nextAsk - now}
	case w.Reports:
		return Step{Action: Ask}
	case s.Endpoint >= patience:
		return Step{Action: AbandonUnresponsive}
	}
	return Step{Action: AbandonLost}
}

// Reported returns the next step after a report that was received at a time.
func (w *Watch) Reported(now time.Duration, s Silence, patience, predicted time.Duration, r Report) Step {
	switch w.suspicion.Judge(now, r, w.CallID, max(2*ReportLag, patience-predicted)) {
	case Lost:
		return Step{Action: AbandonLost}
	case Stalled:
		return Step{Action: AbandonUnresponsive}
	}
	return w.Kept(now, s)
}

// Kept returns the next step after an attempt at an unresponsive endpoint that no other can follow.
func (w *Watch) Kept(now time.Duration, s Silence) Step {
	wait := recheckAfter(s)
	w.nextAsk = now + wait
	return Step{Wait, wait}
}

// recheckAfter returns the time between two checks of a silent attempt.
func recheckAfter(s Silence) time.Duration {
	return max(time.Duration(recheckGrowth*float64(s.Attempt)), ReportLag)
}

// NotReported returns the next step when the endpoint has not answered the call for a report that began at
// a time.
func (w *Watch) NotReported(now, began time.Duration, s Silence) Step {
	if s.Endpoint < now-began {
		w.nextAsk = now + ReportLag // it has responded to another attempt meanwhile
		return Step{Wait, ReportLag}
	}
	return Step{Action: AbandonUnresponsive}
}
