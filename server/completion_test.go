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

// Property tests use a fixed seed, which -rapid.seed on the command line overrides.
func init() { flag.Set("rapid.seed", "1") }

// scriptedEngine is an engine whose streams have the given chunks.
type scriptedEngine struct {
	chunks []string // without the stream id
	breaks int      // index at which the first attempt breaks and can't be resumed; negative for none
	calls  []generator.Call
}

type scriptedStream struct {
	engine *scriptedEngine
	call   generator.Call
	next   int
}

func (s *scriptedEngine) Generate(_ context.Context, _ generator.Target, call generator.Call) (generator.Stream, error) {
	if call.Resume {
		return nil, generator.ErrNoStream
	}
	s.calls = append(s.calls, call)
	return &scriptedStream{engine: s, call: call, next: call.From}, nil
}

func (s *scriptedEngine) Cancel(context.Context, generator.Target, namer.StreamID) error { return nil }

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

// Guards against losing parts of a response, such as tool calls, when chunks are merged into one response
// body, as happens if only the text is collected.
func TestAggregate(t *testing.T) {
	is := is.New(t)
	engine := &scriptedEngine{breaks: -1, chunks: []string{
		`"created":7,"model":"model",` + delta(`"role":"assistant","content":null`),
		delta(`"reasoning_content":"hm"`), delta(`"content":"a"`), delta(`"role":"assistant","content":"b"`),
		delta(`"tool_calls":[{"index":0,"id":"call","type":"function","function":{"name":"cut","arguments":"{\"w"}}]`),
		delta(`"tool_calls":[{"index":0,"function":{"arguments":"\":1}"}},{"index":1,"id":"other","function":{"name":"sew"}}]`),
		`"choices":[{"index":0,"delta":{},"logprobs":{"content":[{"token":"a"}]}}]`,
		`"choices":[{"index":0,"delta":{},"logprobs":{"content":[{"token":"b"}]},"finish_reason":"tool_calls"}]`,
		`"choices":[],"usage":{"total_tokens":12345678901234567890}`,
	}}
	f := newFixture(t, &imitator.Engine{})
	response := f.startDaemon(t, withEngine(engine)).do(t, "POST", "/v1/chat/completions", chatBody(1, ""), nil)
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

// Guards against a retry whose continuation differs from the text that the caller has received, a retry
// after output other than text, and a retry after the finish reason has been delivered.
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
		"text":                    {[]string{delta(`"role":"assistant"`), text("a"), text(`\"é`), text("c"), finish}, 3, "", 2, `a"é`, true},
		"only the role":           {[]string{delta(`"role":"assistant"`), text("a"), finish}, 1, "", 2, "", true},
		"long text":               {[]string{text(long), text("b"), text(long), text("d"), finish}, 3, "", 2, long + "b" + long, true},
		"after the finish reason": {[]string{text("a"), finish}, 2, "", 1, "", true},
		"before the usage":        {[]string{text("a"), finish, `"choices":[],"usage":{}`}, 2, `,"stream_options":{"include_usage":true}`, 2, "a", true},
		"within a tool call":      {[]string{delta(`"tool_calls":[{"index":0}]`), text("a")}, 1, "", 1, "", false},
		"within reasoning output": {[]string{delta(`"reasoning_content":"hm"`), text("a")}, 1, "", 1, "", false},
		"malformed chunk":         {[]string{`"choices":5`, text("a")}, 1, "", 1, "", false},
		"before the first chunk":  {[]string{delta(`"tool_calls":[{"index":0}]`), text("a")}, 0, "", 2, "", true},
		"null tool calls":         {[]string{delta(`"content":"a","tool_calls":null`), text("b")}, 1, "", 2, "a", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			engine := &scriptedEngine{chunks: c.chunks, breaks: c.breaks}
			f := newFixture(t, &imitator.Engine{}, &imitator.Engine{})
			got := readAll(t, f.startDaemon(t, withEngine(engine)).do(t, "POST", "/v1/chat/completions", chatBody(1, `,"stream":true`+c.more), nil))
			is.Equal(got.done, c.done)
			is.Equal(got.errorEvent == "", c.done)
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

// Guards against delivered text that is altered by its delta encoding.
func TestContinuationOfAnyText(t *testing.T) {
	engine := &scriptedEngine{}
	daemon := newFixture(t, &imitator.Engine{}, &imitator.Engine{}).startDaemon(t, withEngine(engine))
	rapid.Check(t, func(rt *rapid.T) {
		texts := rapid.SliceOfN(rapid.String(), 1, 20).Draw(rt, "texts")
		*engine = scriptedEngine{breaks: rapid.IntRange(1, len(texts)).Draw(rt, "breaks")}
		for _, text := range texts {
			quoted, _ := json.Marshal(text)
			engine.chunks = append(engine.chunks, delta(`"content":`+string(quoted)))
		}
		got := readAll(t, daemon.do(t, "POST", "/v1/chat/completions", chatBody(1, `,"stream":true`), nil))
		want := strings.Join(texts[:engine.breaks], "")
		if last := engine.calls[len(engine.calls)-1]; !got.done || last.Continuation != want {
			rt.Fatalf("continuation is %q, want %q", last.Continuation, want)
		}
	})
}

// checkFuzzedRequest passes a request directly to the handler and checks that the response has one of the
// forms that the API allows.
func checkFuzzedRequest(t *testing.T, handler http.Handler, request *http.Request) {
	request.Header.Set("Authorization", "Bearer fitter-token")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	body := recorder.Body.String()
	if recorder.Code == http.StatusOK {
		if !strings.HasSuffix(body, "data: [DONE]\n\n") && !json.Valid([]byte(body)) {
			t.Fatalf("response body %q is neither JSON nor a complete stream", body)
		}
		return
	}
	var refusal struct {
		Error struct{ Code, Outcome string }
	}
	if json.Unmarshal([]byte(body), &refusal) != nil || refusal.Error.Code == "" || refusal.Error.Outcome != recorder.Header().Get("X-Outcome") {
		t.Fatalf("status %d has no valid error body: %q", recorder.Code, body)
	}
}

// Guards against request bodies that make the daemon panic, respond twice or send malformed JSON to an engine.
func FuzzCompletionBody(f *testing.F) {
	for _, seed := range []string{
		chatBody(1, ""), chatBody(1, `,"stream":true,"stream_options":{"include_usage":true}`), `{"model":"chat/model","messages":[]}`,
		`{"model":"model","messages":[],"stream":null,"max_tokens":null,"n":1}`, `{"model":"m","model":"m"}`, `[]`, `{"a":1e999}`, "{\"\xff\":1}",
		`{"model":"\u0000","messages":[]}`, `{"model":"/","messages":[]}`, `{"messages":[],"max_tokens":-1}`, ` {"model":"model","messages":[] } `,
	} {
		f.Add([]byte(seed))
	}
	engine := &scriptedEngine{breaks: -1, chunks: []string{delta(`"content":"a"`)}}
	handler := newFixture(f, &imitator.Engine{}).startDaemon(f, withEngine(engine)).server.Handler()
	f.Fuzz(func(t *testing.T, body []byte) {
		engine.calls = nil
		checkFuzzedRequest(t, handler, httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(string(body))))
		for _, call := range engine.calls {
			var sent map[string]any
			if err := json.Unmarshal(call.Body, &sent); err != nil || sent["stream"] != true || sent["model"] != "model" {
				t.Fatalf("engine received body %q: %v", call.Body, err)
			}
		}
	})
}

// Guards against request ids and event ids that make the daemon panic, and against accepting request ids
// without a valid signature.
func FuzzResumption(f *testing.F) {
	daemon := newFixture(f, &imitator.Engine{}).startDaemon(f)
	response := daemon.do(f, "POST", "/v1/chat/completions", chatBody(3, `,"stream":true`), nil)
	readAll(f, response)
	signedID := response.Header.Get("X-Request-Id")
	for _, last := range []string{"", "1-0", "1-4", "1--1", "999999999-999999999", "1-00", "a"} {
		f.Add(signedID, last)
	}
	f.Add("", "1-0")
	f.Add(signedID[1:], "")
	handler := daemon.server.Handler()
	f.Fuzz(func(t *testing.T, id, last string) {
		request := httptest.NewRequest("GET", "/v1/streams/x", nil)
		request.URL.Path = "/v1/streams/" + id
		request.Header["Last-Event-Id"] = []string{last}
		checkFuzzedRequest(t, handler, request)
	})
}
