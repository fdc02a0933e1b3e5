package detector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/detector"
	"apricotspool/modeler"
	"apricotspool/namer"
)

const (
	reportLag     = 200 * time.Millisecond
	reportTimeout = 350 * time.Millisecond
	simStep       = 5 * time.Millisecond
)

// responded is the result of an attempt that was not abandoned.
const responded detector.Action = -1

// engine is an engine model that can stop responding.
type engine struct {
	modeler.Engine
	darkFrom time.Duration // neither responds nor reports from then on; 0 for never
	hungFrom time.Duration // makes no progress from then on but reports; 0 for never
	reports  map[time.Duration]detector.Report
}

// newEngine returns an engine whose speed is a multiple of a large model's.
func newEngine(speed float64) *engine {
	class := modeler.Large70B
	for _, cost := range []*time.Duration{&class.StepBase, &class.PrefillToken, &class.Sequence} {
		*cost = time.Duration(float64(*cost) / speed)
	}
	class.Attention, class.KVRead = class.Attention/speed, class.KVRead/speed
	return &engine{Engine: modeler.Engine{Class: class, Role: namer.RoleMixed}, reports: map[time.Duration]detector.Report{}}
}

// submitPrompts puts prompts of the same length into the engine's queue.
func (e *engine) submitPrompts(now time.Duration, count int, tokens namer.Tokens) {
	for i := range count {
		e.Submit(now, modeler.Job{Stream: namer.StreamID(fmt.Sprintf("other-%d-%d", now, i)), Attempt: 1, Prompt: tokens, Output: 20})
	}
}

// step advances the engine and records its report.
func (e *engine) step(now time.Duration) []modeler.Event {
	at := now
	if e.hungFrom > 0 {
		at = min(now, e.hungFrom)
	}
	events := e.Advance(at)
	load := e.Load(at)
	e.reports[now] = detector.Report{Waiting: load.Waiting, Running: load.Running, KVUsed: int64(load.KVUsed*1e6) + int64(load.WaitingPrefill)}
	return events
}

// call is an attempt of one request at an engine.
type call struct {
	id        string
	prompt    namer.Tokens
	predicted time.Duration
	target    time.Duration
	limit     time.Duration
}

// attempt runs a call at an engine until it responds or is abandoned, and returns when that was.
func attempt(e *engine, start time.Duration, l *detector.Latency, c call) (detector.Action, time.Duration) {
	e.step(start)
	e.Submit(start, modeler.Job{Stream: namer.StreamID(c.id), Attempt: 1, Prompt: c.prompt, Output: 5})
	w := detector.Watch{CallID: c.id, Reports: true}
	check := start + w.Patience(l, c.predicted, c.target, c.limit)
	asked := time.Duration(0)
	for now := start + simStep; now < start+c.limit; now += simStep {
		for _, event := range e.step(now) {
			if event.Stream == namer.StreamID(c.id) && (e.darkFrom == 0 || now < e.darkFrom) {
				l.Observe(now-start, c.predicted)
				return responded, now - start
			}
		}
		if now < check {
			continue
		}
		silence := detector.Silence{Attempt: now - start, Endpoint: now - start}
		patience := w.Patience(l, c.predicted, c.target, start+c.limit-now)
		var step detector.Step
		switch {
		case asked > 0:
			step = w.NotReported(now, asked, silence)
			asked = 0
		default:
			step = w.Check(now, silence, patience)
		}
		if step.Action == detector.Ask {
			if e.darkFrom > 0 && now >= e.darkFrom {
				asked, check = now, now+reportTimeout
				continue
			}
			step = w.Reported(now, silence, patience, c.predicted, e.reports[max(start, now-reportLag)])
		}
		if step.Action != detector.Wait {
			return step.Action, now - start
		}
		check = now + step.Wait
	}
	return responded, c.limit // the caller's deadline
}

// speeds are multiples of the usual speed of engines. Nothing that the detector uses is set for one of them.
var speeds = []float64{0.1, 1, 10}

// Guards against abandoning a sound engine because other prompts come first.
func TestSoundEngineBehindTenLongPrompts(t *testing.T) {
	for _, speed := range speeds {
		t.Run(fmt.Sprint(speed), func(t *testing.T) {
			is := is.New(t)
			e := newEngine(speed)
			e.submitPrompts(0, 10, 20_000)
			action, after := attempt(e, 0, &detector.Latency{}, call{"r", 3000, 0, 300 * time.Millisecond, time.Hour})
			t.Logf("responded after %s", after)
			is.Equal(action, responded)
			is.True(after > time.Duration(float64(10*time.Second)/speed/2)) // it had to wait
		})
	}
}

// Guards against an engine that turns dark in the middle of a prompt and is not abandoned while there is time
// for another attempt.
func TestEngineTurnsDarkWithinPrompt(t *testing.T) {
	for _, speed := range speeds {
		is := is.New(t)
		e := newEngine(speed)
		e.darkFrom = 50 * time.Millisecond
		c := call{"r", 20_000, time.Duration(float64(2*time.Second) / speed), 300 * time.Millisecond, time.Duration(float64(15*time.Second) / speed)}
		action, after := attempt(e, 0, &detector.Latency{}, c)
		t.Logf("speed %v: abandoned after %s", speed, after)
		is.Equal(action, detector.AbandonUnresponsive)
		is.True(after <= c.limit/3+reportTimeout)
	}
}

