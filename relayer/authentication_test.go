package relayer_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/authenticator"
	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/matcher"
	"apricotspool/namer"
)

// keys are the keys in force at a relayer, which tests change while requests wait.
type keys struct {
	mu    sync.Mutex // guards the fields below
	view  authenticator.View
	calls int
	// change is called with the number of each check before it is made.
	change func(call int)
}

func (k *keys) current() authenticator.View {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls++
	if k.change != nil {
		k.change(k.calls)
	}
	return k.view
}

// set replaces the workspaces. It is also called by change, which runs while mu is held.
func (k *keys) set(workspaces ...matcher.Workspace) {
	k.view.Directory = authenticator.NewDirectory(authenticator.Secret{}, workspaces)
}

func newKeys(f *fixture, workspaces ...matcher.Workspace) *keys {
	k := &keys{view: authenticator.View{
		Confirmed: true, Bounds: authenticator.Bounds{Revocation: 5 * time.Second, Staleness: 3 * time.Second},
	}}
	k.set(workspaces...)
	f.relayer.Keys = k.current
	return k
}

var (
	workspaceA = matcher.Workspace{Name: "a", Keys: []matcher.Key{"key-a"}}
	workspaceB = matcher.Workspace{Name: "b", Keys: []matcher.Key{"key-b"}}
)

// Guards against a request that runs without a valid key, or whose body is read before its key is checked.
func TestKeyIsCheckedOnArrival(t *testing.T) {
	for name, c := range map[string]struct {
		keys    []string
		age     time.Duration
		outcome classifier.Outcome
	}{
		"unknown":     {[]string{"key-c"}, 0, classifier.Unauthenticated},
		"none":        {nil, 0, classifier.Unauthenticated},
		"two":         {[]string{"key-a", "key-a"}, 0, classifier.Unauthenticated},
		"old unknown": {[]string{"key-c"}, 4 * time.Second, classifier.KeysNotCurrent},
		"old known":   {[]string{"key-a"}, 5 * time.Second, classifier.KeysNotCurrent},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, dispatchTo("a")...)
			newKeys(f, workspaceA).view.Age = c.age
			f.endpoint("a", func(http.ResponseWriter, *http.Request) { t.Error("the request must not run") })
			body, rest := io.Pipe() // the body doesn't come before the response
			defer rest.Close()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+"/unsafe/1", body)
			is.NoErr(err)
			r.Host, r.ContentLength = "h", 1<<20 // more than net/http reads before it sends a response
			r.Header["X-Key"] = c.keys
			response, err := f.server.Client().Do(r)
			is.NoErr(err)
			response.Body.Close()
			is.Equal(response.StatusCode, c.outcome.Class().Status)
			is.Equal(response.Header.Get("Retry-After") != "", c.outcome == classifier.KeysNotCurrent)
		})
	}
}

// Guards against an endpoint that doesn't learn the workspace, learns one that the caller has named, or gets the key; and against
// a workspace whose priority has no effect.
func TestEndpointGetsWorkspace(t *testing.T) {
	urgent := matcher.Workspace{Name: "u", Keys: []matcher.Key{"key-u"}, Priority: 3, HasPriority: true}
	for name, c := range map[string]struct {
		path      string
		keys      []string
		workspace namer.Caller
		priority  int
	}{
		"keyed":                {"/safe/1", []string{"key-a"}, "a", 7},
		"priority":             {"/safe/1", []string{"key-u"}, "u", 3},
		"anonymous, known":     {"/anonymous/1", []string{"key-u"}, "u", 3},
		"anonymous, unknown":   {"/anonymous/1", []string{"key-x"}, "", 7},
		"anonymous, none":      {"/anonymous/1", nil, "", 7},
		"anonymous, two known": {"/anonymous/1", []string{"key-u", "key-u"}, "", 7},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, dispatchTo("a", "b")...)
			newKeys(f, workspaceA, urgent)
			services := []matcher.WeightedService{{Service: "s", Weight: 1}}
			table := matcher.New(1, []matcher.Route{
				{Name: "safe", Host: "h", Prefix: "/safe/", Kind: matcher.Safe, Timeout: 5 * time.Second, Attempts: 2, Priority: 7, Services: services},
				{Name: "any", Host: "h", Prefix: "/anonymous/", Kind: matcher.Safe, Timeout: 5 * time.Second, Attempts: 2, Priority: 7, Services: services, Anonymous: true},
			}, nil, matcher.Limits{})
			f.relayer.Table = func() *matcher.Table { return table }
			received := make(chan http.Header, 2)
			f.endpoint("a", func(_ http.ResponseWriter, r *http.Request) {
				received <- r.Header
				abortConnection()
			})
			f.endpoint("b", func(_ http.ResponseWriter, r *http.Request) { received <- r.Header })
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.server.URL+c.path, nil)
			is.NoErr(err)
			r.Host = "h"
			r.Header["X-Key"], r.Header["X-Workspace"], r.Header["X-Id"] = c.keys, []string{"forged"}, []string{"id-1"}
			response, err := f.server.Client().Do(r)
			is.NoErr(err)
			response.Body.Close()
			is.Equal(response.StatusCode, http.StatusOK)
			for range 2 { // the first attempt and the retry
				header := <-received
				is.Equal(header.Get("X-Workspace"), string(c.workspace))
				is.Equal(len(header["X-Key"]), 0)
			}
			is.Equal(f.core.request.Caller, c.workspace)
			is.Equal(f.core.request.Priority, c.priority)
		})
	}
}

