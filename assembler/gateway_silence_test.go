package assembler_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/platform/platformtest"
)

// Guards against requests that end without a response, because their servers send nothing for a second and then go
// on, while the configuration changes and few retries are left.
func TestGatewayKeepsRequestsOfSilentServers(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.configureDefaultRoutes()
	plain := s.startServer("app-1", platformtest.PlainService, "")
	plain.ServiceTime = 300 * time.Millisecond
	servers := []*platformtest.Server{plain}
	for _, id := range []string{"make-1", "make-2"} {
		engine := s.startServer(id, platformtest.ModelService, "decode")
		engine.ServiceTime, engine.Events = 50*time.Millisecond, 30
		servers = append(servers, engine)
	}
	settings := s.newSettings("g-1")
	settings.Retries.Slack = 2
	g := s.startGateway(settings)
	eventually(t, "readiness", g.ready)

	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()
	var requests sync.WaitGroup
	for i := range 30 {
		path, body := "/ask/1", func(id string) string { return platformtest.StreamBody(id, 30) }
		if i%3 == 0 {
			path, body = "/orders/1", func(id string) string { return "POST /orders/1 " + id }
		}
		requests.Go(func() {
			id, got := s.send(client, g, "POST", path)
			if got.err != nil || got.status != 200 || len(got.body) < len(body(id)) || got.body[:len(body(id))] != body(id) {
				t.Errorf("%s %s: status %d, %d bytes, %v", path, id, got.status, len(got.body), got.err)
			}
			is.True(path != "/orders/1" || s.Executions(id) == 1)
		})
	}
	time.Sleep(200 * time.Millisecond)
	for _, server := range servers {
		server.FallSilent(time.Second)
		s.configure(route{"/ask/", "streaming", "llm", 8 * time.Second}, route{"/new/", "safe", "app", 2 * time.Second})
		time.Sleep(300 * time.Millisecond)
	}
	requests.Wait()
}
