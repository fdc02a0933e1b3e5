package server_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/server"
)

// Guards against modifying calls to plain services, and against forwarding the caller's token or headers that
// are meant for the daemon.
func TestForward(t *testing.T) {
	is := is.New(t)
	daemon := newFixture(t).startDaemon(t)
	for _, body := range []string{"", "short", strings.Repeat("long", 40_000)} {
		response := daemon.do(t, "PROPFIND", "/services/desk/echo/a%2Fb//c?q=%20", body, map[string]string{"X-Rank": "free", "X-Own": "1"})
		is.Equal(response.StatusCode, http.StatusOK)
		is.True(response.Header.Get("X-Request-Id") != "")
		var echo struct {
			Method, Path, Query string
			Header              http.Header
		}
		in := json.NewDecoder(response.Body)
		is.NoErr(in.Decode(&echo))
		is.Equal([]string{echo.Method, echo.Path, echo.Query}, []string{"PROPFIND", "/echo/a%2Fb//c", "q=%20"})
		is.Equal(echo.Header.Get("X-Own"), "1")
		is.Equal(echo.Header.Get("Authorization")+echo.Header.Get("X-Rank"), "")
		rest, err := io.ReadAll(io.MultiReader(in.Buffered(), response.Body))
		is.NoErr(err)
		is.Equal(strings.TrimPrefix(string(rest), "\n"), body)
	}
}

// Guards against executing a non-retryable call twice (P6), reporting "not-run" for a call that may have been
// executed (P5), and not retrying a retryable call.
func TestForwardAttempts(t *testing.T) {
	const retried = -1 // executed more than once, as often as the core decides
	for name, c := range map[string]struct {
		method, path string
		unreachable  bool // whether the first endpoint is unreachable
		status       int
		outcome      string
		executed     int
	}{
		"order":                              {"POST", "/orders", false, http.StatusCreated, "", 1},
		"order, first endpoint unreachable":  {"POST", "/orders", true, http.StatusCreated, "", 1},
		"order with a lost response":         {"POST", "/orders/lost", false, http.StatusConflict, "unknown", 1},
		"encoded order":                      {"POST", "/%6Frders/lost", false, http.StatusConflict, "unknown", 1},
		"unlisted POST":                      {"POST", "/other", true, http.StatusNotFound, "", 0},
		"lookup, first endpoint unreachable": {"GET", "/catalogue/x", true, http.StatusOK, "", 0},
		"retryable, lost responses":          {"PUT", "/orders/lost", false, http.StatusBadGateway, "unknown", retried},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			first := f.document.Endpoints["desk-0"]
			f.document.Endpoints["desk-1"] = first
			if c.unreachable {
				first.Address = netip.MustParseAddrPort("127.0.0.1:1")
				f.document.Endpoints["desk-0"] = first
			}
			response := f.startDaemon(t).do(t, c.method, "/services/desk"+c.path, "{}", nil)
			is.Equal(response.StatusCode, c.status)
			is.Equal(response.Header.Get("X-Outcome"), c.outcome)
			if c.executed == retried {
				is.True(f.service.Orders() > 1)
				return
			}
			is.Equal(f.service.Orders(), c.executed)
		})
	}
}

// fakeClaimer is an in-memory Claimer.
type fakeClaimer struct {
	mu        sync.Mutex
	responses map[string]server.KeyedResponse
	digests   map[string][32]byte
}

func (c *fakeClaimer) Run(ctx context.Context, call server.KeyedCall, send func(context.Context) (server.KeyedResponse, classifier.Outcome)) (server.KeyedResponse, classifier.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := string(call.Caller) + "/" + call.Key
	if digest, known := c.digests[key]; known {
		response, finished := c.responses[key]
		switch {
		case digest != call.Digest:
			return server.KeyedResponse{}, classifier.KeyReused
		case !finished:
			return server.KeyedResponse{}, classifier.OutcomeUnknown
		}
		return response, classifier.Served
	}
	c.digests[key] = call.Digest
	response, outcome := send(ctx)
	if outcome == classifier.Served {
		c.responses[key] = response
	}
	return response, outcome
}

// Guards against calls with an idempotency key that bypass the claimer, whose digest omits a part of the call,
// or whose recorded response differs from the original one.
func TestKeyedCalls(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	daemon := f.startDaemon(t, func(s *server.Server) {
		s.Claimer = &fakeClaimer{responses: map[string]server.KeyedResponse{}, digests: map[string][32]byte{}}
	})
	order := func(key, path, body string) *http.Response {
		return daemon.do(t, "POST", "/services/desk"+path, body, map[string]string{"Idempotency-Key": key, "Content-Type": "a/b"})
	}
	first := readBody(t, order("a", "/orders", "{}"))
	second := order("a", "/orders", "{}")
	is.Equal(second.StatusCode, http.StatusCreated)
	is.Equal(readBody(t, second), first)
	for _, other := range []*http.Response{order("a", "/orders", "{ }"), order("a", "/orders?x", "{}"), order("a", "/orders/x", "{}")} {
		is.Equal(other.StatusCode, http.StatusUnprocessableEntity)
	}
	is.Equal(f.service.Executed("a"), 1)
	for range 2 { // the response is lost, and the retry must not be executed
		lost := order("b", "/orders/lost", "{}")
		is.Equal(lost.StatusCode, http.StatusConflict)
		is.Equal(lost.Header.Get("X-Outcome"), "unknown")
	}
	is.Equal(f.service.Executed("b"), 1)
	for range 2 {
		is.Equal(order("c", "/%6Frders", "{}").StatusCode, http.StatusCreated) // the same path, encoded differently
	}
	is.Equal(f.service.Executed("c"), 1)
}
