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
	"apricotspool/detector"
	"apricotspool/dispatcher"
	"apricotspool/forwarder"
	"apricotspool/inspector"
	"apricotspool/matcher"
	"apricotspool/namer"
	"apricotspool/recorder"
	"apricotspool/relayer"
)

// dialect encodes every value in a header of its own.
type dialect struct{}

func (dialect) Decode(header http.Header) relayer.Call {
	timeout, _ := strconv.Atoi(header.Get("X-Patience"))
	call := relayer.Call{ID: header.Get("X-Id"), Timeout: time.Duration(timeout) * time.Millisecond, LastEvent: header.Get("X-Last-Event")}
	output, _ := strconv.Atoi(header.Get("X-Output")) // absent: no limit
	call.MaxOutput = namer.Tokens(output)
	for id := range strings.FieldsSeq(header.Get("X-Parts")) {
		number, _ := strconv.ParseUint(id, 16, 64)
		call.Parts = append(call.Parts, decider.Part{ID: number, Tokens: 100})
	}
	for _, key := range header["X-Key"] {
		call.Credentials = append(call.Credentials, matcher.Key(key))
	}
	return call
}

func (dialect) Encode(header http.Header, a relayer.Attempt) {
	if a.Authenticated {
		header.Del("X-Key")
		header.Set("X-Workspace", string(a.Workspace))
	}
	header.Set("X-Endpoint", string(a.Endpoint))
	header.Set("X-Remaining", strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	header.Set("X-Last-Event", a.LastEvent)
	header.Set("X-Handle", a.Handle.ID)
	header.Set("X-Prefill", strconv.FormatBool(a.Prefill))
}

func (dialect) Classify(status int, header http.Header) relayer.Verdict {
	refuses, says := status == 503 || status == 429 || status == 421, header.Get("X-Not-Run") != ""
	verdict := relayer.Verdict{
		NotRun: refuses && says, Inconsistent: refuses != says, Signed: header.Get("X-Stamp") != "", WrongEndpoint: status == http.StatusMisdirectedRequest,
	}
	if rate, err := strconv.ParseFloat(header.Get("X-Limit"), 64); err == nil {
		verdict.Limit = decider.StatedLimit{State: decider.LimitStated, Rate: namer.Rate(rate)}
	}
	return verdict
}

func (dialect) DecodeHandle(at netip.AddrPort, status int, body []byte) (relayer.Handle, error) {
	var id string
	if status != http.StatusOK {
		return relayer.Handle{}, fmt.Errorf("status %d", status)
	}
	return relayer.Handle{At: at, ID: id}, json.Unmarshal(body, &id)
}

func (dialect) ReleaseCall(handle relayer.Handle) (string, string) {
	return http.MethodDelete, "/handles/" + handle.ID
}

func (dialect) Patience(time.Duration, time.Duration) time.Duration { return 0 }

func (dialect) ReportCall(to namer.Endpoint) (string, string, http.Header) {
	return http.MethodGet, "/report", http.Header{"X-Endpoint": {string(to)}}
}

func (dialect) DecodeReport(status int, body []byte) (detector.Report, error) {
	if status != http.StatusOK {
		return detector.Report{}, fmt.Errorf("status %d", status)
	}
	var report detector.Report
	return report, json.Unmarshal(body, &report)
}

func (dialect) RetryAfter(header http.Header, after time.Duration) {
	header.Set("Retry-After", after.String())
}

func (dialect) SetRequestID(response, request http.Header) { response.Set("X-Id", request.Get("X-Id")) }

// scriptedCore is a decision core that returns a list of actions, the next one for each request, failure or prefill,
// and refuses when the list is exhausted.
type scriptedCore struct {
	mu      sync.Mutex
	actions []decider.Action // remaining actions for the request
	events  []decider.Event
	called  []namer.Endpoint // by calls that are no attempts
	request decider.Request
	current namer.StreamID // of the last request, until it ends

	onArrive func() // called before the first decision about a request, if set

	probe        namer.Endpoint // probed before an attempt is abandoned, if set
	unresponsive namer.Endpoint // the last one reported
}

func (s *scriptedCore) Configure(time.Time, decider.Fleet) {}

func (s *scriptedCore) Arrive(_ time.Time, r decider.Request) []decider.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.request, s.current = r, r.ID
	if s.onArrive != nil {
		s.onArrive()
	}
	return s.next(r.ID)
}

func (s *scriptedCore) Observe(_ time.Time, e decider.Event) []decider.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch e.Kind {
	case decider.EventCalled:
		s.called = append(s.called, e.Endpoint)
		return nil
	case decider.EventFinished, decider.EventCancelled:
		s.ended(e.Request)
	case decider.EventUnresponsive, decider.EventHealth:
		if e.Request != s.current {
			return nil // a watchdog's event that was sent before the request ended
		}
	}
	switch e.Kind {
	case decider.EventUnresponsive:
		s.unresponsive = e.Endpoint
		decision := decider.Action{Kind: decider.ActionKeep, Request: e.Request, Attempt: e.Attempt, Endpoint: e.Endpoint}
		switch {
		case s.probe != "":
			decision.Kind, decision.Endpoint = decider.ActionProbe, s.probe
		case len(s.actions) > 0:
			decision.Kind = decider.ActionAbandon
		}
		return []decider.Action{decision}
	case decider.EventHealth:
		kind := decider.ActionKeep
		if e.Healthy {
			kind = decider.ActionAbandon
		}
		return []decider.Action{{Kind: kind, Request: e.Request, Attempt: e.Attempt, Endpoint: s.unresponsive}}
	}
	s.events = append(s.events, e)
	if e.Kind == decider.EventFailed || e.Kind == decider.EventPrefilled {
		return s.next(e.Request)
	}
	return nil
}

