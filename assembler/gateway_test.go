package assembler_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"apricotspool/assembler"
	"apricotspool/imitator"
	"apricotspool/loader"
	"apricotspool/namer"
	"apricotspool/platform"
	"apricotspool/platform/platformtest"
	"apricotspool/recorder"
)

// site is a small deployment on loopback: a store, endpoints and gateways.
type site struct {
	platformtest.Site
	t       testing.TB
	address netip.AddrPort // of the store
	api     *http.Server   // serves the store
}

func newSite(t testing.TB) *site {
	s := &site{t: t}
	listener := listenTCP(t)
	s.address = netip.MustParseAddrPort(listener.Addr().String())
	s.api = &http.Server{Handler: &platformtest.StoreHandler{Store: &s.Store}}
	go s.api.Serve(listener)
	t.Cleanup(func() { s.api.Close() })
	t.Cleanup(s.Close)
	return s
}

func listenTCP(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	return listener
}

// Ports below those that the kernel gives to outgoing connections, which could take one between its choice and its use.
const (
	firstPort = 20_000
	ports     = 12_000
)

// lastPort counts the ports that have been tried. Each process of tests begins elsewhere.
var lastPort atomic.Uint32

func init() { lastPort.Store(uint32(os.Getpid()) * 97) }

// freeAddress returns an address that nothing uses, for TCP and UDP, and that no other call returns.
func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	for range ports {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+lastPort.Add(1)%ports))
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		listener.Close()
		datagrams, err := net.ListenPacket("udp4", address.String())
		if err != nil {
			continue
		}
		datagrams.Close()
		return address
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

// route is one route of the configuration.
type route struct {
	prefix  string
	kind    platformtest.Kind
	service string
	timeout time.Duration
}

// configure writes the next version of the configuration.
func (s *site) configure(routes ...route) {
	s.t.Helper()
	var list []platformtest.Route
	for _, r := range routes {
		list = append(list, platformtest.Route{Prefix: r.prefix, Kind: r.kind, Service: r.service, Timeout: r.timeout})
	}
	is.New(s.t).NoErr(s.Configure(s.t.Context(), list...))
}

// configureDefaultRoutes configures two routes of a plain service and a streaming route of a model service.
func (s *site) configureDefaultRoutes() {
	s.configure(
		route{"/orders/", "unsafe", "app", 2 * time.Second}, route{"/items/", "safe", "app", 2 * time.Second},
		route{"/ask/", "streaming", "llm", 10 * time.Second},
	)
}

func (s *site) startServer(id, service, stage string) *platformtest.Server {
	s.t.Helper()
	server, err := s.StartServer(id, service, stage)
	is.New(s.t).NoErr(err)
	s.t.Cleanup(server.Crash)
	return server
}

// gateway is a gateway that runs in the test process.
type gateway struct {
	*assembler.Gateway
	settings *loader.GatewaySettings
	stop     context.CancelFunc
	ended    chan error
}

func (s *site) newSettings(name string) *loader.GatewaySettings {
	return &loader.GatewaySettings{
		Host: namer.Host(name), DataCentre: "a", Callers: freeAddress(s.t), Health: freeAddress(s.t), Peers: freeAddress(s.t),
		Datagrams: freeAddress(s.t), ObjectAPI: s.address,
		Drain:   loader.Drain{Notice: namer.Duration(300 * time.Millisecond), Limit: namer.Duration(4 * time.Second)},
		Retries: loader.RetryBudget{Ratio: 0.2, Slack: 50, Window: namer.Duration(10 * time.Second)},
	}
}

func (s *site) startGateway(settings *loader.GatewaySettings) *gateway {
	g := &gateway{
		Gateway:  &assembler.Gateway{Settings: settings, Platform: platform.Adapter(), Log: recorder.NewAsyncLogger(io.Discard, zerolog.InfoLevel)},
		settings: settings, ended: make(chan error, 1),
	}
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	go func() { g.ended <- g.Run(ctx) }()
	s.t.Cleanup(func() {
		stop()
		<-g.Done()
	})
	return g
}