// Guards against abandoning engines that work 2.5 times as long for a part of the time.
func TestJitteringEngineIsKept(t *testing.T) {
	for _, speed := range speeds {
		is := is.New(t)
		l := &detector.Latency{}
		for i := range 200 {
			current := speed
			if i%7 == 0 {
				current /= 2.5
			}
			predicted := time.Duration(float64(400*time.Millisecond) / speed)
			action, _ := attempt(newEngine(current), 0, l, call{"r", 5000, predicted, 300 * time.Millisecond, time.Duration(float64(6*time.Second) / speed)})
			is.Equal(action, responded)
		}
	}
}

// Guards against an engine that answers every call for a report and makes no progress.
func TestHungEngineIsAbandoned(t *testing.T) {
	for _, speed := range speeds {
		is := is.New(t)
		e := newEngine(speed)
		e.hungFrom = 50 * time.Millisecond
		e.submitPrompts(0, 3, 20_000)
		c := call{"r", 5000, 0, 300 * time.Millisecond, time.Duration(float64(15*time.Second)/speed) + 2*time.Second}
		action, after := attempt(e, 0, &detector.Latency{}, c)
		t.Logf("speed %v: abandoned after %s of %s", speed, after, c.limit)
		is.Equal(action, detector.AbandonUnresponsive)
		is.True(after <= 2*c.limit/3)
	}
}

// Guards against abandoning engines that are all slow at once.
func TestAllEnginesSlowAtOnce(t *testing.T) {
	for _, speed := range speeds {
		is := is.New(t)
		l := &detector.Latency{}
		predicted := time.Duration(float64(400*time.Millisecond) / speed)
		c := call{"r", 5000, predicted, 300 * time.Millisecond, time.Duration(float64(30*time.Second)/speed) + time.Second}
		for range 20 {
			action, _ := attempt(newEngine(speed), 0, l, c)
			is.Equal(action, responded)
		}
		for range 20 {
			action, _ := attempt(newEngine(speed/5), 0, l, c)
			is.Equal(action, responded)
		}
	}
}

// Guards against waiting for a response that an endpoint has lost.
func TestLostResponseIsDetected(t *testing.T) {
	for name, c := range map[string]struct {
		report detector.Report
		want   detector.Verdict
	}{
		"idle":                    {detector.Report{}, detector.Lost},
		"runs others only":        {detector.Report{Running: 1, KVUsed: 9, Runs: map[string]detector.Run{"other": {Tokens: 9}}}, detector.Lost},
		"waits there":             {detector.Report{Waiting: 1, Running: 1, Runs: map[string]detector.Run{"other": {Tokens: 9}}}, detector.Stalled},
		"runs without being list": {detector.Report{Running: 2, Runs: map[string]detector.Run{"other": {Tokens: 9}}}, detector.Stalled},
		"runs":                    {detector.Report{Running: 1, Runs: map[string]detector.Run{"r": {Tokens: 9}}}, detector.Stalled},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s detector.Suspicion
			is.Equal(s.Judge(0, c.report, "r", time.Second), detector.Working) // one report is no evidence
			is.Equal(s.Judge(900*time.Millisecond, c.report, "r", time.Second), detector.Working)
			is.Equal(s.Judge(time.Second, c.report, "r", time.Second), c.want)
		})
	}
}

// Guards against a request that runs, slowly, and is taken for a stalled one.
func TestProgressIsNotStalled(t *testing.T) {
	is := is.New(t)
	var s detector.Suspicion
	for i := range 20 {
		r := detector.Report{Running: 1, Runs: map[string]detector.Run{"r": {Tokens: int64(i)}}}
		is.Equal(s.Judge(time.Duration(i)*time.Second, r, "r", time.Second), detector.Working)
	}
}

// Guards against endpoints without reports for which an attempt waits until its deadline, and against ending
// one that is only slower than usual.
func TestEndpointWithoutReports(t *testing.T) {
	is := is.New(t)
	l := &detector.Latency{}
	for range 50 {
		l.Observe(100*time.Millisecond, 0)
	}
	w := detector.Watch{}
	patience := w.Patience(l, 0, 300*time.Millisecond, 10*time.Second)
	is.True(patience >= 250*time.Millisecond && patience <= 500*time.Millisecond)
	is.Equal(w.Check(0, detector.Silence{Attempt: 200 * time.Millisecond, Endpoint: 200 * time.Millisecond}, patience).Action, detector.Wait)
	is.Equal(w.Check(0, detector.Silence{Attempt: patience, Endpoint: patience}, patience).Action, detector.AbandonUnresponsive)
	is.Equal(w.Check(0, detector.Silence{Attempt: patience, Endpoint: time.Millisecond}, patience).Action, detector.Wait)
	is.Equal(w.Check(0, detector.Silence{Attempt: 3 * patience, Endpoint: time.Millisecond}, patience).Action, detector.AbandonLost)
	is.True(w.Patience(&detector.Latency{}, 0, 10*time.Second, time.Second) <= 500*time.Millisecond) // leaves time for another attempt
}

// Guards against a daemon that has just started and takes its first calls, which were quick, for the usual.
func TestFewQuickCallsDoNotSetTheUsual(t *testing.T) {
	is := is.New(t)
	l := &detector.Latency{}
	w := detector.Watch{}
	for range 5 {
		l.Observe(5*time.Millisecond, 0)
		is.True(w.Patience(l, 0, 300*time.Millisecond, 10*time.Second) >= 900*time.Millisecond)
	}
	for range 200 {
		l.Observe(5*time.Millisecond, 0)
	}
	is.True(w.Patience(l, 0, 300*time.Millisecond, 10*time.Second) <= 100*time.Millisecond)
}
