package relayer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/forwarder"
	"apricotspool/matcher"
	"apricotspool/namer"
	"apricotspool/recorder"
	"apricotspool/relayer"
)

// dialect writes everything in headers with plain names.
type dialect struct{}

func (dialect) Decode(header http.Header) relayer.Call {
	patience, _ := strconv.Atoi(header.Get("X-Patience"))
	return relayer.Call{ID: header.Get("X-Id"), Patience: time.Duration(patience) * time.Millisecond, LastEvent: header.Get("X-Last-Event")}
}

func (dialect) Encode(header http.Header, a relayer.Attempt) {
	header.Set("X-Endpoint", string(a.Endpoint))
	header.Set("X-Remaining", strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	header.Set("X-Last-Event", a.LastEvent)
	header.Set("X-Handle", a.Handle.ID)
	header.Set("X-Prefill", strconv.FormatBool(a.Prefill))
}

func (dialect) Judge(_ int, header http.Header) relayer.Verdict {
	return relayer.Verdict{NotRun: header.Get("X-Not-Run") != "", Genuine: header.Get("X-Stamp") != ""}
}

func (dialect) Handle(at netip.AddrPort, status int, body []byte) (relayer.Handle, error) {
	var id string
	if status != http.StatusOK {
		return relayer.Handle{}, fmt.Errorf("status %d", status)
	}
	return relayer.Handle{At: at, ID: id}, json.Unmarshal(body, &id)
}

func (dialect) Release(handle relayer.Handle) (string, string) {
	return http.MethodDelete, "/handles/" + handle.ID
}

func (dialect) RetryAfter(header http.Header, after time.Duration) {
	header.Set("Retry-After", after.String())
}

func (dialect) Identify(answer, request http.Header) { answer.Set("X-Id", request.Get("X-Id")) }

// script is a core that sends each request along a list of endpoints, one after each failure.
type script struct {
	mu     sync.Mutex
	steps  []decider.Action // what to do next for the one request
	events []decider.Event
	seen   decider.Request
}

func (s *script) Configure(time.Time, decider.Fleet) {}

func (s *script) Arrive(_ time.Time, r decider.Request) []decider.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = r
	return s.next()
}

func (s *script) Observe(_ time.Time, e decider.Event) []decider.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
	if e.Kind == decider.EventFailed || e.Kind == decider.EventPrefilled {
		return s.next()
	}
	return nil
}

func (s *script) Tick(time.Time) []decider.Action { return nil }

func (s *script) next() []decider.Action {
	action := decider.Action{Kind: decider.ActionRefuse, Outcome: classifier.EndpointRefused, RetryAfter: 250 * time.Millisecond}
	if len(s.steps) > 0 {
		action, s.steps = s.steps[0], s.steps[1:]
	}
	action.Request = s.seen.ID
	return []decider.Action{action}
}

// begin sets the actions for the next request and forgets the last one.
func (s *script) begin(steps []decider.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps, s.events = steps, nil
}

// wait returns the events when there are so many.
func (s *script) wait(n int) []decider.Event {
	for {
		s.mu.Lock()
		events := slices.Clone(s.events)
		s.mu.Unlock()
		if len(events) >= n {
			return events
		}
		time.Sleep(time.Millisecond)
	}
}

// kinds returns the kinds of the events when there are so many.
func (s *script) kinds(n int) []decider.EventKind {
	var kinds []decider.EventKind
	for _, e := range s.wait(n) {
		kinds = append(kinds, e.Kind)
	}
	return kinds
}

// bed is a relayer with one core and some endpoints.
type bed struct {
	t       testing.TB
	core    *script
	relayer *relayer.Relayer
	front   *httptest.Server
	targets map[namer.Endpoint]forwarder.Target
	log     *lines
}

// lines is a log in memory.
type lines struct {
	mu   sync.Mutex
	text []byte
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, p...)
	return len(p), nil
}