func (g *gateway) ready() bool {
	response, err := http.Get("http://" + g.settings.Health.String() + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func eventually(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("condition not met: %s", condition)
		}
	}
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request with a unique ID and returns the ID.
func (s *site) send(client *http.Client, g *gateway, method, path string) (string, reply) {
	id, r, err := s.NewRequest(method, g.settings.Callers, path)
	if err != nil {
		return id, reply{err: err}
	}
	response, err := client.Do(r)
	if err != nil {
		return id, reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return id, reply{response.StatusCode, response.Header, string(body), err}
}

// stampedByServer reports whether a response carries the valid stamp of one of the servers.
func (s *site) stampedByServer(id string, r reply) bool { return s.Stamped(id, r.status, r.header) }

// Guards the path from client to server end to end: plain services, streams with prefill at one server
// and decoding at another, and requests that match no route.
func TestGatewayServes(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.configureDefaultRoutes()
	s.startServer("app-1", "app", "")
	prefill := s.startServer("read-1", "llm", "prefill")
	s.startServer("make-1", "llm", "decode")
	one, two := s.startGateway(s.newSettings("g-1")), s.startGateway(s.newSettings("g-2"))
	eventually(t, "readiness", func() bool { return one.ready() && two.ready() })
	for _, g := range []*gateway{one, two} {
		id, got := s.send(http.DefaultClient, g, "POST", "/orders/1")
		is.Equal(got.status, 200)
		is.True(s.stampedByServer(id, got))
		is.Equal(s.Executions(id), 1)
		id, got = s.send(http.DefaultClient, g, "POST", "/ask/1")
		is.Equal(got.status, 200)
		is.True(s.stampedByServer(id, got))
		is.Equal(got.body, platformtest.StreamBody(id, 5))
		_, got = s.send(http.DefaultClient, g, "GET", "/none/1")
		is.Equal(got.status, 404)
	}
	is.Equal(prefill.Handles(), 0) // every KV handle was consumed
}

// Guards against a gateway that reports itself as ready, or rejects requests with a non-retryable status,
// before it knows the configuration and the servers.
func TestGatewayWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	g := s.startGateway(s.newSettings("g-1"))
	eventually(t, "a response", func() bool { _, got := s.send(http.DefaultClient, g, "GET", "/items/1"); return got.err == nil })
	_, got := s.send(http.DefaultClient, g, "GET", "/items/1")
	is.Equal(got.status, 503)
	is.True(got.header.Get("Retry-After") != "")
	is.True(!g.ready())
	s.configureDefaultRoutes()
	s.startServer("app-1", "app", "")
	eventually(t, "readiness", g.ready)
}

// Guards against configurations that are not applied at every gateway, and against a return to an older
// configuration that is read again.
func TestGatewayConfigurationChanges(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.configureDefaultRoutes()
	s.startServer("app-1", "app", "")
	gateways := []*gateway{s.startGateway(s.newSettings("g-1")), s.startGateway(s.newSettings("g-2")), s.startGateway(s.newSettings("g-3"))}
	eventually(t, "readiness", func() bool { return gateways[0].ready() && gateways[1].ready() && gateways[2].ready() })
	for i := range 5 {
		prefix := fmt.Sprintf("/new-%d/", i)
		s.configure(route{"/items/", "safe", "app", time.Second}, route{prefix, "safe", "app", time.Second})
		for _, g := range gateways {
			eventually(t, prefix, func() bool { _, got := s.send(http.DefaultClient, g, "GET", prefix); return got.status == 200 })
		}
	}
	_, got := s.send(http.DefaultClient, gateways[0], "GET", "/new-0/")
	is.Equal(got.status, 404)
	s.SetVersion(2) // as after an operator error or the restore of a backup
	s.configure(route{"/items/", "safe", "app", time.Second})
	time.Sleep(300 * time.Millisecond)
	for _, g := range gateways {
		_, got := s.send(http.DefaultClient, g, "GET", "/new-4/")
		is.Equal(got.status, 200)
	}
}

// Guards against requests to a server that leaves, whether it is draining or its entry is removed.
func TestGatewayStopsUsingLeavingServers(t *testing.T) {
	for name, leave := range map[string]func(*platformtest.Server) error{
		"server drains":    (*platformtest.Server).Drain,
		"entry is removed": (*platformtest.Server).Remove,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t)
			s.configureDefaultRoutes()
			one, two := s.startServer("app-1", "app", ""), s.startServer("app-2", "app", "")
			g := s.startGateway(s.newSettings("g-1"))
			eventually(t, "readiness", g.ready)
			eventually(t, "both servers in use", func() bool {
				s.send(http.DefaultClient, g, "GET", "/items/1")
				return !one.LastAccepted().IsZero() && !two.LastAccepted().IsZero()
			})
			is.NoErr(leave(one))
			leftAt := time.Now()
			for time.Since(leftAt) < 1500*time.Millisecond {
				_, got := s.send(http.DefaultClient, g, "GET", "/items/1")
				is.Equal(got.status, 200)
			}
			is.True(one.LastAccepted().Sub(leftAt) < time.Second)
		})
	}
}

