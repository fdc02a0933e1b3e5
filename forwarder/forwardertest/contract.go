// Package forwardertest provides contract tests for implementations of forwarder.Service.
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

// Echo is the first line of the service's response below /echo, as JSON: the call as it was received. The
// body of the call follows.
type Echo struct {
	Method string      `json:"method"`
	Path   string      `json:"path"`
	Query  string      `json:"query"`
	Header http.Header `json:"header"`
}

// Subject is the implementation to test. Its target echoes calls below /echo and streams their body back
// as it arrives. For /orders/lost, it executes the call and closes the connection without a response.
type Subject struct {
	Service  forwarder.Service
	Target   forwarder.Target
	Executed func(key string) int // number of executions of /orders calls with an Idempotency-Key
}

// Run runs the contract tests on s.
func Run(t *testing.T, s Subject) {
	t.Run("method, path, query, header and body pass through", s.testPassThrough)
	t.Run("bodies stream both ways", s.testStreaming)
	t.Run("a call with a lost response is sent once", s.testSentOnce)
	t.Run("a call to an unreachable endpoint is not sent", s.testUnreachable)
	t.Run("a call over a limit is not sent", s.testLimits)
}

func (s Subject) forward(ctx context.Context, t *testing.T, call forwarder.Call) *forwarder.Response {
	t.Helper()
	response, err := s.Service.Forward(ctx, s.Target, call)
	is.New(t).NoErr(err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func (s Subject) testPassThrough(t *testing.T) {
	is := is.New(t)
	for _, method := range []string{"GET", "POST", "PUT", "PATCH", "DELETE", "PROPFIND"} {
		response := s.forward(t.Context(), t, forwarder.Call{
			Method: method, Path: "/echo/a%2Fb/%C3%A9", Query: "q=1&q=%20;x", Length: 4, Body: strings.NewReader("body"),
			Header: http.Header{"X-Own": {"1", "2"}, "Connection": {"X-Hop, close"}, "X-Hop": {"h"}, "Te": {"trailers"}, "Upgrade": {"h2c"}},
		})
		var echo Echo
		in := json.NewDecoder(response.Body)
		is.NoErr(in.Decode(&echo))
		is.Equal([]string{echo.Method, echo.Path, echo.Query}, []string{method, "/echo/a%2Fb/%C3%A9", "q=1&q=%20;x"})
		is.Equal(echo.Header["X-Own"], []string{"1", "2"})
		for _, hop := range []string{"Connection", "X-Hop", "Te", "Upgrade", "User-Agent", "Accept-Encoding"} {
			is.Equal(echo.Header.Get(hop), "") // hop-by-hop headers, and headers that the caller did not send
		}
		rest, err := io.ReadAll(io.MultiReader(in.Buffered(), response.Body))
		is.NoErr(err)
		is.Equal(strings.TrimPrefix(string(rest), "\n"), "body")
		is.Equal(response.Header.Get("X-Hop"), "") // the response names it in its Connection header
	}
}

func (s Subject) testStreaming(t *testing.T) {
	is := is.New(t)
	body, write := io.Pipe()
	response := s.forward(t.Context(), t, forwarder.Call{Method: "POST", Path: "/echo", Body: body, Length: -1})
	in := json.NewDecoder(response.Body)
	is.NoErr(in.Decode(&Echo{}))
	echoed := io.MultiReader(in.Buffered(), response.Body)
	io.ReadFull(echoed, make([]byte, 1)) // the newline after the JSON
	for range 3 {                        // each part is echoed before the next one is written
		_, err := io.WriteString(write, "part")
		is.NoErr(err)
		part := make([]byte, 4)
		_, err = io.ReadFull(echoed, part)
		is.NoErr(err)
		is.Equal(string(part), "part")
	}
	write.Close()
	rest, err := io.ReadAll(echoed)
	is.NoErr(err)
	is.Equal(len(rest), 0)
}

func (s Subject) testSentOnce(t *testing.T) {
	for name, call := range map[string]forwarder.Call{
		"with body":    {Method: "POST", Path: "/orders/lost", Body: strings.NewReader("{}"), Length: 2},
		"without body": {Method: "POST", Path: "/orders/lost"},
		"safe method":  {Method: "GET", Path: "/orders/lost"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// Opens a connection first, because net/http retries calls only on reused connections.
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

func (s Subject) testUnreachable(t *testing.T) {
	target := forwarder.Target{Address: netip.MustParseAddrPort("127.0.0.1:1")}
	_, err := s.Service.Forward(t.Context(), target, forwarder.Call{Method: "POST", Path: "/orders"})
	is.New(t).True(errors.Is(err, forwarder.ErrNotSent))
}

func (s Subject) testLimits(t *testing.T) {
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
