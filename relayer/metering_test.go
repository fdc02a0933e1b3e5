package relayer_test

import (
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/forwarder"
	"apricotspool/matcher"
	"apricotspool/namer"
)

// meter records the beginnings of requests.
type meter struct {
	mu    sync.Mutex
	began []time.Time
	names []namer.Caller
}

func (m *meter) Began(workspace namer.Caller, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.began, m.names = append(m.began, at), append(m.names, workspace)
}

// meterWorkspace counts the requests of a relayer at which a workspace has a key; an empty name means no workspaces.
func (f *fixture) meterWorkspace(workspace namer.Caller) *meter {
	m := &meter{}
	f.relayer.Meter = m
	if workspace != "" {
		newKeys(f, matcher.Workspace{Name: workspace, Keys: []matcher.Key{meteredKey}})
	}
	return m
}

// meteredKey is the key of the workspace whose requests are counted.
const meteredKey = "key-w"

// Guards against requests that are counted although no endpoint began to run them, or counted twice, or not at all.
func TestBeginningIsCountedOnce(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "yes")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	serve := func(http.ResponseWriter, *http.Request) {}
	breakOff := func(http.ResponseWriter, *http.Request) { abortConnection() }
	for name, row := range map[string]struct {
		path, workspace string
		a, b            http.HandlerFunc
		header          []string
		counted         int
	}{
		"stream":                                 {path: "/stream/", workspace: "w", a: streamFrom(2, func() {}), counted: 1},
		"stream that goes on elsewhere":          {path: "/resumed/", workspace: "w", a: streamFrom(2, abortConnection), b: streamFrom(4, func() {}), counted: 1},
		"stream that breaks after an event":      {path: "/stream/", workspace: "w", a: streamFrom(1, abortConnection), counted: 1},
		"stream that breaks before an event":     {path: "/stream/", workspace: "w", a: streamFrom(0, abortConnection)},
		"stream that begins at the second":       {path: "/resumed/", workspace: "w", a: streamFrom(0, abortConnection), b: streamFrom(2, func() {}), counted: 1},
		"stream that the caller takes up":        {path: "/resumed/", workspace: "w", a: streamFrom(4, func() {}), header: []string{"X-Last-Event", "2"}},
		"whole response instead of a stream":     {path: "/stream/", workspace: "w", a: serve, counted: 1},
		"stream refused":                         {path: "/stream/", workspace: "w", a: refuse},
		"plain call":                             {path: "/unsafe/", workspace: "w", a: serve, counted: 1},
		"plain call refused":                     {path: "/unsafe/", workspace: "w", a: refuse},
		"plain call refused once":                {path: "/unsafe/", workspace: "w", a: refuse, b: serve, counted: 1},
		"plain call without a response":          {path: "/unsafe/", workspace: "w", a: breakOff, counted: 1},
		"plain call that is repeated":            {path: "/safe/", workspace: "w", a: breakOff, b: serve, counted: 1},
		"plain call that fails":                  {path: "/unsafe/", workspace: "w", a: fail, counted: 1},
		"plain call that fails and is repeated":  {path: "/safe/", workspace: "w", a: fail, b: serve, counted: 1},
		"plain call to an endpoint that is gone": {path: "/unsafe/", workspace: "w"},
		"plain call without a workspace":         {path: "/unsafe/", a: serve},
		"stream without a workspace":             {path: "/stream/", a: streamFrom(2, func() {})},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, dispatchTo("a", "b")...)
			m := f.meterWorkspace(namer.Caller(row.workspace))
			f.targets["a"] = forwarder.Target{Endpoint: "a", Address: netip.MustParseAddrPort("127.0.0.1:1")}
			for endpoint, handler := range map[namer.Endpoint]http.HandlerFunc{"a": row.a, "b": row.b} {
				if handler != nil {
					f.endpoint(endpoint, handler)
				}
			}
			f.send("POST", row.path, "", append([]string{"X-Key", meteredKey}, row.header...)...)
			f.server.Close() // waits for the handler
			is.Equal(len(m.began), row.counted)
			for _, name := range m.names {
				is.Equal(name, namer.Caller(row.workspace))
			}
		})
	}
}

// Guards against beginnings that are dated to the end of a request: plain calls began when they were sent, streams when their
// first event came.
func TestInstantOfBeginning(t *testing.T) {
	for path, early := range map[string]bool{"/unsafe/": true, "/stream/": false} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, dispatchTo("a")...)
			m := f.meterWorkspace("w")
			var arrived, firstEvent, ended time.Time
			f.endpoint("a", func(w http.ResponseWriter, r *http.Request) {
				arrived = time.Now()
				time.Sleep(20 * time.Millisecond)
				firstEvent = time.Now()
				if !early {
					streamFrom(1, func() { time.Sleep(20 * time.Millisecond) })(w, r)
				}
				ended = time.Now()
			})
			f.send("POST", path, "", "X-Key", meteredKey)
			f.server.Close()
			is.Equal(len(m.began), 1)
			is.Equal(m.began[0].Before(arrived), early)
			is.Equal(m.began[0].Before(firstEvent), early)
			is.True(m.began[0].Before(ended))
		})
	}
}