// Guards against headers of deployments without workspaces that don't reach the endpoint.
func TestWithoutWorkspacesHeadersPass(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a")...)
	newKeys(f)
	received := make(chan http.Header, 1)
	f.endpoint("a", func(_ http.ResponseWriter, r *http.Request) { received <- r.Header })
	is.Equal(f.send("GET", "/safe/1", "", "X-Key", "k", "X-Workspace", "w").status, http.StatusOK)
	header := <-received
	is.Equal(header.Get("X-Key"), "k")
	is.Equal(header.Get("X-Workspace"), "w")
}

// Guards against calls of a request whose key has gone since it arrived: the first one, one for the prompt, the one after it, a
// retry, and the continuation of a stream. The request has to end with what is known of its execution.
func TestKeyIsCheckedBeforeEachCall(t *testing.T) {
	const prefillOnly = decider.ActionPrefill
	for name, c := range map[string]struct {
		path    string
		actions []decider.Action
		handler http.HandlerFunc // of endpoint a; the key is withdrawn when it has answered
		calls   int              // that may be made
		status  int              // 0 if the response breaks off
		outcome classifier.Outcome
		age     time.Duration
	}{
		"first":               {path: "/unsafe/1", actions: dispatchTo("a"), status: 401, outcome: classifier.Unauthenticated},
		"first, past the age": {path: "/unsafe/1", actions: dispatchTo("a"), status: 503, outcome: classifier.KeysNotCurrent, age: time.Minute},
		"prompt only":         {path: "/engine/1", actions: []decider.Action{{Kind: prefillOnly, Attempt: 1, Endpoint: "a"}}, status: 401, outcome: classifier.Unauthenticated},
		"after the prompt": {
			path: "/engine/1", actions: []decider.Action{{Kind: prefillOnly, Attempt: 1, Endpoint: "a"}, {Kind: decider.ActionDispatch, Attempt: 1, Endpoint: "b"}},
			handler: func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `"handle"`) }, calls: 1, status: 401, outcome: classifier.Unauthenticated,
		},
		"retry of a refused call": {
			path: "/unsafe/1", actions: dispatchTo("a", "b"),
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}, calls: 1, status: 401, outcome: classifier.Unauthenticated,
		},
		"retry of a call that may have run": {
			path: "/safe/1", actions: dispatchTo("a", "b"), handler: func(http.ResponseWriter, *http.Request) { abortConnection() },
			calls: 1, status: 502, outcome: classifier.EndpointFailed,
		},
		"continuation": {
			path: "/resumed/1", actions: dispatchTo("a", "b"), handler: streamFrom(3, abortConnection), calls: 1, outcome: classifier.EndpointFailed,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, c.actions...)
			k := newKeys(f, workspaceA, workspaceB)
			withdraw := func() {
				k.mu.Lock()
				defer k.mu.Unlock()
				k.set(workspaceB)
				if c.age > 0 {
					k.set(workspaceA)
					k.view.Age = c.age
				}
			}
			if c.handler == nil {
				f.core.onArrive = withdraw
			}
			calls := make(chan struct{}, 3)
			f.endpoint("a", func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodDelete {
					return // the release of the handle
				}
				calls <- struct{}{}
				withdraw()
				c.handler(w, r)
			})
			f.endpoint("b", func(http.ResponseWriter, *http.Request) { calls <- struct{}{} })
			r := f.send("POST", c.path, "body", "X-Key", "key-a")
			is.Equal(len(calls), c.calls)
			if c.status != 0 {
				is.Equal(r.status, c.status)
			}
			is.Equal(r.complete, c.status != 0)
			lines := f.log.requestLines(t, "id-1", "outcome", "workspace")
			is.Equal(lines[len(lines)-1], fmt.Sprintf("request-ended outcome=%s workspace=a", c.outcome))
		})
	}
}

// Guards against a call that is sent although its key has gone after the attempt began, and against one that names the workspace
// which has lost the key.
func TestKeyIsCheckedBeforeTheFirstByte(t *testing.T) {
	for name, c := range map[string]struct {
		after  matcher.Workspace
		status int
	}{
		"withdrawn": {workspaceB, http.StatusUnauthorized},
		"moved":     {matcher.Workspace{Name: "c", Keys: []matcher.Key{"key-a"}}, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, dispatchTo("a", "a")...)
			k := newKeys(f, workspaceA)
			k.change = func(call int) {
				if call == 3 { // after those on arrival and at the start of the attempt
					k.set(c.after)
				}
			}
			workspaces := make(chan string, 2)
			f.endpoint("a", func(_ http.ResponseWriter, r *http.Request) { workspaces <- r.Header.Get("X-Workspace") })
			is.Equal(f.send("POST", "/unsafe/1", "body", "X-Key", "key-a").status, c.status)
			close(workspaces)
			for workspace := range workspaces {
				is.Equal(workspace, "c")
			}
		})
	}
}
