package server_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/generator"
	"apricotspool/imitator"
	"apricotspool/namer"
)

// fixedCore is a decision core that returns the same actions for each request and records the events.
type fixedCore struct {
	actions       []decider.Action
	failedOutcome classifier.Outcome // if set, requests are refused with it after a failed attempt
	mu            sync.Mutex         // guards events
	events        []decider.Event
}

func (c *fixedCore) Configure(time.Time, decider.Fleet) {}
func (c *fixedCore) Tick(time.Time) []decider.Action    { return nil }

// attemptsOf returns the attempts with an event of the given kind.
func (c *fixedCore) attemptsOf(kind decider.EventKind) (attempts []namer.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.events {
		if e.Kind == kind {
			attempts = append(attempts, e.Attempt)
		}
	}
	return attempts
}

func (c *fixedCore) Arrive(_ time.Time, r decider.Request) []decider.Action {
	actions := slices.Clone(c.actions)
	for i := range actions {
		actions[i].Request = r.ID
	}
	return actions
}

func (c *fixedCore) Observe(_ time.Time, e decider.Event) []decider.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
	if c.failedOutcome != "" && e.Kind == decider.EventFailed {
		return []decider.Action{{Kind: decider.ActionRefuse, Request: e.Request, Outcome: c.failedOutcome}}
	}
	return nil
}

func (f *fixture) useFixedCore(actions ...decider.Action) *fixedCore {
	core := &fixedCore{actions: actions}
	f.newCore = func() dispatcher.Core { return core }
	return core
}

func dispatch(attempt namer.Attempt, endpoint namer.Endpoint) decider.Action {
	return decider.Action{Kind: decider.ActionDispatch, Attempt: attempt, Endpoint: endpoint}
}

// eventually waits until the condition holds. The time limit is generous, for slow machines.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(time.Minute); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("timed out waiting for the condition")
		}
	}
}

// Guards against a hedged request whose response mixes both attempts or comes from the slower engine, and
// against the slower attempt not being cancelled.
func TestHedgedAttempts(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, &imitator.Engine{FirstToken: time.Hour, Interval: time.Second, UnreadTTL: time.Hour}, &imitator.Engine{})
	hedge := dispatch(2, "engine-1")
	hedge.Retry = classifier.RetryHedged
	core := f.useFixedCore(dispatch(1, "engine-0"), hedge)
	got := readAll(t, f.startDaemon(t).do(t, "POST", "/v1/chat/completions", chatBody(20, `,"stream":true`), nil))
	is.True(got.done)
	is.Equal(got.chunks, expectedChunks(t, 20, `,"stream":true`))
	is.Equal(got.last[:2], "2-")
	eventually(t, func() bool {
		return len(f.engines[0].Streams()) == 0 && len(core.attemptsOf(decider.EventFinished)) == 1
	})
	is.Equal(core.attemptsOf(decider.EventStarted), []namer.Attempt{2})
	is.Equal(len(core.attemptsOf(decider.EventFailed)), 0)
}

// Guards against a request with separate prefill whose prompt is not processed at the prefill engine that
// the core chose, or whose decode engine is not told where the KV cache is.
func TestPrefillOnAnotherEngine(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, &imitator.Engine{Role: namer.RolePrefill}, &imitator.Engine{Role: namer.RoleDecode})
	split := dispatch(1, "engine-1")
	split.Prefill = "engine-0"
	f.useFixedCore(split)
	got := readAll(t, f.startDaemon(t).do(t, "POST", "/v1/chat/completions", chatBody(20, `,"stream":true`), nil))
	is.True(got.done)
	is.Equal(got.chunks, expectedChunks(t, 20, `,"stream":true`))
	is.Equal([]int{f.engines[0].Started(), f.engines[1].Started()}, []int{1, 1})
	is.Equal(f.engines[1].Imported(), []string{f.document.Endpoints["engine-0"].Address.String()})
}

