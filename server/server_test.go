package server_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/generator"
	"apricotspool/imitator"
)

// Guards against refusals without a true outcome, with the wrong status or without the time to retry.
func TestRefusals(t *testing.T) {
	daemon := newFar(t, &imitator.Engine{}).start(t)
	guest := map[string]string{"Authorization": "Bearer guest-token"}
	for name, c := range map[string]struct {
		method, path, body string
		header             map[string]string
		outcome            classifier.Outcome
	}{
		"no token":            {"GET", "/v1/models", "", map[string]string{"Authorization": ""}, classifier.Unauthenticated},
		"unknown token":       {"GET", "/v1/models", "", map[string]string{"Authorization": "Bearer x"}, classifier.Unauthenticated},
		"wrong scheme":        {"GET", "/v1/models", "", map[string]string{"Authorization": "Basic fitter-token"}, classifier.Unauthenticated},
		"unknown path":        {"GET", "/v2/models", "", nil, classifier.NotFound},
		"wrong method":        {"GET", "/v1/completions", "", nil, classifier.NotFound},
		"malformed body":      {"POST", "/v1/chat/completions", `{"model":`, nil, classifier.BadRequest},
		"doubled member":      {"POST", "/v1/chat/completions", chat(1, `,"model":"model"`), nil, classifier.BadRequest},
		"reserved member":     {"POST", "/v1/chat/completions", chat(1, `,"continuation":"x"`), nil, classifier.BadRequest},
		"several answers":     {"POST", "/v1/chat/completions", chat(1, `,"n":2`), nil, classifier.BadRequest},
		"data after the body": {"POST", "/v1/chat/completions", chat(1, "") + "{}", nil, classifier.BadRequest},
		"unknown model":       {"POST", "/v1/completions", `{"model":"none","prompt":"x"}`, nil, classifier.NotFound},
		"model of others":     {"POST", "/v1/completions", `{"model":"secret","prompt":"x"}`, nil, classifier.Forbidden},
		"large body":          {"POST", "/v1/completions", chat(1, `,"user":"`+strings.Repeat("x", 100_000)+`"`), nil, classifier.TooLarge},
		"raised rank":         {"POST", "/v1/chat/completions", chat(1, ""), map[string]string{"X-Rank": "urgent", "Authorization": "Bearer guest-token"}, classifier.Forbidden},
		"unknown rank":        {"POST", "/v1/chat/completions", chat(1, ""), map[string]string{"X-Rank": "best"}, classifier.BadRequest},
		"unknown service":     {"GET", "/services/none/x", "", nil, classifier.NotFound},
		"model service":       {"GET", "/services/chat/x", "", nil, classifier.NotFound},
		"service of others":   {"GET", "/services/desk/x", "", guest, classifier.Forbidden},
		"large call":          {"PUT", "/services/desk/echo", strings.Repeat("x", 200_001), nil, classifier.TooLarge},
		"key without claims":  {"POST", "/services/desk/orders", "{}", map[string]string{"Idempotency-Key": "k"}, classifier.StoreUnavailable},
		"unknown request id":  {"GET", "/v1/streams/AAAA", "", nil, classifier.NotFound},
		"rejected by engine":  {"POST", "/v1/chat/completions", chat(1, `,"stream":true,"user":1,"model_":0,"stream_options":null,"messages_":[],"prompt":5`), nil, classifier.BadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response := daemon.do(t, c.method, c.path, c.body, c.header)
			class := c.outcome.Class()
			is.Equal(response.StatusCode, class.Status)
			is.Equal(response.Header.Get("X-Outcome"), string(class.Execution))
			is.Equal(response.Header.Get("Retry-After") != "", class.Retry)
			is.True(response.Header.Get("X-Request-Id") != "")
			var body struct {
				Error struct{ Type, Code, Message, Outcome string }
			}
			is.NoErr(json.NewDecoder(response.Body).Decode(&body))
			is.Equal([]string{body.Error.Code, body.Error.Outcome}, []string{string(c.outcome), string(class.Execution)})
			is.True(body.Error.Type != "" && body.Error.Message != "")
		})
	}
}

