package relayer_test

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
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

var (
	promiseRequests = flag.Int("promise-requests", 600, "requests of TestRandomEndpointsKeepPromises")
	promiseSeed     = flag.Uint64("promise-seed", 1, "seed of TestRandomEndpointsKeepPromises")
)

// retryingCore sends each request to the endpoints in turn, while they have not run it.
type retryingCore struct {
	scriptedCore
	endpoints []namer.Endpoint
	attempts  map[namer.StreamID]namer.Attempt
}

func (c *retryingCore) Arrive(_ time.Time, r decider.Request) []decider.Action {
	c.attempts[r.ID] = 0
	return c.dispatch(r.ID)
}

func (c *retryingCore) dispatch(id namer.StreamID) []decider.Action {
	c.attempts[id]++
	attempt := c.attempts[id]
	to := c.endpoints[(len(c.attempts)+int(attempt))%len(c.endpoints)]
	kind := decider.ActionDispatch
	if attempt == 1 && len(c.attempts)%3 == 0 {
		kind = decider.ActionPrefill
	}
	return []decider.Action{{Kind: kind, Request: id, Attempt: attempt, Endpoint: to}}
}

func (c *retryingCore) Observe(_ time.Time, e decider.Event) []decider.Action {
	switch {
	case e.Kind == decider.EventPrefilled, e.Kind == decider.EventFailed && e.NotRun && c.attempts[e.Request] < 3:
		return c.dispatch(e.Request)
	case e.Kind == decider.EventFailed:
		return []decider.Action{{Kind: decider.ActionRefuse, Request: e.Request, Outcome: classifier.EndpointRefused}}
	}
	return nil
}

// unsoundEndpoint answers in random ways, sound and unsound ones, and knows what it has run.
type unsoundEndpoint struct {
	mu     sync.Mutex // guards the fields below
	random *rand.Rand
	ran    map[string]int
}

func (e *unsoundEndpoint) draw(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.IntN(n)
}

func (e *unsoundEndpoint) run(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran[id]++
}

func (e *unsoundEndpoint) runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[id]
}

func (e *unsoundEndpoint) serve(in *bufio.Reader, out net.Conn) {
	refusal := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Id")
		if id == "" { // the release of a handle
			io.WriteString(out, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		own := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id: %s\r\nContent-Length: 4\r\n\r\nbusy", id)
		early := e.draw(4) == 0
		if !early {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return // a call whose body is incomplete isn't run
			}
		}
		if refusal != "" && e.draw(3) == 0 {
			io.WriteString(out, refusal[:e.draw(len(refusal)+1)])
		}
		if r.Header.Get("X-Prefill") == "true" {
			switch e.draw(3) {
			case 0:
				return
			case 1:
				io.WriteString(out, own)
			default:
				fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 3\r\n\r\n\"k\"", id)
			}
		} else {
			switch kind := e.draw(10); kind {
			case 0, 1:
				io.WriteString(out, own)
				refusal = own
			case 2:
				return
			default:
				if early {
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
				}
				e.run(id)
				e.answer(kind, id, out)
			}
		}
		if early {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
		if e.draw(5) == 0 {
			return
		}
	}
}

// answer writes the answer to a call that has been run.
func (e *unsoundEndpoint) answer(kind int, id string, out net.Conn) {
	head := map[int]string{
		3: "503 Service Unavailable\r\nX-Stamp: a", 4: "429 Too Many Requests\r\nX-Stamp: a", 5: "200 OK\r\nX-Not-Run: 1\r\nX-Stamp: a",
		6: "504 Gateway Timeout\r\nX-Not-Run: 1",
	}[kind]
	if head == "" {
		head = "200 OK\r\nX-Stamp: a"
	}
	whole := fmt.Sprintf("HTTP/1.1 %s\r\nX-Id: %s\r\nContent-Length: 5\r\n\r\nabcde", head, id)
	if e.draw(4) == 0 {
		io.WriteString(out, whole[:e.draw(len(whole))])
		out.Close()
		return
	}
	io.WriteString(out, whole)
}

// Guards against a promise "not run" for a request that has run or runs later, and against a second run of what may run
// once, whatever endpoints answer, at which moment, and with little processor time (GOMAXPROCS=1).
func TestRandomEndpointsKeepPromises(t *testing.T) {
	is := is.New(t)
	endpoint := &unsoundEndpoint{random: rand.New(rand.NewPCG(*promiseSeed, 1)), ran: map[string]int{}}
	core := &retryingCore{attempts: map[namer.StreamID]namer.Attempt{}}
	targets := map[namer.Endpoint]forwarder.Target{}
	for _, name := range []namer.Endpoint{"a", "b", "c"} {
		target := rawEndpoint(t, endpoint.serve)
		target.Endpoint = name
		targets[name], core.endpoints = target, append(core.endpoints, name)
	}
	d := &dispatcher.Dispatcher{Core: core}
	go d.Run(t.Context())
	table := newFixture(t).relayer.Table()
	table.Limits.BodyBytes = 1 << 20
	r := &relayer.Relayer{
		Table: func() *matcher.Table { return table }, Dialect: dialect{}, Dispatcher: d, Metrics: recorder.NewMetrics(),
		Endpoints: &forwarder.Client{EchoHeader: "X-Id"}, Log: zerolog.Nop(),
		Target: func(name namer.Endpoint) (forwarder.Target, bool) {
			target, known := targets[name]
			return target, known
		},
	}
	server := httptest.NewServer(r)
	defer server.Close()
	const callers = 12
	var wg sync.WaitGroup
	var mu sync.Mutex // guards answers
	answers := map[string]int{}
	for caller := range callers {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(*promiseSeed, uint64(caller)+2))
			for n := range *promiseRequests / callers {
				id, route := fmt.Sprintf("%d-%d", caller, n), []string{"/unsafe/", "/stream/", "/short/"}[random.IntN(3)]
				body := strings.Repeat("x", []int{0, 100, 9 << 10, 55 << 10, 300 << 10}[random.IntN(5)])
				request, err := http.NewRequestWithContext(t.Context(), "POST", server.URL+route, strings.NewReader(body))
				if err != nil {
					t.Error(err)
					return
				}
				request.Host = "h"
				request.Header.Set("X-Id", id)
				if random.IntN(4) == 0 {
					request.Header.Set("X-Patience", fmt.Sprint(1+random.IntN(20)))
				}
				response, err := server.Client().Do(request)
				if err != nil {
					continue
				}
				io.Copy(io.Discard, response.Body)
				response.Body.Close()
				mu.Lock()
				answers[id] = response.StatusCode
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	server.Close()
	time.Sleep(100 * time.Millisecond) // for what runs late
	promises := 0
	for id, status := range answers {
		if status == 408 || status == 421 || status == 429 || status == 503 {
			promises++
			if n := endpoint.runs(id); n > 0 {
				t.Errorf("request %s was answered %d and ran %d times", id, status, n)
			}
		}
	}
	is.True(promises > 0)
	for id, n := range endpoint.ran {
		if n > 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
}
