package server_test

import (
	"bufio"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"apricotspool/configurer"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/forwarder"
	"apricotspool/generator"
	"apricotspool/imitator"
	"apricotspool/inspector"
	"apricotspool/namer"
	"apricotspool/recorder"
	"apricotspool/resumer"
	"apricotspool/server"
)

// fixture holds the endpoints and the configuration that the daemons of a test use.
type fixture struct {
	engines  []*imitator.Engine
	handlers []*imitator.EngineHandler
	service  *imitator.Service
	document *configurer.Document
	newCore  func() dispatcher.Core // creates the decision core of a daemon
}

// newFixture starts the engines and one plain service, and creates a configuration with them as endpoints.
func newFixture(t testing.TB, engines ...*imitator.Engine) *fixture {
	f := &fixture{engines: engines, service: &imitator.Service{}, newCore: func() dispatcher.Core { return &roundRobinCore{} }}
	endpoints := ""
	for i, engine := range engines {
		handler := &imitator.EngineHandler{Engine: engine}
		f.handlers = append(f.handlers, handler)
		endpoints += fmt.Sprintf(`"engine-%d":{"service":"chat","address":%q,"data-centre":"dc","models":["model"],"concurrency":1024},`, i, startServer(t, handler))
	}
	endpoints += fmt.Sprintf(`"desk-0":{"service":"desk","address":%q,"data-centre":"dc"}`, startServer(t, f.service))
	document, err := configurer.Parse(fmt.Appendf(nil, `{
		"data-centres":{"dc":{"region":"r"}},
		"models":{"model":{"version":"1","context":100000},"secret":{"version":"1","context":1000}},
		"services":{
			"chat":{"kind":"model","models":["model"],"deadline":"60s","max-body":100000,"ranks":{
				"urgent":{"order":0,"first-token":"30s","share":0.5,"queue-limit":1000},"free":{"order":1,"first-token":"30s","share":0.1,"queue-limit":1000}}},
			"other":{"kind":"model","models":["secret"],"deadline":"60s","ranks":{"urgent":{"order":0,"first-token":"30s","share":1}}},
			"desk":{"kind":"plain","deadline":"60s","max-body":200000,"non-idempotent":[{"method":"POST","path":"/orders/"},{"method":"POST","path":"/orders"}],"ranks":{
				"urgent":{"order":0,"first-token":"30s","share":1},"free":{"order":1,"first-token":"30s","share":0}}}},
		"callers":{
			"fitter":{"token-sha256":%q,"rank":"urgent","weight":3,"services":["chat","desk"]},
			"guest":{"token-sha256":%q,"rank":"free","services":["chat"]}},
		"endpoints":{%s}}`, tokenHash("fitter-token"), tokenHash("guest-token"), endpoints))
	is.New(t).NoErr(err)
	f.document = document
	return f
}

func tokenHash(token string) string {
	s := configurer.HashToken(token)
	return hex.EncodeToString(s[:])
}

func startServer(t testing.TB, handler http.Handler) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// daemon is a daemon reduced to the parts that serve callers.
type daemon struct {
	server      *server.Server
	http        *http.Server
	connections *killableListener
	url         string
}

// killableListener is a listener that can close all its connections abruptly, as if the process was killed.
type killableListener struct {
	net.Listener
	mu   sync.Mutex // guards open
	open []net.Conn
}

func (c *killableListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.open = append(c.open, conn)
	}
	return conn, err
}

func (c *killableListener) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		conn.Close()
	}
}

// startDaemon starts a daemon that runs until the test ends.
func (f *fixture) startDaemon(t testing.TB, adjust ...func(*server.Server)) *daemon {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	d := &dispatcher.Dispatcher{Core: f.newCore()}
	coreCtx, stopCore := context.WithCancel(context.Background())
	go d.Run(coreCtx)
	snapshot := configurer.NewSnapshot(1, f.document)
	is.New(t).NoErr(d.Configure(t.Context(), fleet(f.document)))
	engine := &generator.Client{}
	s := &server.Server{
		Snapshot: func() *configurer.Snapshot { return snapshot }, Dispatcher: d, Engine: engine, Forwarder: &forwarder.Client{},
		Metrics: recorder.NewMetrics(), Log: zerolog.Nop(),
		Signer:      &resumer.Signer{Keys: [][]byte{[]byte("a key that all daemons share")}},
		Finder:      &resumer.Resumer{Engine: engine, Endpoints: func(s namer.Service) []generator.Target { return server.Targets(snapshot, s) }},
		Disconnects: &resumer.Canceller{Engine: engine},
	}
	for _, a := range adjust {
		a(s)
	}
	killable := &killableListener{Listener: listener}
	httpServer := &http.Server{Handler: s.Handler(), ConnContext: inspector.ConnContext}
	go httpServer.Serve(killable)
	t.Cleanup(func() {
		httpServer.Close()
		is.New(t).NoErr(s.Wait(context.Background()))
		stopCore()
		<-d.Done()
	})
	return &daemon{server: s, http: httpServer, connections: killable, url: "http://" + listener.Addr().String()}
}