// of returns the lines about a request, as "event field=value", with the fields that are asked for.
func (l *lines) of(t *testing.T, request string, fields ...string) []string {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for line := range bytes.Lines(l.text) {
		var values map[string]any
		is.New(t).NoErr(json.Unmarshal(line, &values))
		if values["request"] != request {
			continue
		}
		text := fmt.Sprint(values["message"])
		for _, field := range fields {
			if value, present := values[field]; present {
				text += fmt.Sprintf(" %s=%v", field, value)
			}
		}
		found = append(found, text)
	}
	return found
}

func newBed(t testing.TB, steps ...decider.Action) *bed {
	b := &bed{t: t, core: &script{steps: steps}, targets: map[namer.Endpoint]forwarder.Target{}, log: &lines{}}
	table := matcher.New(1, []matcher.Route{
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: matcher.Safe, Timeout: 5 * time.Second, Attempts: 2},
		{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: matcher.Unsafe, Timeout: 5 * time.Second, Attempts: 2},
		{Name: "short", Host: "h", Prefix: "/short/", Kind: matcher.Unsafe, Timeout: 100 * time.Millisecond},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: matcher.Stream, Timeout: 5 * time.Second},
		{Name: "resumed", Host: "h", Prefix: "/resumed/", Kind: matcher.Stream, Resumable: true, Timeout: 5 * time.Second, Attempts: 2},
	}, nil, matcher.Limits{BodyBytes: 1000})
	for i := range table.Routes {
		table.Routes[i].Services = []matcher.Weighted{{Service: "s", Weight: 1}}
	}
	d := &dispatcher.Dispatcher{Core: b.core}
	ctx, stop := context.WithCancel(t.Context())
	go d.Run(ctx)
	b.relayer = &relayer.Relayer{
		Table: func() *matcher.Table { return table }, Dialect: dialect{}, Dispatcher: d, Metrics: recorder.NewMetrics(),
		Endpoints: &forwarder.Client{EchoHeader: "X-Id"}, Log: zerolog.New(b.log),
		Target: func(name namer.Endpoint) (forwarder.Target, bool) {
			target, known := b.targets[name]
			return target, known
		},
	}
	b.front = httptest.NewServer(b.relayer)
	t.Cleanup(func() {
		b.front.Close()
		stop()
		<-d.Done()
	})
	return b
}

// endpoint adds an endpoint. Its answers carry the request's id and a signature unless it removes them.
func (b *bed) endpoint(name namer.Endpoint, handler http.HandlerFunc) {
	far := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Stamp", string(name))
		handler(w, r)
	}))
	b.t.Cleanup(far.Close)
	b.targets[name] = forwarder.Target{Endpoint: name, Address: netip.MustParseAddrPort(far.Listener.Addr().String())}
}

func to(names ...namer.Endpoint) []decider.Action {
	var steps []decider.Action
	for i, name := range names {
		steps = append(steps, decider.Action{Kind: decider.ActionDispatch, Attempt: namer.Attempt(i + 1), Endpoint: name})
	}
	return steps
}

type result struct {
	status int
	header http.Header
	body   string
	whole  bool
}

func (b *bed) send(method, path, body string, header ...string) result {
	b.t.Helper()
	is := is.New(b.t)
	r, err := http.NewRequestWithContext(b.t.Context(), method, b.front.URL+path, strings.NewReader(body))
	is.NoErr(err)
	r.Host = "h"
	r.Header.Set("X-Id", "id-1")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	answer, err := b.front.Client().Do(r)
	if err != nil {
		return result{}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return result{answer.StatusCode, answer.Header, string(text), err == nil}
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", id, id) }

// streamFrom answers with events from the one after the caller's last, and ends as the last one says.
func streamFrom(until int, end func()) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		last, _ := strconv.Atoi(r.Header.Get("X-Last-Event"))
		for id := last + 1; id <= until; id++ {
			io.WriteString(w, event(id))
			w.(http.Flusher).Flush()
		}
		end()
	}
}

func cut() { panic(http.ErrAbortHandler) }

func events(until int) string {
	var text strings.Builder
	for id := 1; id <= until; id++ {
		text.WriteString(event(id))
	}
	return text.String()
}
