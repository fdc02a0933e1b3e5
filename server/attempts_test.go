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

// fixedCore answers each arrival with given actions and keeps the events.
type fixedCore struct {
	actions []decider.Action
	failed  classifier.Outcome // answers failed attempts, if set
	mu      sync.Mutex         // guards events
	events  []decider.Event
}

func (c *fixedCore) Configure(time.Time, decider.Fleet) {}
func (c *fixedCore) Tick(time.Time) []decider.Action    { return nil }
func (c *fixedCore) of(kind decider.EventKind) (attempts []namer.Attempt) {
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
	if c.failed != "" && e.Kind == decider.EventFailed {
		return []decider.Action{{Kind: decider.ActionRefuse, Request: e.Request, Outcome: c.failed}}
	}
	return nil
}

func (f *far) decide(actions ...decider.Action) *fixedCore {
	core := &fixedCore{actions: actions}
	f.core = func() dispatcher.Core { return core }
	return core
}

func dispatch(attempt namer.Attempt, endpoint namer.Endpoint) decider.Action {
	return decider.Action{Kind: decider.ActionDispatch, Attempt: attempt, Endpoint: endpoint}
}

// eventually waits for what follows an answer. The limit is far above what a busy machine needs.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(time.Minute); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the condition does not become true")
		}
	}
}

// Guards against a hedged request that is answered twice or by the slower engine, and against the loser
// that runs on.
func TestHedgedAttempts(t *testing.T) {
	is := is.New(t)
	f := newFar(t, &imitator.Engine{FirstToken: time.Hour, Interval: time.Second, Keep: time.Hour}, &imitator.Engine{})
	hedge := dispatch(2, "engine-1")
	hedge.Retry = classifier.RetryHedged
	core := f.decide(dispatch(1, "engine-0"), hedge)
	got := readAll(t, f.start(t).do(t, "POST", "/v1/chat/completions", chat(20, `,"stream":true`), nil))
	is.True(got.done)
	is.Equal(got.chunks, expected(t, 20, `,"stream":true`))
	is.Equal(got.last[:2], "2-")
	eventually(t, func() bool { return len(f.engines[0].Streams()) == 0 && len(core.of(decider.EventFinished)) == 1 })
	is.Equal(core.of(decider.EventStarted), []namer.Attempt{2})
	is.Equal(len(core.of(decider.EventFailed)), 0)
}

// Guards against a split request whose prompt is not processed where the core says, or whose decode
// engine does not learn where the KV cache is.
func TestPrefillOnAnotherEngine(t *testing.T) {
	is := is.New(t)
	f := newFar(t, &imitator.Engine{Role: namer.RolePrefill}, &imitator.Engine{Role: namer.RoleDecode})
	split := dispatch(1, "engine-1")
	split.Prefill = "engine-0"
	f.decide(split)
	got := readAll(t, f.start(t).do(t, "POST", "/v1/chat/completions", chat(20, `,"stream":true`), nil))
	is.True(got.done)
	is.Equal(got.chunks, expected(t, 20, `,"stream":true`))
	is.Equal([]int{f.engines[0].Started(), f.engines[1].Started()}, []int{1, 1})
	is.Equal(f.engines[1].Imported(), []string{f.document.Endpoints["engine-0"].Address.String()})
}

// Guards against requests that outlive their deadline and against an untrue "not-run" (P5).
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
			f := newFar(t, &imitator.Engine{FirstToken: time.Hour, Interval: time.Second, Keep: time.Hour})
			service := f.document.Services["chat"]
			service.Deadline = namer.Duration(100 * time.Millisecond)
			f.document.Services["chat"] = service
			core := f.decide(c.actions...)
			response := f.start(t).do(t, "POST", "/v1/chat/completions", chat(20, `,"stream":true`), nil)
			is.Equal(response.StatusCode, c.status)
			is.Equal(response.Header.Get("X-Outcome"), c.outcome)
			eventually(t, func() bool { return len(f.engines[0].Streams()) == 0 && len(core.of(decider.EventCancelled)) == 1 })
		})
	}
}

// Guards against a refusal of the core that says "not-run" after an engine has begun the request (P5).
func TestRefusalAfterAnAttemptRan(t *testing.T) {
	is := is.New(t)
	f := newFar(t, &imitator.Engine{})
	f.handlers[0].Distort = func(c generator.Chunk) []generator.Chunk {
		f.engines[0].Crash()
		return nil
	}
	f.decide(dispatch(1, "engine-0")).failed = classifier.EndpointRefused
	response := f.start(t).do(t, "POST", "/v1/chat/completions", chat(20, `,"stream":true`), nil)
	is.Equal(response.StatusCode, http.StatusBadGateway)
	is.Equal(response.Header.Get("X-Outcome"), "unknown")
}

// Guards against any mix of crashes, broken connections, crossed, lost and doubled chunks after which a
// caller takes a wrong or incomplete answer for the whole one (P4).
func TestRandomFaults(t *testing.T) {
	const streams, tokens = 4, 40
	want := expected(t, tokens, `,"stream":true`)
	f := newFar(t, &imitator.Engine{}, &imitator.Engine{}, &imitator.Engine{})
	plan := &faults{}
	for i, handler := range f.handlers {
		handler.Distort = func(c generator.Chunk) []generator.Chunk { return plan.apply(f.engines[i], i, c) }
	}
	daemon := f.start(t)
	rapid.Check(t, func(rt *rapid.T) {
		plan.draw(rt, len(f.engines))
		results := make(chan *received, streams)
		for range streams {
			go func() {
				results <- readAll(t, daemon.do(t, "POST", "/v1/chat/completions", chat(tokens, `,"stream":true`), nil))
			}()
		}
		for range streams {
			got := <-results
			if got.done == (got.fault != "") && len(got.chunks) > 0 {
				rt.Fatalf("%s: done %v with fault %q", plan, got.done, got.fault)
			}
			if !slices.Equal(got.chunks, want[:len(got.chunks)]) || (got.done && len(got.chunks) != len(want)) {
				rt.Fatalf("%s: chunks differ at %d", plan, len(got.chunks))
			}
		}
	})
}

// crossed is a chunk of another stream.
var crossed = []byte(`{"id":"` + strings.Repeat("0", 32) + `",` + delta(`"content":"of another caller"`) + `}`)

// faults is a plan of what goes wrong at which chunk of which engine, each once.
type faults struct {
	mu    sync.Mutex // guards plan
	plan  map[string]string
	label string
}

func (p *faults) String() string { return p.label }

func (p *faults) draw(rt *rapid.T, engines int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plan = map[string]string{}
	for range rapid.IntRange(1, 6).Draw(rt, "faults") {
		at := fmt.Sprintf("%d/%d", rapid.IntRange(0, engines-1).Draw(rt, "engine"), rapid.IntRange(0, 42).Draw(rt, "index"))
		p.plan[at] = rapid.SampledFrom([]string{"crash", "break", "double", "lose", "cross", "late"}).Draw(rt, "kind")
	}
	p.label = fmt.Sprint(p.plan)
}

func (p *faults) apply(engine *imitator.Engine, number int, c generator.Chunk) []generator.Chunk {
	at := fmt.Sprintf("%d/%d", number, c.Index)
	p.mu.Lock()
	kind := p.plan[at]
	delete(p.plan, at)
	p.mu.Unlock()
	other := c
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
		other.Index--
		return []generator.Chunk{other, c}
	case "cross":
		if !c.Done {
			other.Data = crossed
		}
		return []generator.Chunk{other}
	}
	return []generator.Chunk{c}
}
