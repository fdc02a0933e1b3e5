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

// Guards against refusals with the wrong outcome or status, or without Retry-After.
func TestRefusals(t *testing.T) {
	daemon := newFixture(t, &imitator.Engine{}).startDaemon(t)
	guest := map[string]string{"Authorization": "Bearer guest-token"}
	for name, c := range map[string]struct {
		method, path, body string
		header             map[string]string
		outcome            classifier.Outcome
	}{
		"no token":                 {"GET", "/v1/models", "", map[string]string{"Authorization": ""}, classifier.Unauthenticated},
		"unknown token":            {"GET", "/v1/models", "", map[string]string{"Authorization": "Bearer x"}, classifier.Unauthenticated},
		"wrong scheme":             {"GET", "/v1/models", "", map[string]string{"Authorization": "Basic fitter-token"}, classifier.Unauthenticated},
		"unknown path":             {"GET", "/v2/models", "", nil, classifier.NotFound},
		"wrong method":             {"GET", "/v1/completions", "", nil, classifier.NotFound},
		"malformed body":           {"POST", "/v1/chat/completions", `{"model":`, nil, classifier.BadRequest},
		"duplicate member":         {"POST", "/v1/chat/completions", chatBody(1, `,"model":"model"`), nil, classifier.BadRequest},
		"reserved member":          {"POST", "/v1/chat/completions", chatBody(1, `,"continuation":"x"`), nil, classifier.BadRequest},
		"several choices":          {"POST", "/v1/chat/completions", chatBody(1, `,"n":2`), nil, classifier.BadRequest},
		"data after the body":      {"POST", "/v1/chat/completions", chatBody(1, "") + "{}", nil, classifier.BadRequest},
		"unknown model":            {"POST", "/v1/completions", `{"model":"none","prompt":"x"}`, nil, classifier.NotFound},
		"model of another service": {"POST", "/v1/completions", `{"model":"secret","prompt":"x"}`, nil, classifier.Forbidden},
		"large body":               {"POST", "/v1/completions", chatBody(1, `,"user":"`+strings.Repeat("x", 100_000)+`"`), nil, classifier.TooLarge},
		"raised rank":              {"POST", "/v1/chat/completions", chatBody(1, ""), map[string]string{"X-Rank": "urgent", "Authorization": "Bearer guest-token"}, classifier.Forbidden},
		"unknown rank":             {"POST", "/v1/chat/completions", chatBody(1, ""), map[string]string{"X-Rank": "best"}, classifier.BadRequest},
		"unknown service":          {"GET", "/services/none/x", "", nil, classifier.NotFound},
		"model service":            {"GET", "/services/chat/x", "", nil, classifier.NotFound},
		"service of other callers": {"GET", "/services/desk/x", "", guest, classifier.Forbidden},
		"large call":               {"PUT", "/services/desk/echo", strings.Repeat("x", 200_001), nil, classifier.TooLarge},
		"key without a claimer":    {"POST", "/services/desk/orders", "{}", map[string]string{"Idempotency-Key": "k"}, classifier.StoreUnavailable},
		"unknown request id":       {"GET", "/v1/streams/AAAA", "", nil, classifier.NotFound},
		"rejected by engine":       {"POST", "/v1/chat/completions", chatBody(1, `,"stream":true,"user":1,"model_":0,"stream_options":null,"messages_":[],"prompt":5`), nil, classifier.BadRequest},
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

// Guards against responses that differ from the engine's, with and without streaming.
func TestCompletions(t *testing.T) {
	is := is.New(t)
	daemon := newFixture(t, &imitator.Engine{}).withRealCore().startDaemon(t)
	for _, more := range []string{`,"stream":true`, `,"stream":true,"stream_options":{"include_usage":true}`} {
		response := daemon.do(t, "POST", "/v1/chat/completions", chatBody(20, more), map[string]string{"X-Rank": "free"})
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(response.Header.Get("Content-Type"), "text/event-stream")
		got := readAll(t, response)
		is.True(got.done)
		is.Equal(got.chunks, expectedChunks(t, 20, more))
		is.Equal(got.last[:2], "1-")
	}
	var response struct {
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
		"/v1/chat/completions": chatBody(20, ""), "/v1/completions": `{"model":"model","max_tokens":20,"prompt":"how wide is the belt\n"}`,
	} {
		is.NoErr(json.Unmarshal([]byte(readBody(t, daemon.do(t, "POST", path, body, nil))), &response))
		full, err := imitator.NewCompletion("", []byte(body), 0)
		is.NoErr(err)
		is.Equal(response.Choices[0].Text+response.Choices[0].Message.Content, full.Text(20))
		is.Equal(response.Choices[0].FinishReason, "length")
		is.Equal(response.Usage.Completion, 20)
		response.Choices = nil
	}
	models := readBody(t, daemon.do(t, "GET", "/v1/models", "", nil))
	is.Equal(models, `{"object":"list","data":[{"id":"chat/model","object":"model","created":0,"owned_by":"chat"}]}`)
}

// Guards against engine failures and foreign, missing, duplicate or reordered chunks that alter the response
// to the caller (P4).
func TestEngineFailuresAreTransparent(t *testing.T) {
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
	withForeignData := func(c generator.Chunk) generator.Chunk {
		c.Data = foreignChunk
		return c
	}
	for name, c := range map[string]struct {
		distort distortion // applied to both engines
		fail    func(*fixture)
		started int // streams that the engines started; after a mere connection failure the same stream is resumed
	}{
		"crash":                 {nil, func(f *fixture) { f.engines[0].Crash() }, 2},
		"crash of both engines": {nil, func(f *fixture) { f.engines[0].Crash(); f.engines[1].Crash() }, 2},
		"broken connection":     {nil, func(f *fixture) { f.engines[0].BreakConnections() }, 1},
		"duplicate chunk":       {once(func(c generator.Chunk) []generator.Chunk { return []generator.Chunk{c, c} }), nil, 1},
		"missing chunk":         {once(func(generator.Chunk) []generator.Chunk { return nil }), nil, 1},
		"reordered chunk": {once(func(c generator.Chunk) []generator.Chunk {
			late := c
			late.Index--
			return []generator.Chunk{late, c}
		}), nil, 1},
		"foreign chunk": {once(func(c generator.Chunk) []generator.Chunk { return []generator.Chunk{withForeignData(c)} }), nil, 1},
		"foreign, then reordered": {once(func(c generator.Chunk) []generator.Chunk {
			return []generator.Chunk{withForeignData(c), withForeignData(c), c}
		}), nil, 1},
		"an engine that keeps sending foreign chunks": {func(c generator.Chunk) []generator.Chunk {
			if c.Attempt == 1 && c.Index >= 20 {
				c = withForeignData(c)
			}
			return []generator.Chunk{c}
		}, nil, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, &imitator.Engine{Interval: 200 * time.Microsecond}, &imitator.Engine{Interval: 200 * time.Microsecond})
			f.handlers[0].Distort, f.handlers[1].Distort = c.distort, c.distort
			daemon := f.startDaemon(t)
			const more = `,"stream":true,"stream_options":{"include_usage":true}`
			response := daemon.do(t, "POST", "/v1/chat/completions", chatBody(100, more), nil)
			in := bufio.NewReader(response.Body)
			got := &received{}
			got.read(t, in, 10)
			if c.fail != nil {
				c.fail(f)
			}
			got.read(t, in, -1)
			is.Equal(got.errorEvent, "")
			is.True(got.done)
			is.Equal(got.chunks, expectedChunks(t, 100, more))
			is.Equal(f.engines[0].Started()+f.engines[1].Started(), c.started)
		})
	}
}

