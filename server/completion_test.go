package server_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"apricotspool/generator"
	"apricotspool/imitator"
	"apricotspool/namer"
)

// Property tests use a fixed seed; -rapid.seed on the command line replaces it.
func init() { flag.Set("rapid.seed", "1") }

// scripted is an engine whose streams carry given chunks. A negative break never happens.
type scripted struct {
	chunks []string // after the stream id
	breaks int      // index at which the first attempt breaks for good
	calls  []generator.Call
}

type scriptedStream struct {
	engine *scripted
	call   generator.Call
	next   int
}

func (s *scripted) Generate(_ context.Context, _ generator.Target, call generator.Call) (generator.Stream, error) {
	if call.Resume {
		return nil, generator.ErrNoStream
	}
	s.calls = append(s.calls, call)
	return &scriptedStream{engine: s, call: call, next: call.From}, nil
}

func (s *scripted) Cancel(context.Context, generator.Target, namer.StreamID) error { return nil }

func (s *scriptedStream) Attempt() namer.Attempt { return s.call.Attempt }
func (s *scriptedStream) Pending() bool          { return false }
func (s *scriptedStream) Close() error           { return nil }

func (s *scriptedStream) Next() (generator.Chunk, error) {
	chunk := generator.Chunk{Stream: s.call.Stream, Attempt: s.call.Attempt, Index: s.next}
	if s.call.Attempt == 1 && s.next == s.engine.breaks {
		return chunk, generator.ErrBroken
	}
	if chunk.Done = s.next == len(s.engine.chunks); !chunk.Done {
		chunk.Data = fmt.Appendf(nil, `{"id":%q,%s}`, s.call.Stream, s.engine.chunks[s.next])
		s.next++
	}
	return chunk, nil
}

func delta(members string) string { return `"choices":[{"index":0,"delta":{` + members + `}}]` }

// Guards against parts of an answer that get lost when chunks are merged, such as calls of tools, and
// against the bare text being taken for the whole answer.
func TestAggregate(t *testing.T) {
	is := is.New(t)
	engine := &scripted{breaks: -1, chunks: []string{
		`"created":7,"model":"model",` + delta(`"role":"assistant","content":null`),
		delta(`"reasoning_content":"hm"`), delta(`"content":"a"`), delta(`"role":"assistant","content":"b"`),
		delta(`"tool_calls":[{"index":0,"id":"call","type":"function","function":{"name":"cut","arguments":"{\"w"}}]`),
		delta(`"tool_calls":[{"index":0,"function":{"arguments":"\":1}"}},{"index":1,"id":"other","function":{"name":"sew"}}]`),
		`"choices":[{"index":0,"delta":{},"logprobs":{"content":[{"token":"a"}]}}]`,
		`"choices":[{"index":0,"delta":{},"logprobs":{"content":[{"token":"b"}]},"finish_reason":"tool_calls"}]`,
		`"choices":[],"usage":{"total_tokens":12345678901234567890}`,
	}}
	f := newFar(t, &imitator.Engine{})
	response := f.start(t, withEngine(engine)).do(t, "POST", "/v1/chat/completions", chat(1, ""), nil)
	var got map[string]any
	is.NoErr(json.NewDecoder(response.Body).Decode(&got))
	delete(got, "id")
	want := map[string]any{}
	is.NoErr(json.Unmarshal([]byte(`{"object":"chat.completion","created":7,"model":"model","usage":{"total_tokens":12345678901234567890},
		"choices":[{"index":0,"finish_reason":"tool_calls","logprobs":{"content":[{"token":"a"},{"token":"b"}]},
		"message":{"role":"assistant","content":"ab","reasoning_content":"hm","tool_calls":[
			{"index":0,"id":"call","type":"function","function":{"name":"cut","arguments":"{\"w\":1}"}},
			{"index":1,"id":"other","function":{"name":"sew"}}]}}]}`), &want))
	is.Equal(got, want)
}

// Guards against a rerun that gives the engine another text than the caller has, that asks an engine to
// go on after what is no text, or that answers again after the finish reason.
func TestContinuation(t *testing.T) {
	text := func(s string) string { return delta(`"content":"` + s + `"`) }
	finish := `"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]`
	long := strings.Repeat("x", 50<<10)
	for name, c := range map[string]struct {
		chunks       []string
		breaks       int
		more         string
		calls        int
		continuation string
		done         bool
	}{
		"text":                {[]string{delta(`"role":"assistant"`), text("a"), text(`\"é`), text("c"), finish}, 3, "", 2, `a"é`, true},
		"only the role":       {[]string{delta(`"role":"assistant"`), text("a"), finish}, 1, "", 2, "", true},
		"long text":           {[]string{text(long), text("b"), text(long), text("d"), finish}, 3, "", 2, long + "b" + long, true},
		"after the reason":    {[]string{text("a"), finish}, 2, "", 1, "", true},
		"before the usage":    {[]string{text("a"), finish, `"choices":[],"usage":{}`}, 2, `,"stream_options":{"include_usage":true}`, 2, "a", true},
		"within a tool call":  {[]string{delta(`"tool_calls":[{"index":0}]`), text("a")}, 1, "", 1, "", false},
		"within a reasoning":  {[]string{delta(`"reasoning_content":"hm"`), text("a")}, 1, "", 1, "", false},
		"malformed chunk":     {[]string{`"choices":5`, text("a")}, 1, "", 1, "", false},
		"before the first":    {[]string{delta(`"tool_calls":[{"index":0}]`), text("a")}, 0, "", 2, "", true},
		"null calls of tools": {[]string{delta(`"content":"a","tool_calls":null`), text("b")}, 1, "", 2, "a", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			engine := &scripted{chunks: c.chunks, breaks: c.breaks}
			f := newFar(t, &imitator.Engine{}, &imitator.Engine{})
			got := readAll(t, f.start(t, withEngine(engine)).do(t, "POST", "/v1/chat/completions", chat(1, `,"stream":true`+c.more), nil))
			is.Equal(got.done, c.done)
			is.Equal(got.fault == "", c.done)
			is.Equal(len(engine.calls), c.calls)
			if c.done {
				is.Equal(len(got.chunks), len(c.chunks))
			}
			last := engine.calls[len(engine.calls)-1]
			is.Equal(last.Continuation, c.continuation)
			if c.calls == 2 {
				is.Equal(last.From, c.breaks)
			}
		})
	}
}