// Guards against requests that run beyond their deadline, and against reporting "not-run" for a request that
// an engine may have executed (P5).
func TestDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		actions []decider.Action
		status  int
		outcome string
	}{
		"while it waits": {nil, http.StatusGatewayTimeout, "not-run"},
		"while it runs":  {[]decider.Action{dispatch(1, "engine-0")}, http.StatusBadGateway, "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, &imitator.Engine{FirstToken: time.Hour, Interval: time.Second, UnreadTTL: time.Hour})
			service := f.document.Services["chat"]
			service.Deadline = namer.Duration(100 * time.Millisecond)
			f.document.Services["chat"] = service
			core := f.useFixedCore(c.actions...)
			response := f.startDaemon(t).do(t, "POST", "/v1/chat/completions", chatBody(20, `,"stream":true`), nil)
			is.Equal(response.StatusCode, c.status)
			is.Equal(response.Header.Get("X-Outcome"), c.outcome)
			eventually(t, func() bool {
				return len(f.engines[0].Streams()) == 0 && len(core.attemptsOf(decider.EventCancelled)) == 1
			})
		})
	}
}

// Guards against reporting "not-run" when the core refuses a request that an engine has already started (P5).
func TestRefusalAfterAnAttemptRan(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, &imitator.Engine{})
	f.handlers[0].Distort = func(c generator.Chunk) []generator.Chunk {
		f.engines[0].Crash()
		return nil
	}
	f.useFixedCore(dispatch(1, "engine-0")).failedOutcome = classifier.EndpointRefused
	response := f.startDaemon(t).do(t, "POST", "/v1/chat/completions", chatBody(20, `,"stream":true`), nil)
	is.Equal(response.StatusCode, http.StatusBadGateway)
	is.Equal(response.Header.Get("X-Outcome"), "unknown")
}

// Guards against any combination of crashes, broken connections and foreign, missing, duplicate or reordered
// chunks that makes a caller take a wrong or incomplete response for the complete one (P4).
func TestRandomFaults(t *testing.T) {
	const streams, tokens = 4, 40
	want := expectedChunks(t, tokens, `,"stream":true`)
	f := newFixture(t, &imitator.Engine{}, &imitator.Engine{}, &imitator.Engine{})
	injected := &faults{}
	for i, handler := range f.handlers {
		handler.Distort = func(c generator.Chunk) []generator.Chunk { return injected.apply(f.engines[i], i, c) }
	}
	daemon := f.startDaemon(t)
	rapid.Check(t, func(rt *rapid.T) {
		injected.draw(rt, len(f.engines))
		results := make(chan *received, streams)
		for range streams {
			go func() {
				results <- readAll(t, daemon.do(t, "POST", "/v1/chat/completions", chatBody(tokens, `,"stream":true`), nil))
			}()
		}
		for range streams {
			got := <-results
			if got.done == (got.errorEvent != "") && len(got.chunks) > 0 {
				rt.Fatalf("faults %s: done is %v with error event %q", injected, got.done, got.errorEvent)
			}
			if !slices.Equal(got.chunks, want[:len(got.chunks)]) || (got.done && len(got.chunks) != len(want)) {
				rt.Fatalf("faults %s: wrong chunks among the %d received", injected, len(got.chunks))
			}
		}
	})
}

// foreignChunk is the data of a chunk of another stream.
var foreignChunk = []byte(`{"id":"` + strings.Repeat("0", 32) + `",` + delta(`"content":"of another caller"`) + `}`)

// faults maps "engine/chunk index" to the fault to inject there, once each.
type faults struct {
	mu    sync.Mutex // guards plan
	plan  map[string]string
	label string
}

func (f *faults) String() string { return f.label }

func (f *faults) draw(rt *rapid.T, engines int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan = map[string]string{}
	for range rapid.IntRange(1, 6).Draw(rt, "faults") {
		at := fmt.Sprintf("%d/%d", rapid.IntRange(0, engines-1).Draw(rt, "engine"), rapid.IntRange(0, 42).Draw(rt, "index"))
		f.plan[at] = rapid.SampledFrom([]string{"crash", "break", "double", "lose", "cross", "late"}).Draw(rt, "kind")
	}
	f.label = fmt.Sprint(f.plan)
}

func (f *faults) apply(engine *imitator.Engine, number int, c generator.Chunk) []generator.Chunk {
	at := fmt.Sprintf("%d/%d", number, c.Index)
	f.mu.Lock()
	kind := f.plan[at]
	delete(f.plan, at)
	f.mu.Unlock()
	altered := c
	switch kind {
	case "crash":
		engine.Crash()
	case "break":
		engine.BreakConnections()
	case "double":
		return []generator.Chunk{c, c}
	case "lose":
		return nil
	case "late":
		altered.Index--
		return []generator.Chunk{altered, c}
	case "cross":
		if !c.Done {
			altered.Data = foreignChunk
		}
		return []generator.Chunk{altered}
	}
	return []generator.Chunk{c}
}
