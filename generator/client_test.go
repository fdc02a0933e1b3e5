package generator_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"apricotspool/generator"
	"apricotspool/generator/generatortest"
	"apricotspool/namer"
)

// Property tests use a fixed seed, which -rapid.seed on the command line overrides.
func init() { flag.Set("rapid.seed", "1") }

const testStream = namer.StreamID("00112233445566778899aabbccddeeff")

func sseEvent(id, streamID, text string) string {
	return fmt.Sprintf("id: %s\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, streamID, text)
}

func startEngine(t *testing.T, respond func(w http.ResponseWriter)) generator.Target {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		respond(w)
	}))
	t.Cleanup(server.Close)
	return generator.Target{Endpoint: "far", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

// Guards against passing on chunks of other streams or attempts, and against accepting streams with
// reordered, duplicate or missing chunks or a truncated end.
func TestForeignChunksBreakTheStream(t *testing.T) {
	good := sseEvent("2-3", string(testStream), "a")
	otherStream := strings.Repeat("0", 32)
	cases := map[string]struct {
		stream, attempt, events string
		chunks                  int // delivered before the error
		class                   error
	}{
		"complete":                     {string(testStream), "2", good + "data: [DONE]\n\n", 1, nil},
		"comments and CRLF":            {string(testStream), "2", ": hello\r\n\r\n" + strings.ReplaceAll(good, "\n", "\r\n") + "data: [DONE]\n\n", 1, nil},
		"truncated after a chunk":      {string(testStream), "2", good, 1, generator.ErrBroken},
		"truncated within a chunk":     {string(testStream), "2", good + "id: 2-4\nda", 1, generator.ErrBroken},
		"duplicate chunk":              {string(testStream), "2", good + good, 1, generator.ErrBroken},
		"missing chunk":                {string(testStream), "2", good + sseEvent("2-5", string(testStream), "c"), 1, generator.ErrBroken},
		"reordered chunk":              {string(testStream), "2", good + sseEvent("2-2", string(testStream), "z"), 1, generator.ErrBroken},
		"chunk of another attempt":     {string(testStream), "2", sseEvent("1-3", string(testStream), "a"), 0, generator.ErrBroken},
		"chunk of another stream":      {string(testStream), "2", good + sseEvent("2-4", otherStream, "x"), 1, generator.ErrBroken},
		"chunk without an id":          {string(testStream), "2", good + "data: {}\n\n", 1, generator.ErrBroken},
		"signed index":                 {string(testStream), "2", sseEvent("2-+3", string(testStream), "a"), 0, generator.ErrBroken},
		"response for another stream":  {otherStream, "2", good, 0, generator.ErrBroken},
		"response for another attempt": {string(testStream), "1", good, 0, generator.ErrBroken},
		"response without headers":     {"", "", good, 0, generator.ErrBroken},
		"chunk over the limit":         {string(testStream), "2", sseEvent("2-3", string(testStream), strings.Repeat("x", generator.MaxEventBytes)), 0, generator.ErrBroken},
		"many lines":                   {string(testStream), "2", strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 300), 0, generator.ErrBroken},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			to := startEngine(t, func(w http.ResponseWriter) {
				w.Header().Set(generator.HeaderStream, c.stream)
				w.Header().Set(generator.HeaderAttempt, c.attempt)
				io.WriteString(w, c.events)
			})
			call := generator.Call{Stream: testStream, Attempt: 2, Operation: generator.ChatCompletions, From: 3, Body: []byte("{}")}
			chunks, done, err := []string(nil), false, error(nil)
			s, err := (&generator.Client{}).Generate(t.Context(), to, call)
			if err == nil {
				defer s.Close()
				chunks, done, err = generatortest.Read(s, -1)
			}
			is.Equal(len(chunks), c.chunks)
			is.Equal(done, c.class == nil)
			is.True(errors.Is(err, c.class))
		})
	}
}

// Guards against mapping a status to the wrong error class, after which calls would be retried that must
// not be, or not retried although they can be.
func TestStatusesMapToClasses(t *testing.T) {
	for status, class := range map[int]error{
		400: generator.ErrRejected, 404: generator.ErrNoStream, 409: generator.ErrFenced, 413: generator.ErrRejected,
		429: generator.ErrRefused, 500: generator.ErrBroken, 503: generator.ErrRefused,
	} {
		is := is.New(t)
		to := startEngine(t, func(w http.ResponseWriter) { w.WriteHeader(status) })
		_, err := (&generator.Client{}).Generate(t.Context(), to, generatortest.NewCall("p", 1))
		is.True(errors.Is(err, class))
	}
	is := is.New(t)
	unreachable := generator.Target{Address: netip.MustParseAddrPort("127.0.0.1:1")}
	_, err := (&generator.Client{}).Generate(t.Context(), unreachable, generatortest.NewCall("p", 1))
	is.True(errors.Is(err, generator.ErrNotStarted))
	is.True(errors.Is((&generator.Client{}).Command(t.Context(), unreachable, generator.Command{}), generator.ErrNotStarted))
	broken := startEngine(t, func(http.ResponseWriter) { panic(http.ErrAbortHandler) })
	is.True(errors.Is((&generator.Client{}).Command(t.Context(), broken, generator.Command{}), generator.ErrUncertain))
}

// Guards against a continuation that is modified when it is encoded into the body.
func TestContinuationSurvivesTheBody(t *testing.T) {
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { body, _ = io.ReadAll(r.Body) }))
	defer server.Close()
	to := generator.Target{Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	rapid.Check(t, func(t *rapid.T) {
		call := generator.Call{Stream: testStream, Attempt: 2, From: 1, Operation: generator.Completions}
		call.Continuation = rapid.String().Draw(t, "continuation")
		call.Body = []byte(rapid.SampledFrom([]string{`{}`, " { } \n", `{"model":"m"}`, `{"a":{}}` + "\t"}).Draw(t, "body"))
		(&generator.Client{}).Generate(t.Context(), to, call)
		var got struct{ Continuation string }
		if err := json.Unmarshal(body, &got); err != nil || got.Continuation != call.Continuation {
			t.Fatalf("body %q does not hold the continuation: %v", body, err)
		}
	})
}

// Guards against input that makes the reader panic, loop or use unbounded memory, and against event ids
// that are accepted in more than one form.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		sseEvent("1-0", string(testStream), "a") + "data: [DONE]\n\n", "data:x\ndata: y\n\n", ":\n\nid:1-0\n\n", "id: 1-0\r\ndata", "\n\n\n", "1-0", "01-0", "1--0",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := generator.NewEventReader(bytes.NewReader(input))
		for events := 0; ; events++ {
			event, err := reader.Next()
			if err != nil {
				break
			}
			if len(event.Data) > generator.MaxEventBytes || events > len(input) {
				t.Fatalf("event %d is too many or too large: %d bytes", events, len(event.Data))
			}
		}
		attempt, index, err := generator.ParseEventID(string(input))
		if err == nil && generator.FormatEventID(attempt, index) != string(input) {
			t.Fatalf("id %q is not canonical but parses as attempt %d, index %d", input, attempt, index)
		}
	})
}
