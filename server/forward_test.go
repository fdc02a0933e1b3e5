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

// Guards against calls of plain services that change on the way, and against the daemon's own headers
// and the caller's token that reach the service.
func TestForward(t *testing.T) {
	is := is.New(t)
	daemon := newFar(t).start(t)
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

// Guards against a second execution of a call that must not be repeated (P6), an untrue "not-run" (P5),
// and a missing retry of a call that may be repeated.
func TestForwardAttempts(t *testing.T) {
	const repeated = -1 // executed more than once, as often as the core decides
	for name, c := range map[string]struct {
		method, path string
		dead         bool // the first endpoint is unreachable
		status       int
		outcome      string
		executed     int
	}{
		"order":                    {"POST", "/orders", false, http.StatusCreated, "", 1},
		"order, first one dead":    {"POST", "/orders", true, http.StatusCreated, "", 1},
		"order with a lost answer": {"POST", "/orders/lost", false, http.StatusConflict, "unknown", 1},
		"encoded order":            {"POST", "/%6Frders/lost", false, http.StatusConflict, "unknown", 1},
		"unlisted POST":            {"POST", "/other", true, http.StatusNotFound, "", 0},
		"lookup, first one dead":   {"GET", "/catalogue/x", true, http.StatusOK, "", 0},
		"repeatable, lost answers": {"PUT", "/orders/lost", false, http.StatusBadGateway, "unknown", repeated},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFar(t)
			first := f.document.Endpoints["desk-0"]
			f.document.Endpoints["desk-1"] = first
			if c.dead {
				first.Address = netip.MustParseAddrPort("127.0.0.1:1")
				f.document.Endpoints["desk-0"] = first
			}
			response := f.start(t).do(t, c.method, "/services/desk"+c.path, "{}", nil)
			is.Equal(response.StatusCode, c.status)
			is.Equal(response.Header.Get("X-Outcome"), c.outcome)
			if c.executed == repeated {
				is.True(f.service.Orders() > 1)
				return
			}
			is.Equal(f.service.Orders(), c.executed)
		})
	}
}

// claims is a Claimer of one process.
type claims struct {
	mu      sync.Mutex
	answers map[string]server.KeyedAnswer
	digests map[string][32]byte
}

func (c *claims) Run(ctx context.Context, call server.KeyedCall, send func(context.Context) (server.KeyedAnswer, classifier.Outcome)) (server.KeyedAnswer, classifier.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := string(call.Caller) + "/" + call.Key
	if digest, known := c.digests[key]; known {
		answer, finished := c.answers[key]
		switch {
		case digest != call.Digest:
			return server.KeyedAnswer{}, classifier.KeyReused
		case !finished:
			return server.KeyedAnswer{}, classifier.OutcomeUnknown
		}
		return answer, classifier.Served
	}
	c.digests[key] = call.Digest
	answer, outcome := send(ctx)
	if outcome == classifier.Served {
		c.answers[key] = answer
	}
	return answer, outcome
}

// Guards against keyed calls that bypass the claims, whose digest misses a part of the call, or whose
// recorded answer differs from the first one.
func TestKeyedCalls(t *testing.T) {
	is := is.New(t)
	f := newFar(t)
	daemon := f.start(t, func(s *server.Server) {
		s.Claimer = &claims{answers: map[string]server.KeyedAnswer{}, digests: map[string][32]byte{}}
	})
	order := func(key, path, body string) *http.Response {
		return daemon.do(t, "POST", "/services/desk"+path, body, map[string]string{"Idempotency-Key": key, "Content-Type": "a/b"})
	}
	first := text(t, order("a", "/orders", "{}"))
	second := order("a", "/orders", "{}")
	is.Equal(second.StatusCode, http.StatusCreated)
	is.Equal(text(t, second), first)
	for _, other := range []*http.Response{order("a", "/orders", "{ }"), order("a", "/orders?x", "{}"), order("a", "/orders/x", "{}")} {
		is.Equal(other.StatusCode, http.StatusUnprocessableEntity)
	}
	is.Equal(f.service.Executed("a"), 1)
	for range 2 { // the answer is lost; the repetition must not run
		lost := order("b", "/orders/lost", "{}")
		is.Equal(lost.StatusCode, http.StatusConflict)
		is.Equal(lost.Header.Get("X-Outcome"), "unknown")
	}
	is.Equal(f.service.Executed("b"), 1)
	for range 2 {
		is.Equal(order("c", "/%6Frders", "{}").StatusCode, http.StatusCreated) // the same path in another form
	}
	is.Equal(f.service.Executed("c"), 1)
}