// Guards against answers that differ from the engine's, with and without streaming.
func TestCompletions(t *testing.T) {
	is := is.New(t)
	daemon := newFar(t, &imitator.Engine{}).realCore().start(t)
	for _, more := range []string{`,"stream":true`, `,"stream":true,"stream_options":{"include_usage":true}`} {
		response := daemon.do(t, "POST", "/v1/chat/completions", chat(20, more), map[string]string{"X-Rank": "free"})
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(response.Header.Get("Content-Type"), "text/event-stream")
		got := readAll(t, response)
		is.True(got.done)
		is.Equal(got.chunks, expected(t, 20, more))
		is.Equal(got.last[:2], "1-")
	}
	var answer struct {
		Object  string
		Choices []struct {
			Text         string
			Message      struct{ Role, Content string }
			FinishReason string `json:"finish_reason"`
		}
		Usage struct {
			Completion int `json:"completion_tokens"`
		}
	}
	for path, body := range map[string]string{
		"/v1/chat/completions": chat(20, ""), "/v1/completions": `{"model":"model","max_tokens":20,"prompt":"how wide is the belt\n"}`,
	} {
		is.NoErr(json.Unmarshal([]byte(text(t, daemon.do(t, "POST", path, body, nil))), &answer))
		whole, err := imitator.NewAnswer("", []byte(body), 0)
		is.NoErr(err)
		is.Equal(answer.Choices[0].Text+answer.Choices[0].Message.Content, whole.Text(20))
		is.Equal(answer.Choices[0].FinishReason, "length")
		is.Equal(answer.Usage.Completion, 20)
		answer.Choices = nil
	}
	models := text(t, daemon.do(t, "GET", "/v1/models", "", nil))
	is.Equal(models, `{"object":"list","data":[{"id":"chat/model","object":"model","created":0,"owned_by":"chat"}]}`)
}

// Guards against an engine failure, or chunks of other streams, that lose, double or change a part of
// the answer (P4).
func TestEngineFailuresDoNotShow(t *testing.T) {
	type distortion = func(generator.Chunk) []generator.Chunk
	once := func(distort distortion) distortion {
		var left atomic.Int32
		left.Store(1)
		return func(c generator.Chunk) []generator.Chunk {
			if c.Index == 20 && left.Add(-1) >= 0 {
				return distort(c)
			}
			return []generator.Chunk{c}
		}
	}
	crossed := func(c generator.Chunk) generator.Chunk {
		c.Data = crossed
		return c
	}
	for name, c := range map[string]struct {
		distort distortion // of both engines
		fail    func(*far)
		started int // streams that engines have begun; a broken connection alone begins no second one
	}{
		"crash":             {nil, func(f *far) { f.engines[0].Crash() }, 2},
		"crash of both":     {nil, func(f *far) { f.engines[0].Crash(); f.engines[1].Crash() }, 2},
		"broken connection": {nil, func(f *far) { f.engines[0].BreakConnections() }, 1},
		"doubled chunk":     {once(func(c generator.Chunk) []generator.Chunk { return []generator.Chunk{c, c} }), nil, 1},
		"lost chunk":        {once(func(generator.Chunk) []generator.Chunk { return nil }), nil, 1},
		"late chunk": {once(func(c generator.Chunk) []generator.Chunk {
			late := c
			late.Index--
			return []generator.Chunk{late, c}
		}), nil, 1},
		"crossed chunk":    {once(func(c generator.Chunk) []generator.Chunk { return []generator.Chunk{crossed(c)} }), nil, 1},
		"crossed and late": {once(func(c generator.Chunk) []generator.Chunk { return []generator.Chunk{crossed(c), crossed(c), c} }), nil, 1},
		"an engine that always crosses": {func(c generator.Chunk) []generator.Chunk {
			if c.Attempt == 1 && c.Index >= 20 {
				c = crossed(c)
			}
			return []generator.Chunk{c}
		}, nil, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFar(t, &imitator.Engine{Interval: 200 * time.Microsecond}, &imitator.Engine{Interval: 200 * time.Microsecond})
			f.handlers[0].Distort, f.handlers[1].Distort = c.distort, c.distort
			daemon := f.start(t)
			const more = `,"stream":true,"stream_options":{"include_usage":true}`
			response := daemon.do(t, "POST", "/v1/chat/completions", chat(100, more), nil)
			in := bufio.NewReader(response.Body)
			got := &received{}
			got.read(t, in, 10)
			if c.fail != nil {
				c.fail(f)
			}
			got.read(t, in, -1)
			is.Equal(got.fault, "")
			is.True(got.done)
			is.Equal(got.chunks, expected(t, 100, more))
			is.Equal(f.engines[0].Started()+f.engines[1].Started(), c.started)
		})
	}
}