// Guards against a shutdown that aborts requests, leaves the gateway ready or never ends.
func TestGatewayDrains(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.configureDefaultRoutes()
	slow := s.startServer("app-1", "app", "")
	slow.ServiceTime = 200 * time.Millisecond
	g := s.startGateway(s.newSettings("g-1"))
	eventually(t, "readiness", g.ready)
	var failed, succeeded atomic.Int32
	var clients sync.WaitGroup
	stopped := make(chan struct{})
	for range 8 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for {
				_, got := s.send(client, g, "POST", "/orders/1")
				switch {
				case got.status == 200:
					succeeded.Add(1)
				case got.err != nil && strings.Contains(got.err.Error(), "connection refused"):
					return
				case got.err != nil && strings.Contains(got.err.Error(), "EOF"):
					return // the connection was closed before the request was read
				default:
					failed.Add(1)
					return
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	go func() {
		g.stop()
		close(stopped)
	}()
	<-stopped
	eventually(t, "unreadiness", func() bool { return !g.ready() })
	clients.Wait()
	is.NoErr(<-g.ended)
	is.Equal(failed.Load(), int32(0))
	is.True(succeeded.Load() > 8)
	total := 0
	for _, n := range slow.Executions() {
		is.Equal(n, 1)
		total += n
	}
	is.Equal(int32(total), succeeded.Load()) // every executed request got its response
}

// Guards against a gateway that does not serve after a restart, or that depends on changes reported by the
// object API to find the other gateways.
func TestGatewayRestarts(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.configureDefaultRoutes()
	s.startServer("app-1", "app", "")
	settings := s.newSettings("g-1")
	for range 3 {
		g := s.startGateway(settings)
		eventually(t, "readiness", g.ready)
		_, got := s.send(http.DefaultClient, g, "GET", "/items/1")
		is.Equal(got.status, 200)
		g.stop()
		<-g.Done()
	}
}

// metric returns the value of a metric, or "0" if the metric does not exist yet.
func (g *gateway) metric(name string) string {
	response, err := http.Get("http://" + g.settings.Health.String() + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return strings.TrimSpace(value)
		}
	}
	return "0"
}

// Guards against gateways that all read the object API when they start together. Its rate limit is shared
// and each call has a cost, so a starting gateway must get the state from a seed.
func TestGatewaysStartFromSeeds(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.configureDefaultRoutes()
	s.startServer("app-1", "app", "")
	seed := s.newSettings("g-1")
	seed.Seeds = []netip.AddrPort{seed.Peers}
	first := s.startGateway(seed)
	eventually(t, "readiness of the seed", first.ready)
	is.True(first.metric(`apricotspool_object_api_calls_total{kind="list"}`) != "0")
	for _, name := range []string{"g-2", "g-3"} {
		settings := s.newSettings(name)
		settings.Seeds = seed.Seeds
		g := s.startGateway(settings)
		eventually(t, "readiness", g.ready)
		is.Equal(g.metric(`apricotspool_object_api_calls_total{kind="list"}`), "0")
	}
	isolated := s.newSettings("g-4")
	isolated.Seeds = []netip.AddrPort{freeAddress(t)}
	g := s.startGateway(isolated)
	eventually(t, "readiness without a reachable seed", g.ready)
}

// Guards against traffic that stops while the object API is unavailable, and against changes that are
// missed after it has recovered.
func TestGatewayWithoutObjectAPI(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.configureDefaultRoutes()
	s.startServer("app-1", "app", "")
	var unavailable atomic.Bool
	s.api.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if unavailable.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		(&platformtest.StoreHandler{Store: &s.Store}).ServeHTTP(w, r)
	})
	g := s.startGateway(s.newSettings("g-1"))
	eventually(t, "readiness", g.ready)
	unavailable.Store(true)
	s.configure(route{"/items/", "safe", "app", time.Second}, route{"/later/", "safe", "app", time.Second})
	for range 20 {
		_, got := s.send(http.DefaultClient, g, "GET", "/items/1")
		is.Equal(got.status, 200)
		time.Sleep(50 * time.Millisecond)
	}
	unavailable.Store(false)
	eventually(t, "the new route", func() bool { _, got := s.send(http.DefaultClient, g, "GET", "/later/1"); return got.status == 200 })
}

