package server_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/forwarder"
	"apricotspool/generator"
	"apricotspool/imitator"
	"apricotspool/inspector"
)

// countingEngine counts the calls that generate.
type countingEngine struct {
	generator.Client
	calls atomic.Int32
}

func (e *countingEngine) Generate(ctx context.Context, to generator.Target, call generator.Call) (generator.Stream, error) {
	e.calls.Add(1)
	return e.Client.Generate(ctx, to, call)
}

// countingForwarder counts calls that get a response.
type countingForwarder struct {
	forwarder.Service
	calls atomic.Int32
}

func (f *countingForwarder) Forward(ctx context.Context, to forwarder.Target, call forwarder.Call) (*forwarder.Response, error) {
	response, err := f.Service.Forward(ctx, to, call)
	if err == nil {
		f.calls.Add(1)
	}
	return response, err
}

// Guards against requests that reach an engine or a service although their callers had left before the daemon read them.
func TestUnreadRequestsOfCallersThatLeftAreNotSent(t *testing.T) {
	const callers = 60
	const completion = `{"model":"model","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"x"}]}`
	for name, c := range map[string]struct {
		path, body string
	}{
		"completion":      {"/v1/chat/completions", completion},
		"order":           {"/services/desk/orders", "{}"},
		"repeatable call": {"/services/desk/echo", "{}"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			engine := &countingEngine{}
			f := newFixture(t, &imitator.Engine{})
			daemon := f.startDaemon(t, withEngine(engine))
			forwarded := &countingForwarder{Service: daemon.server.Forwarder}
			daemon.server.Forwarder = forwarded
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			for range callers {
				conn, err := net.Dial("tcp", listener.Addr().String())
				is.NoErr(err)
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer fitter-token\r\nContent-Length: %d\r\n\r\n%s", c.path, len(c.body), c.body)
				is.NoErr(err)
				is.NoErr(conn.Close())
			}
			server := &http.Server{Handler: daemon.server.Handler(), ConnContext: inspector.ConnContext}
			go server.Serve(listener)
			defer server.Close()
			response, err := http.Get("http://" + listener.Addr().String() + "/healthz") // comes after all others
			is.NoErr(err)
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
			for daemon.server.InFlight() > 0 {
				time.Sleep(time.Millisecond)
			}
			is.Equal(engine.calls.Load()+forwarded.calls.Load()+int32(f.service.Orders()), int32(0))
		})
	}
}