// Guards against a stream that breaks for good, because no engine can continue it, but looks complete to
// the caller.
func TestLostStreamEndsWithAnError(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, &imitator.Engine{Interval: 200 * time.Microsecond})
	response := f.startDaemon(t).do(t, "POST", "/v1/chat/completions", chatBody(1000, `,"stream":true`), nil)
	in := bufio.NewReader(response.Body)
	got := &received{}
	got.read(t, in, 10)
	f.engines[0].Crash()
	got.read(t, in, -1)
	is.True(!got.done)
	is.True(strings.Contains(got.errorEvent, `"outcome":"unknown"`))
}

// Guards against a shutdown that aborts requests in flight, or rejects or delays new ones while draining (P8).
func TestDrainCompletesStreams(t *testing.T) {
	const streams, tokens = 256, 50
	is := is.New(t)
	f := newFixture(t, &imitator.Engine{}, &imitator.Engine{}).withRealCore()
	draining := make(chan struct{})
	for _, h := range f.handlers { // no stream ends before the drain starts
		h.Distort = func(c generator.Chunk) []generator.Chunk {
			if c.Index == 10 {
				<-draining
			}
			return []generator.Chunk{c}
		}
	}
	daemon := f.startDaemon(t)
	release := sync.OnceFunc(func() { close(draining) })
	t.Cleanup(release)
	want := expectedChunks(t, tokens, `,"stream":true`)
	started, results := make(chan struct{}, streams), make(chan *received, streams)
	for range streams {
		go func() {
			response := daemon.do(t, "POST", "/v1/chat/completions", chatBody(tokens, `,"stream":true`), nil)
			in := bufio.NewReader(response.Body)
			got := &received{}
			got.read(t, in, 1)
			started <- struct{}{}
			got.read(t, in, -1)
			results <- got
		}()
	}
	for range streams {
		<-started
	}
	is.Equal(daemon.server.InFlight(), streams)
	is.Equal(daemon.do(t, "GET", "/readyz", "", nil).StatusCode, http.StatusOK)
	daemon.server.SetDraining()
	is.Equal(daemon.do(t, "GET", "/readyz", "", nil).StatusCode, http.StatusServiceUnavailable)
	late := readAll(t, daemon.do(t, "POST", "/v1/chat/completions", chatBody(1, `,"stream":true`), nil))
	is.True(late.done) // the load balancer may not have noticed yet
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
	is.Equal(daemon.server.InFlight(), 0)
}

// Guards against a daemon that buffers the response to a slow caller without limit instead of applying
// backpressure to the engine, and against a slow caller that blocks others.
func TestSlowCallerBackpressure(t *testing.T) {
	const tokens = 20_000 // of 2 kB each, more than the socket buffers hold
	is := is.New(t)
	f := newFixture(t, &imitator.Engine{})
	var sent atomic.Int64
	f.handlers[0].Distort = func(c generator.Chunk) []generator.Chunk {
		sent.Add(1)
		if !c.Done {
			c.Data = append(c.Data[:len(c.Data)-1], `,"padding":"`+strings.Repeat("x", 2000)+`"}`...)
		}
		return []generator.Chunk{c}
	}
	daemon := f.startDaemon(t)
	response := daemon.do(t, "POST", "/v1/chat/completions", chatBody(tokens, `,"stream":true`), nil)
	in := bufio.NewReader(response.Body)
	got := &received{}
	got.read(t, in, 1)
	for before := int64(-1); sent.Load() != before; time.Sleep(100 * time.Millisecond) {
		before = sent.Load()
	}
	is.True(sent.Load() < tokens)
	other := readAll(t, daemon.do(t, "POST", "/v1/chat/completions", chatBody(5, `,"stream":true`), nil))
	is.True(other.done)
	got.read(t, in, -1)
	is.True(got.done)
	is.Equal(len(got.chunks), tokens+2)
}