// Guards against new work for a server that has said in a response that it is leaving, and against more than
// the first requests to one that has turned the gateway away for a while.
func TestGatewayHonoursWhatServersSay(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.configureDefaultRoutes()
	leaving, full := s.startServer("app-1", "app", ""), s.startServer("app-2", "app", "")
	s.startServer("app-3", "app", "")
	g := s.startGateway(s.newSettings("g-1"))
	eventually(t, "readiness", g.ready)
	leaving.AnnounceLeaving()
	full.TurnAway(30)
	for len(leaving.Executions()) == 0 || full.TurnedAway() == 0 {
		s.send(http.DefaultClient, g, "GET", "/items/1")
	}
	executed := len(leaving.Executions())
	for range 60 {
		_, got := s.send(http.DefaultClient, g, "GET", "/items/1")
		is.Equal(got.status, 200)
	}
	is.Equal(len(leaving.Executions()), executed)
	is.Equal(full.TurnedAway(), 1)
}

// Guards against a gateway that stops serving, or returns to an older configuration, when the store is restored
// from a backup that lacks the newest configuration and the servers' entries.
func TestGatewayOutlivesRestoredStore(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.configure(route{"/items/", "safe", "app", time.Second})
	backup := s.Store.Backup()
	s.startServer("app-1", "app", "")
	g := s.startGateway(s.newSettings("g-1"))
	eventually(t, "readiness", g.ready)
	s.configure(route{"/items/", "safe", "app", time.Second}, route{"/new/", "safe", "app", time.Second})
	eventually(t, "the new route", func() bool { _, got := s.send(http.DefaultClient, g, "GET", "/new/1"); return got.status == 200 })
	s.Store.Restore(backup)
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		_, got := s.send(http.DefaultClient, g, "GET", "/new/1")
		is.Equal(got.status, 200)
	}
	s.startServer("app-2", "app", "")
	s.configure(route{"/items/", "safe", "app", time.Second}, route{"/third/", "safe", "app", time.Second})
	eventually(t, "the third route", func() bool { _, got := s.send(http.DefaultClient, g, "GET", "/third/1"); return got.status == 200 })
	eventually(t, "the dropped route", func() bool { _, got := s.send(http.DefaultClient, g, "GET", "/new/1"); return got.status == 404 })
}

// Guards against a change of the configuration, the servers' entries or the store that ends requests in flight.
func TestRequestsOutliveChanges(t *testing.T) {
	for name, change := range map[string]func(s *site, plain, engine *platformtest.Server, backup imitator.Backup){
		"routes are dropped": func(s *site, _, _ *platformtest.Server, _ imitator.Backup) {
			s.configure(route{"/items/", "safe", "app", time.Second})
		},
		"routes are moved and shortened": func(s *site, _, _ *platformtest.Server, _ imitator.Backup) {
			s.configure(route{"/orders/", "safe", "llm", 50 * time.Millisecond}, route{"/ask/", "unsafe", "app", 50 * time.Millisecond})
		},
		"servers are replaced": func(s *site, plain, engine *platformtest.Server, _ imitator.Backup) {
			s.startServer("app-2", "app", "")
			s.startServer("make-2", "llm", "decode")
			plain.Remove()
			engine.Remove()
		},
		"servers drain": func(_ *site, plain, engine *platformtest.Server, _ imitator.Backup) {
			plain.Drain()
			engine.Drain()
		},
		"store is restored": func(s *site, _, _ *platformtest.Server, backup imitator.Backup) { s.Store.Restore(backup) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			s := newSite(t)
			backup := s.Store.Backup()
			s.configureDefaultRoutes()
			plain, engine := s.startServer("app-1", "app", ""), s.startServer("make-1", "llm", "decode")
			plain.ServiceTime, engine.ServiceTime, engine.Events = 1300*time.Millisecond, 130*time.Millisecond, 10
			g := s.startGateway(s.newSettings("g-1"))
			eventually(t, "readiness", g.ready)
			var clients sync.WaitGroup
			for _, path := range []string{"/orders/1", "/ask/1"} {
				clients.Go(func() {
					id, got := s.send(http.DefaultClient, g, "POST", path)
					is.NoErr(got.err)
					is.Equal(got.status, 200)
					is.True(s.stampedByServer(id, got))
					is.True(path != "/ask/1" || got.body == platformtest.StreamBody(id, 10))
					is.Equal(s.Executions(id), 1)
				})
			}
			eventually(t, "requests in flight", func() bool { return len(plain.Executions()) == 1 && len(engine.Executions()) == 1 })
			change(s, plain, engine, backup)
			clients.Wait()
		})
	}
}