func (s *scriptedCore) Tick(time.Time) []decider.Action { return nil }

func (s *scriptedCore) next(request namer.StreamID) []decider.Action {
	action := decider.Action{Kind: decider.ActionRefuse, Outcome: classifier.EndpointRefused, RetryAfter: 250 * time.Millisecond}
	if len(s.actions) > 0 {
		action, s.actions = s.actions[0], s.actions[1:]
	}
	action.Request = request
	if action.Kind == decider.ActionRefuse {
		s.ended(request)
	}
	return []decider.Action{action}
}

// ended forgets a request, about which a decision core makes no further decision.
func (s *scriptedCore) ended(request namer.StreamID) {
	if s.current == request {
		s.current = ""
	}
}

// reset sets the actions for the next request and discards the recorded events.
func (s *scriptedCore) reset(actions []decider.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.actions, s.events = actions, nil
}

// waitEvents blocks until n events have been observed and returns all of them.
func (s *scriptedCore) waitEvents(n int) []decider.Event {
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

// waitKinds blocks until n events have been observed and returns their kinds.
func (s *scriptedCore) waitKinds(n int) []decider.EventKind {
	var kinds []decider.EventKind
	for _, e := range s.waitEvents(n) {
		kinds = append(kinds, e.Kind)
	}
	return kinds
}

// fixture is a relayer with a scripted core and test endpoints.
type fixture struct {
	t       testing.TB
	core    *scriptedCore
	relayer *relayer.Relayer
	server  *httptest.Server
	targets map[namer.Endpoint]forwarder.Target
	log     *logBuffer
}

// logBuffer collects log lines in memory.
type logBuffer struct {
	mu   sync.Mutex
	text []byte
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, p...)
	return len(p), nil
}

// requestLines returns the lines about a request as "event field=value", limited to the given fields.
func (l *logBuffer) requestLines(t testing.TB, request string, fields ...string) []string {
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

func newFixture(t testing.TB, actions ...decider.Action) *fixture {
	f := &fixture{t: t, core: &scriptedCore{actions: actions}, targets: map[namer.Endpoint]forwarder.Target{}, log: &logBuffer{}}
	table := matcher.New(1, []matcher.Route{
		{Name: "safe", Host: "h", Prefix: "/safe/", Kind: matcher.Safe, Timeout: 5 * time.Second, Attempts: 2},
		{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: matcher.Unsafe, Timeout: 5 * time.Second, Attempts: 2},
		{Name: "short", Host: "h", Prefix: "/short/", Kind: matcher.Unsafe, Timeout: 100 * time.Millisecond},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: matcher.Stream, Timeout: 5 * time.Second},
		{Name: "resumed", Host: "h", Prefix: "/resumed/", Kind: matcher.Stream, Resumable: true, Timeout: 5 * time.Second, Attempts: 2},
		{Name: "engine", Host: "h", Prefix: "/engine/", Kind: matcher.Stream, Resumable: true, Timeout: 5 * time.Second, Target: 100 * time.Millisecond, Attempts: 2},
	}, []matcher.Service{{Name: "e", Engine: &matcher.Engine{EventTokens: 10}}}, matcher.Limits{BodyBytes: 1000})
	for i := range table.Routes {
		table.Routes[i].Services = []matcher.WeightedService{{Service: "s", Weight: 1}}
		if table.Routes[i].Name == "engine" {
			table.Routes[i].Services[0].Service = "e"
		}
	}
	d := &dispatcher.Dispatcher{Core: f.core}
	ctx, stop := context.WithCancel(t.Context())
	go d.Run(ctx)
	f.relayer = &relayer.Relayer{
		Table: func() *matcher.Table { return table }, Dialect: dialect{}, Dispatcher: d, Metrics: recorder.NewMetrics(),
		Endpoints: &forwarder.Client{EchoHeader: "X-Id"}, Log: zerolog.New(f.log),
		Target: func(name namer.Endpoint) (forwarder.Target, bool) {
			target, known := f.targets[name]
			return target, known
		},
	}
	f.server = httptest.NewUnstartedServer(f.relayer)
	f.server.Config.ConnContext = inspector.ConnContext
	f.server.Start()
	t.Cleanup(func() {
		f.server.Close()
		stop()
		<-d.Done()
	})
	return f
}

// endpoint starts an endpoint. Its responses carry the request's id and a signature unless the handler
// removes them.
func (f *fixture) endpoint(name namer.Endpoint, handler http.HandlerFunc) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Stamp", string(name))
		handler(w, r)
	}))
	f.t.Cleanup(server.Close)
	f.targets[name] = forwarder.Target{Endpoint: name, Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

func dispatchTo(names ...namer.Endpoint) []decider.Action {
	var actions []decider.Action
	for i, name := range names {
		actions = append(actions, decider.Action{Kind: decider.ActionDispatch, Attempt: namer.Attempt(i + 1), Endpoint: name})
	}
	return actions
}

type response struct {
	status   int
	header   http.Header
	body     string
	complete bool
}

func (f *fixture) send(method, path, body string, header ...string) response {
	f.t.Helper()
	is := is.New(f.t)
	r, err := http.NewRequestWithContext(f.t.Context(), method, f.server.URL+path, strings.NewReader(body))
	is.NoErr(err)
	r.Host = "h"
	r.Header.Set("X-Id", "id-1")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := f.server.Client().Do(r)
	if err != nil {
		return response{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(text), err == nil}
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", id, id) }

// streamFrom returns a handler that streams the events after the caller's last one up to until, and then
// calls end.
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

func abortConnection() { panic(http.ErrAbortHandler) }

func events(until int) string {
	var text strings.Builder
	for id := 1; id <= until; id++ {
		text.WriteString(event(id))
	}
	return text.String()
}