// Guards against texts that change while they are kept as differences.
func TestContinuationOfAnyText(t *testing.T) {
	engine := &scripted{}
	daemon := newFar(t, &imitator.Engine{}, &imitator.Engine{}).start(t, withEngine(engine))
	rapid.Check(t, func(rt *rapid.T) {
		texts := rapid.SliceOfN(rapid.String(), 1, 20).Draw(rt, "texts")
		*engine = scripted{breaks: rapid.IntRange(1, len(texts)).Draw(rt, "breaks")}
		for _, text := range texts {
			quoted, _ := json.Marshal(text)
			engine.chunks = append(engine.chunks, delta(`"content":`+string(quoted)))
		}
		got := readAll(t, daemon.do(t, "POST", "/v1/chat/completions", chat(1, `,"stream":true`), nil))
		want := strings.Join(texts[:engine.breaks], "")
		if last := engine.calls[len(engine.calls)-1]; !got.done || last.Continuation != want {
			rt.Fatalf("continuation %q, expected %q", last.Continuation, want)
		}
	})
}

// fuzzed sends a request past the network to a daemon and checks that the answer has one of the forms
// of the API.
func fuzzed(t *testing.T, handler http.Handler, request *http.Request) {
	request.Header.Set("Authorization", "Bearer fitter-token")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	body := recorder.Body.String()
	if recorder.Code == http.StatusOK {
		if !strings.HasSuffix(body, "data: [DONE]\n\n") && !json.Valid([]byte(body)) {
			t.Fatalf("answer %q", body)
		}
		return
	}
	var refusal struct {
		Error struct{ Code, Outcome string }
	}
	if json.Unmarshal([]byte(body), &refusal) != nil || refusal.Error.Code == "" || refusal.Error.Outcome != recorder.Header().Get("X-Outcome") {
		t.Fatalf("status %d with body %q", recorder.Code, body)
	}
}

// Guards against bodies that make the daemon panic, answer twice or pass malformed JSON to an engine.
func FuzzCompletionBody(f *testing.F) {
	for _, seed := range []string{
		chat(1, ""), chat(1, `,"stream":true,"stream_options":{"include_usage":true}`), `{"model":"chat/model","messages":[]}`,
		`{"model":"model","messages":[],"stream":null,"max_tokens":null,"n":1}`, `{"model":"m","model":"m"}`, `[]`, `{"a":1e999}`, "{\"\xff\":1}",
		`{"model":"\u0000","messages":[]}`, `{"model":"/","messages":[]}`, `{"messages":[],"max_tokens":-1}`, ` {"model":"model","messages":[] } `,
	} {
		f.Add([]byte(seed))
	}
	engine := &scripted{breaks: -1, chunks: []string{delta(`"content":"a"`)}}
	handler := newFar(f, &imitator.Engine{}).start(f, withEngine(engine)).server.Handler()
	f.Fuzz(func(t *testing.T, body []byte) {
		engine.calls = nil
		fuzzed(t, handler, httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(string(body))))
		for _, call := range engine.calls {
			var sent map[string]any
			if err := json.Unmarshal(call.Body, &sent); err != nil || sent["stream"] != true || sent["model"] != "model" {
				t.Fatalf("engine gets %q: %v", call.Body, err)
			}
		}
	})
}

// Guards against request ids and event ids that make the daemon panic or that pass unsigned.
func FuzzResumption(f *testing.F) {
	daemon := newFar(f, &imitator.Engine{}).start(f)
	response := daemon.do(f, "POST", "/v1/chat/completions", chat(3, `,"stream":true`), nil)
	readAll(f, response)
	own := response.Header.Get("X-Request-Id")
	for _, last := range []string{"", "1-0", "1-4", "1--1", "999999999-999999999", "1-00", "a"} {
		f.Add(own, last)
	}
	f.Add("", "1-0")
	f.Add(own[1:], "")
	handler := daemon.server.Handler()
	f.Fuzz(func(t *testing.T, id, last string) {
		request := httptest.NewRequest("GET", "/v1/streams/x", nil)
		request.URL.Path = "/v1/streams/" + id
		request.Header["Last-Event-Id"] = []string{last}
		fuzzed(t, handler, request)
	})
}
