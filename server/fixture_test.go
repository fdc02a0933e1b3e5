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
	"apricotspool/namer"
	"apricotspool/recorder"
	"apricotspool/resumer"
	"apricotspool/server"
)

// far is what stands behind the daemons of a test.
type far struct {
	engines  []*imitator.Engine
	handlers []*imitator.EngineHandler
	service  *imitator.Service
	document *configurer.Document
	core     func() dispatcher.Core // of each daemon
}

// newFar starts engines and one plain service and describes them in a configuration.
func newFar(t testing.TB, engines ...*imitator.Engine) *far {
	f := &far{engines: engines, service: &imitator.Service{}, core: func() dispatcher.Core { return &steadyCore{} }}
	endpoints := ""
	for i, engine := range engines {
		handler := &imitator.EngineHandler{Engine: engine}
		f.handlers = append(f.handlers, handler)
		endpoints += fmt.Sprintf(`"engine-%d":{"service":"chat","address":%q,"data-centre":"dc","models":["model"],"concurrency":1024},`, i, listen(t, handler))
	}
	endpoints += fmt.Sprintf(`"desk-0":{"service":"desk","address":%q,"data-centre":"dc"}`, listen(t, f.service))
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
		"endpoints":{%s}}`, sum("fitter-token"), sum("guest-token"), endpoints))
	is.New(t).NoErr(err)
	f.document = document
	return f
}

func sum(token string) string {
	s := configurer.SumToken(token)
	return hex.EncodeToString(s[:])
}

func listen(t testing.TB, handler http.Handler) string {
	near := httptest.NewServer(handler)
	t.Cleanup(near.Close)
	return near.Listener.Addr().String()
}

// daemon is the part of a daemon that serves callers.
type daemon struct {
	server      *server.Server
	http        *http.Server
	connections *connections
	url         string
}

// connections is a listener whose connections can be cut as those of a killed process are.
type connections struct {
	net.Listener
	mu   sync.Mutex // guards open
	open []net.Conn
}

func (c *connections) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.open = append(c.open, conn)
	}
	return conn, err
}

func (c *connections) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		conn.Close()
	}
}

// start runs a daemon until the test ends.
func (f *far) start(t testing.TB, adjust ...func(*server.Server)) *daemon {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	d := &dispatcher.Dispatcher{Core: f.core()}
	control, stopControl := context.WithCancel(context.Background())
	go d.Run(control)
	snapshot := configurer.NewSnapshot(1, f.document)
	is.New(t).NoErr(d.Configure(t.Context(), fleet(f.document)))
	engine := &generator.Client{}
	s := &server.Server{
		Snapshot: func() *configurer.Snapshot { return snapshot }, Dispatcher: d, Engine: engine, Service: &forwarder.Client{},
		Metrics: recorder.NewMetrics(), Log: zerolog.Nop(),
		Signer: &resumer.Signer{Keys: [][]byte{[]byte("a key that all daemons share")}},
		Finder: &resumer.Resumer{Engine: engine, Endpoints: func(s namer.Service) []generator.Target { return server.Targets(snapshot, s) }},
		Leaver: &resumer.Canceller{Engine: engine},
	}
	for _, a := range adjust {
		a(s)
	}
	cut := &connections{Listener: listener}
	near := &http.Server{Handler: s.Handler()}
	go near.Serve(cut)
	t.Cleanup(func() {
		near.Close()
		is.New(t).NoErr(s.Wait(context.Background()))
		stopControl()
		<-d.Done()
	})
	return &daemon{server: s, http: near, connections: cut, url: "http://" + listener.Addr().String()}
}

// fleet describes the endpoints of a document to the core.
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

// do sends a request of the caller "fitter" unless the header says otherwise.
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

func chat(tokens int, more string) string {
	return fmt.Sprintf(`{"model":"model","max_tokens":%d,"messages":[{"role":"user","content":"how wide is the belt"}]%s}`, tokens, more)
}

// expected returns the ids and data of the whole stream of chat(tokens, more), without stream ids.
func expected(t testing.TB, tokens int, more string) []string {
	engine := &imitator.Engine{}
	stream, err := engine.Generate(t.Context(), generator.Target{}, generator.Call{
		Stream: namer.NewStreamID(), Attempt: 1, Operation: generator.ChatCompletions, Body: []byte(chat(tokens, more)),
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
		all = append(all, afterID(string(chunk.Data)))
	}
}

// afterID cuts the stream id off the start of a chunk.
func afterID(data string) string {
	_, rest, _ := strings.Cut(data, `,`)
	return rest
}

// received is what a caller has got of a stream.
type received struct {
	chunks []string
	last   string // id of the last event
	done   bool
	fault  string // data of an error event
}

// read reads up to limit more chunks; below 0 it reads to the end of the body.
func (r *received) read(t testing.TB, in *bufio.Reader, limit int) {
	t.Helper()
	for n := 0; n != limit && !r.done && r.fault == ""; {
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
			is.New(t).Equal(index, len(r.chunks)) // no chunk is lost or doubled
			is.New(t).True(attempt >= 1)
			r.last = line[4:]
		case data == "[DONE]":
			r.done = true
		case isData && strings.HasPrefix(data, `{"error"`):
			r.fault = data
		case isData:
			r.chunks = append(r.chunks, afterID(data))
			n++
		}
	}
}

func readAll(t testing.TB, response *http.Response) *received {
	r := &received{}
	r.read(t, bufio.NewReader(response.Body), -1)
	return r
}

func text(t testing.TB, response *http.Response) string {
	body, err := io.ReadAll(response.Body)
	is.New(t).NoErr(err)
	return string(body)
}

// realCore lets the daemons decide as in production.
func (f *far) realCore() *far {
	f.core = func() dispatcher.Core { return &decider.Core{} }
	return f
}

func withEngine(engine server.Engine) func(*server.Server) {
	return func(s *server.Server) { s.Engine = engine }
}
