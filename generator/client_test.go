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

// Property tests use a fixed seed; -rapid.seed on the command line replaces it.
func init() { flag.Set("rapid.seed", "1") }

const stream = namer.StreamID("00112233445566778899aabbccddeeff")

func event(id, of, text string) string {
	return fmt.Sprintf("id: %s\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, of, text)
}

func serve(t *testing.T, answer func(w http.ResponseWriter)) generator.Target {
	far := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		answer(w)
	}))
	t.Cleanup(far.Close)
	return generator.Target{Endpoint: "far", Address: netip.MustParseAddrPort(far.Listener.Addr().String())}
}

// Guards against chunks of other streams or attempts, late, doubled or lost chunks and cut streams
// that reach a caller as part of its answer.
func TestForeignChunksBreakTheStream(t *testing.T) {
	good := event("2-3", string(stream), "a")
	other := strings.Repeat("0", 32)
	cases := map[string]struct {
		stream, attempt, events string
		chunks                  int // delivered before the fault
		class                   error
	}{
		"complete":               {string(stream), "2", good + "data: [DONE]\n\n", 1, nil},
		"comments and CRLF":      {string(stream), "2", ": hello\r\n\r\n" + strings.ReplaceAll(good, "\n", "\r\n") + "data: [DONE]\n\n", 1, nil},
		"cut after a chunk":      {string(stream), "2", good, 1, generator.ErrBroken},
		"cut within a chunk":     {string(stream), "2", good + "id: 2-4\nda", 1, generator.ErrBroken},
		"doubled chunk":          {string(stream), "2", good + good, 1, generator.ErrBroken},
		"lost chunk":             {string(stream), "2", good + event("2-5", string(stream), "c"), 1, generator.ErrBroken},
		"late chunk":             {string(stream), "2", good + event("2-2", string(stream), "z"), 1, generator.ErrBroken},
		"chunk of an attempt":    {string(stream), "2", event("1-3", string(stream), "a"), 0, generator.ErrBroken},
		"chunk of a stream":      {string(stream), "2", good + event("2-4", other, "x"), 1, generator.ErrBroken},
		"chunk without an id":    {string(stream), "2", good + "data: {}\n\n", 1, generator.ErrBroken},
		"signed index":           {string(stream), "2", event("2-+3", string(stream), "a"), 0, generator.ErrBroken},
		"answer of a stream":     {other, "2", good, 0, generator.ErrBroken},
		"answer of an attempt":   {string(stream), "1", good, 0, generator.ErrBroken},
		"answer without headers": {"", "", good, 0, generator.ErrBroken},
		"chunk over the limit":   {string(stream), "2", event("2-3", string(stream), strings.Repeat("x", generator.MaxEventBytes)), 0, generator.ErrBroken},
		"many lines":             {string(stream), "2", strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 300), 0, generator.ErrBroken},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			to := serve(t, func(w http.ResponseWriter) {
				w.Header().Set(generator.HeaderStream, c.stream)
				w.Header().Set(generator.HeaderAttempt, c.attempt)
				io.WriteString(w, c.events)
			})
			call := generator.Call{Stream: stream, Attempt: 2, Operation: generator.ChatCompletions, From: 3, Body: []byte("{}")}
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

// Guards against a status of the protocol that is taken for another class, which would repeat calls
// that must not be repeated or give up calls that can be.
func TestStatusesMapToClasses(t *testing.T) {
	for status, class := range map[int]error{
		400: generator.ErrRejected, 404: generator.ErrNoStream, 409: generator.ErrFenced, 413: generator.ErrRejected,
		429: generator.ErrRefused, 500: generator.ErrBroken, 503: generator.ErrRefused,
	} {
		is := is.New(t)
		to := serve(t, func(w http.ResponseWriter) { w.WriteHeader(status) })
		_, err := (&generator.Client{}).Generate(t.Context(), to, generatortest.NewCall("p", 1))
		is.True(errors.Is(err, class))
	}
	is := is.New(t)
	gone := generator.Target{Address: netip.MustParseAddrPort("127.0.0.1:1")}
	_, err := (&generator.Client{}).Generate(t.Context(), gone, generatortest.NewCall("p", 1))
	is.True(errors.Is(err, generator.ErrNotStarted))
	is.True(errors.Is((&generator.Client{}).Command(t.Context(), gone, generator.Command{}), generator.ErrNotStarted))
	broken := serve(t, func(http.ResponseWriter) { panic(http.ErrAbortHandler) })
	is.True(errors.Is((&generator.Client{}).Command(t.Context(), broken, generator.Command{}), generator.ErrUncertain))
}

// Guards against a continuation that changes on its way into the body.
func TestContinuationSurvivesTheBody(t *testing.T) {
	var body []byte
	far := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { body, _ = io.ReadAll(r.Body) }))
	defer far.Close()
	to := generator.Target{Address: netip.MustParseAddrPort(far.Listener.Addr().String())}
	rapid.Check(t, func(t *rapid.T) {
		call := generator.Call{Stream: stream, Attempt: 2, From: 1, Operation: generator.Completions}
		call.Continuation = rapid.String().Draw(t, "continuation")
		call.Body = []byte(rapid.SampledFrom([]string{`{}`, " { } \n", `{"model":"m"}`, `{"a":{}}` + "\t"}).Draw(t, "body"))
		(&generator.Client{}).Generate(t.Context(), to, call)
		var got struct{ Continuation string }
		if err := json.Unmarshal(body, &got); err != nil || got.Continuation != call.Continuation {
			t.Fatalf("body %q: %v", body, err)
		}
	})
}

// Guards against input that makes the reader panic, loop, grow without limit or accept an event id
// in more than one form.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{
		event("1-0", string(stream), "a") + "data: [DONE]\n\n", "data:x\ndata: y\n\n", ":\n\nid:1-0\n\n", "id: 1-0\r\ndata", "\n\n\n", "1-0", "01-0", "1--0",
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
				t.Fatalf("event %d has %d bytes", events, len(event.Data))
			}
		}
		attempt, index, err := generator.ParseEventID(string(input))
		if err == nil && generator.FormatEventID(attempt, index) != string(input) {
			t.Fatalf("id %q is read as %d and %d", input, attempt, index)
		}
	})
}