// Guards against a break that no engine can take over and that the caller takes for the end.
func TestLostStreamEndsWithAnError(t *testing.T) {
	is := is.New(t)
	f := newFar(t, &imitator.Engine{Interval: 200 * time.Microsecond})
	response := f.start(t).do(t, "POST", "/v1/chat/completions", chat(1000, `,"stream":true`), nil)
	in := bufio.NewReader(response.Body)
	got := &received{}
	got.read(t, in, 10)
	f.engines[0].Crash()
	got.read(t, in, -1)
	is.True(!got.done)
	is.True(strings.Contains(got.fault, `"outcome":"unknown"`))
}

// Guards against a shutdown that cuts requests or keeps new ones waiting (P8).
func TestDrainCutsNoStream(t *testing.T) {
	const streams, tokens = 256, 50
	is := is.New(t)
	f := newFar(t, &imitator.Engine{}, &imitator.Engine{}).realCore()
	drained := make(chan struct{})
	for _, h := range f.handlers { // no stream ends before the drain begins
		h.Distort = func(c generator.Chunk) []generator.Chunk {
			if c.Index == 10 {
				<-drained
			}
			return []generator.Chunk{c}
		}
	}
	daemon := f.start(t)
	release := sync.OnceFunc(func() { close(drained) })
	t.Cleanup(release)
	want := expected(t, tokens, `,"stream":true`)
	begun, results := make(chan struct{}, streams), make(chan *received, streams)
	for range streams {
		go func() {
			response := daemon.do(t, "POST", "/v1/chat/completions", chat(tokens, `,"stream":true`), nil)
			in := bufio.NewReader(response.Body)
			got := &received{}
			got.read(t, in, 1)
			begun <- struct{}{}
			got.read(t, in, -1)
			results <- got
		}()
	}
	for range streams {
		<-begun
	}
	is.Equal(daemon.server.Held(), streams)
	is.Equal(daemon.do(t, "GET", "/readyz", "", nil).StatusCode, http.StatusOK)
	daemon.server.SetDraining()
	is.Equal(daemon.do(t, "GET", "/readyz", "", nil).StatusCode, http.StatusServiceUnavailable)
	late := readAll(t, daemon.do(t, "POST", "/v1/chat/completions", chat(1, `,"stream":true`), nil))
	is.True(late.done) // the balancer has not noticed yet
	stopped := make(chan error, 1)
	go func() { stopped <- daemon.http.Shutdown(context.Background()) }()
	expired, stop := context.WithTimeout(t.Context(), 0)
	defer stop()
	is.True(daemon.server.Wait(expired) != nil)
	release()
	for range streams {
		got := <-results
		is.True(got.done)
		is.Equal(got.chunks, want)
	}
	is.NoErr(<-stopped)
	is.NoErr(daemon.server.Wait(t.Context()))
	is.Equal(daemon.server.Held(), 0)
}

// Guards against a daemon that takes a slow caller's answer into its own memory, or lets it hold up others.
func TestSlowReaderHoldsTheEngineBack(t *testing.T) {
	const tokens = 20_000 // of 2 kB, more than the socket buffers take
	is := is.New(t)
	f := newFar(t, &imitator.Engine{})
	var sent atomic.Int64
	f.handlers[0].Distort = func(c generator.Chunk) []generator.Chunk {
		sent.Add(1)
		if !c.Done {
			c.Data = append(c.Data[:len(c.Data)-1], `,"padding":"`+strings.Repeat("x", 2000)+`"}`...)
		}
		return []generator.Chunk{c}
	}
	daemon := f.start(t)
	response := daemon.do(t, "POST", "/v1/chat/completions", chat(tokens, `,"stream":true`), nil)
	in := bufio.NewReader(response.Body)
	got := &received{}
	got.read(t, in, 1)
	for before := int64(-1); sent.Load() != before; time.Sleep(100 * time.Millisecond) {
		before = sent.Load()
	}
	is.True(sent.Load() < tokens)
	other := readAll(t, daemon.do(t, "POST", "/v1/chat/completions", chat(5, `,"stream":true`), nil))
	is.True(other.done)
	got.read(t, in, -1)
	is.True(got.done)
	is.Equal(len(got.chunks), tokens+2)
}
