// Package forwardertest holds the contract tests of forwarder.Service. Any implementation can run them.
package forwardertest

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"apricotspool/forwarder"
)

// Echo is what the far service answers below /echo: the call as it came in. The body of the call
// follows the JSON line.
type Echo struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query"`
	Header http.Header `json:"header"`
}

// Subject is a service to test. Its target echoes below /echo, streams the body back as it comes,
// and for POST /orders/lost executes the call and breaks the connection.
type Subject struct {
	Service  forwarder.Service
	Target   forwarder.Target
	Executed func(key string) int // executions of /orders calls by Idempotency-Key
}

// Run tests a subject.
func Run(t *testing.T, s Subject) {
	t.Run("method, path, query, header and body pass through", s.passes)
	t.Run("bodies stream both ways", s.streams)
	t.Run("a call with a lost answer is sent once", s.once)
	t.Run("an unreachable endpoint gets nothing", s.unreachable)
	t.Run("a call over a limit is not sent", s.limits)
}

func (s Subject) forward(ctx context.Context, t *testing.T, call forwarder.Call) *forwarder.Answer {
	t.Helper()
	answer, err := s.Service.Forward(ctx, s.Target, call)
	is.New(t).NoErr(err)
	t.Cleanup(func() { answer.Body.Close() })
	return answer
}

func (s Subject) passes(t *testing.T) {
	is := is.New(t)
	for _, method := range []string{"GET", "POST", "PUT", "PATCH", "DELETE", "PROPFIND"} {
		answer := s.forward(t.Context(), t, forwarder.Call{
			Method: method, Path: "/echo/a%2Fb/%C3%A9", Query: "q=1&q=%20;x", Length: 4, Body: strings.NewReader("body"),
			Header: http.Header{"X-Own": {"1", "2"}, "Connection": {"X-Hop, close"}, "X-Hop": {"h"}, "Te": {"trailers"}, "Upgrade": {"h2c"}},
		})
		var echo Echo
		in := json.NewDecoder(answer.Body)
		is.NoErr(in.Decode(&echo))
		is.Equal([]string{echo.Method, echo.Path, echo.Query}, []string{method, "/echo/a%2Fb/%C3%A9", "q=1&q=%20;x"})
		is.Equal(echo.Header["X-Own"], []string{"1", "2"})
		for _, hop := range []string{"Connection", "X-Hop", "Te", "Upgrade", "User-Agent", "Accept-Encoding"} {
			is.Equal(echo.Header.Get(hop), "") // headers of one connection, or that the caller did not send
		}
		rest, err := io.ReadAll(io.MultiReader(in.Buffered(), answer.Body))
		is.NoErr(err)
		is.Equal(strings.TrimPrefix(string(rest), "\n"), "body")
		is.Equal(answer.Header.Get("X-Hop"), "") // the echo names it in its own Connection header
	}
}

func (s Subject) streams(t *testing.T) {
	is := is.New(t)
	body, write := io.Pipe()
	answer := s.forward(t.Context(), t, forwarder.Call{Method: "POST", Path: "/echo", Body: body, Length: -1})
	in := json.NewDecoder(answer.Body)
	is.NoErr(in.Decode(&Echo{}))
	back := io.MultiReader(in.Buffered(), answer.Body)
	io.ReadFull(back, make([]byte, 1)) // the end of the JSON line
	for range 3 {                      // each part comes back before the next one is written
		_, err := io.WriteString(write, "part")
		is.NoErr(err)
		part := make([]byte, 4)
		_, err = io.ReadFull(back, part)
		is.NoErr(err)
		is.Equal(string(part), "part")
	}
	write.Close()
	rest, err := io.ReadAll(back)
	is.NoErr(err)
	is.Equal(len(rest), 0)
}

func (s Subject) once(t *testing.T) {
	for name, call := range map[string]forwarder.Call{
		"with body":    {Method: "POST", Path: "/orders/lost", Body: strings.NewReader("{}"), Length: 2},
		"without body": {Method: "POST", Path: "/orders/lost"},
		"safe method":  {Method: "GET", Path: "/orders/lost"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// A used connection comes first, because net/http repeats calls only on those.
			warm := s.forward(t.Context(), t, forwarder.Call{Method: "GET", Path: "/echo"})
			io.Copy(io.Discard, warm.Body)
			warm.Body.Close()
			call.Header = http.Header{"Idempotency-Key": {name}}
			_, err := s.Service.Forward(t.Context(), s.Target, call)
			is.True(errors.Is(err, forwarder.ErrUncertain))
			is.Equal(s.Executed(name), 1)
		})
	}
}

func (s Subject) unreachable(t *testing.T) {
	gone := forwarder.Target{Address: netip.MustParseAddrPort("127.0.0.1:1")}
	_, err := s.Service.Forward(t.Context(), gone, forwarder.Call{Method: "POST", Path: "/orders"})
	is.New(t).True(errors.Is(err, forwarder.ErrNotSent))
}

func (s Subject) limits(t *testing.T) {
	is := is.New(t)
	for name, call := range map[string]forwarder.Call{
		"header": {Header: http.Header{"X-Large": {strings.Repeat("x", forwarder.DefaultMaxHeader)}}},
		"query":  {Query: strings.Repeat("x", forwarder.DefaultMaxHeader+1)},
		"body":   {Body: strings.NewReader("x"), Length: forwarder.DefaultMaxRequest + 1},
	} {
		call.Method, call.Path = "POST", "/orders"
		if call.Header == nil {
			call.Header = http.Header{}
		}
		call.Header.Set("Idempotency-Key", "limit-"+name)
		_, err := s.Service.Forward(t.Context(), s.Target, call)
		is.True(errors.Is(err, forwarder.ErrTooLarge))
		is.Equal(s.Executed("limit-"+name), 0)
	}
}