// fleet returns the core's view of the services and endpoints in a configuration.
func fleet(document *configurer.Document) decider.Fleet {
	f := decider.Fleet{DataCentre: "dc", Hosts: 1}
	for name, s := range document.Services {
		view := decider.ServiceView{Name: name, Plain: s.Kind == configurer.KindPlain, Deadline: s.Deadline.Std()}
		for _, rank := range []namer.Rank{"urgent", "free"} {
			if r, ok := s.Ranks[rank]; ok {
				view.Ranks = append(view.Ranks, decider.RankView{Name: rank, FirstToken: r.FirstToken.Std(), Share: r.Share, QueueLimit: r.QueueLimit})
			}
		}
		f.Services = append(f.Services, view)
	}
	for _, name := range slices.Sorted(maps.Keys(document.Endpoints)) {
		e := document.Endpoints[name]
		f.Endpoints = append(f.Endpoints, decider.EndpointView{
			Name: name, Service: e.Service, Models: e.Models, DataCentre: e.DataCentre, Role: namer.RoleMixed,
			Concurrency: max(e.Concurrency, configurer.DefaultConcurrency),
		})
	}
	return f
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}

// do sends a request as the caller "fitter", unless the header has another token.
func (d *daemon) do(t testing.TB, method, path, body string, header map[string]string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, d.url+path, strings.NewReader(body))
	is.New(t).NoErr(err)
	request.Header.Set("Authorization", "Bearer fitter-token")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	is.New(t).NoErr(err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func chatBody(tokens int, more string) string {
	return fmt.Sprintf(`{"model":"model","max_tokens":%d,"messages":[{"role":"user","content":"how wide is the belt"}]%s}`, tokens, more)
}

// expectedChunks returns the data of all chunks of the stream of chatBody(tokens, more), without stream ids.
func expectedChunks(t testing.TB, tokens int, more string) []string {
	engine := &imitator.Engine{}
	stream, err := engine.Generate(t.Context(), generator.Target{}, generator.Call{
		Stream: namer.NewStreamID(), Attempt: 1, Operation: generator.ChatCompletions, Body: []byte(chatBody(tokens, more)),
	})
	is.New(t).NoErr(err)
	defer stream.Close()
	var all []string
	for {
		chunk, err := stream.Next()
		is.New(t).NoErr(err)
		if chunk.Done {
			return all
		}
		all = append(all, trimStreamID(string(chunk.Data)))
	}
}

// trimStreamID removes the stream id, the first member, from the data of a chunk.
func trimStreamID(data string) string {
	_, rest, _ := strings.Cut(data, `,`)
	return rest
}

// received is the part of a stream that a caller has received.
type received struct {
	chunks     []string
	last       string // id of the last event
	done       bool
	errorEvent string // data of the error event, if any
}

// read reads up to limit more chunks, or up to the end of the body if limit is negative.
func (r *received) read(t testing.TB, in *bufio.Reader, limit int) {
	t.Helper()
	for n := 0; n != limit && !r.done && r.errorEvent == ""; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSuffix(line, "\n")
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case strings.HasPrefix(line, "id: "):
			attempt, index, err := generator.ParseEventID(line[4:])
			is.New(t).NoErr(err)
			is.New(t).Equal(index, len(r.chunks)) // no missing or duplicate chunks
			is.New(t).True(attempt >= 1)
			r.last = line[4:]
		case data == "[DONE]":
			r.done = true
		case isData && strings.HasPrefix(data, `{"error"`):
			r.errorEvent = data
		case isData:
			r.chunks = append(r.chunks, trimStreamID(data))
			n++
		}
	}
}

func readAll(t testing.TB, response *http.Response) *received {
	r := &received{}
	r.read(t, bufio.NewReader(response.Body), -1)
	return r
}

func readBody(t testing.TB, response *http.Response) string {
	body, err := io.ReadAll(response.Body)
	is.New(t).NoErr(err)
	return string(body)
}

// withRealCore makes the daemons use the production decision core.
func (f *fixture) withRealCore() *fixture {
	f.newCore = func() dispatcher.Core { return &decider.Core{} }
	return f
}

func withEngine(engine server.Engine) func(*server.Server) {
	return func(s *server.Server) { s.Engine = engine }
}
