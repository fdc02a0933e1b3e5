package assembler

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"apricotspool/inspector"
	"apricotspool/loader"
	"apricotspool/messenger"
	"apricotspool/namer"
	"apricotspool/supervisor"
)

// Run serves until ctx ends, then shuts down gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	g.init()
	defer close(g.done)
	l, err := listenGateway(g.Settings)
	if err != nil {
		return err
	}
	defer l.close()
	limitCollector(g.Settings.MemoryMB)
	g.connect(l.datagrams)
	componentCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	go g.supervisionTree().Run(componentCtx)
	callers := g.newCallersServer()
	health := &http.Server{Handler: http.HandlerFunc(g.serveHealth), ReadHeaderTimeout: headerTimeout}
	peers := newHTTPServer(g.peerHandler(), loader.Limits{HeaderBytes: loader.DefaultHeaderBytes, HeaderTimeout: namer.Duration(loader.DefaultHeaderTimeout)}, true)
	failed := make(chan error, 3)
	for server, listener := range map[*http.Server]net.Listener{peers: l.peers, callers: g.callersListener(l.callers), health: l.health} {
		defer server.Close()
		go func() { failed <- server.Serve(listener) }()
	}
	g.Log.Events.Info().Str("host", string(g.Settings.Host)).Msg("daemon-started")
	select {
	case <-ctx.Done():
	case err := <-failed:
		return errors.Wrap(err, "listener")
	}
	g.shutDown(callers)
	g.duties.flush()
	return nil
}

// callersListener drops the connections of callers that have left before they are accepted.
func (g *Gateway) callersListener(listener net.Listener) net.Listener {
	return &inspector.Listener{Listener: listener, OnLeft: func() { g.metrics.CallerLeft("accept") }, Budget: g.memory}
}

const (
	// headerTimeout bounds the time for reading a request header. Callers of the platform need less.
	headerTimeout = 10 * time.Second
	// idleTimeout exceeds the time for which callers keep idle connections.
	idleTimeout = time.Minute
)

// gatewayListeners holds a gateway's listeners and datagram socket.
type gatewayListeners struct {
	callers, health, peers net.Listener
	datagrams              net.PacketConn
}

// listenGateway binds all addresses before anything else starts.
func listenGateway(s *loader.GatewaySettings) (*gatewayListeners, error) {
	l := &gatewayListeners{}
	for _, entry := range []struct {
		name    string
		address netip.AddrPort
		to      *net.Listener
	}{{"callers'", s.Callers, &l.callers}, {"health", s.Health, &l.health}, {"peers'", s.Peers, &l.peers}} {
		listener, err := net.Listen("tcp", entry.address.String())
		if err != nil {
			l.close()
			return nil, errors.Wrapf(err, "%s listener", entry.name)
		}
		*entry.to = listener
	}
	var err error
	if l.datagrams, err = net.ListenPacket("udp4", s.Datagrams.String()); err != nil {
		l.close()
		return nil, errors.Wrap(err, "datagram socket")
	}
	return l, nil
}

func (l *gatewayListeners) close() {
	for _, listener := range []net.Listener{l.callers, l.health, l.peers} {
		if listener != nil {
			listener.Close()
		}
	}
	if l.datagrams != nil {
		l.datagrams.Close()
	}
}

// supervisionTree returns the supervisor of the components.
func (g *Gateway) supervisionTree() *supervisor.Supervisor {
	return &supervisor.Supervisor{Log: g.Log.Events, Children: append([]supervisor.Child{
		{Name: "log", Part: g.Log},
		{Name: "configuration", Part: g.config},
		{Name: "entries", Part: g.entries},
		{Name: "registrar", Part: g.registrar},
		{Name: "dispatcher", Part: g.dispatcher},
		{Name: "fleet", Part: g.fleet},
		{Name: "announcer", Part: g.announcer},
		{Name: "archivist", Part: g.archivist},
		{Name: "streams", Part: g.streams},
		{Name: "kept-parts", Part: g.keptParts},
		{Name: "datagrams", Part: g.datagrams},
		{Name: "role-lease", Part: g.roleLease},
		{Name: "assigner", Part: g.assigner},
		{Name: "memory", Part: g.memory},
	}, slices.Concat(g.duties.children(), g.capacity.children())...)}
}

// peerHandler serves calls from other daemons.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(messenger.Handler(syncProcedure, serveSync(g.config, g.entries, g.announcer.Follower())))
	return mux
}

// metricsPath is the path of the metrics on the health listener.
const metricsPath = "/metrics"

func (g *Gateway) serveHealth(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == metricsPath:
		g.metrics.Write(w)
	case r.URL.Path != g.Platform.ReadinessPath:
		w.WriteHeader(http.StatusNotFound)
	case g.draining.Load() || !g.fleet.Ready() || !g.activator.View().Current() || g.dispatcher.Stalled():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

const (
	// exitMargin is the part of the drain limit reserved for the exit of the process.
	exitMargin = 500 * time.Millisecond
	// answerMargin is the time for the answers of requests that are ended.
	answerMargin = 250 * time.Millisecond
)

// shutDown reports the gateway as not ready, keeps accepting requests until the load balancer has noticed
// and finishes all accepted requests within the drain limit.
func (g *Gateway) shutDown(callers *http.Server) {
	start := time.Now()
	g.Log.Events.Info().Int("requests", g.relayer.InFlight()).Msg("drain-started")
	g.draining.Store(true)
	limit := start.Add(g.Settings.Drain.Limit.Std() - exitMargin)
	end := limit.Add(-answerMargin)
	// Half of a short time is left to finish what has been accepted.
	notice := start.Add(min(g.Settings.Drain.Notice.Std(), end.Sub(start)/2))
	g.relayer.Drain(notice, end)
	go g.announcer.Deregister()
	time.Sleep(time.Until(notice))
	ending := time.AfterFunc(time.Until(end), g.relayer.End)
	defer ending.Stop()
	drainCtx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	if err := callers.Shutdown(drainCtx); err != nil {
		g.Log.Events.Error().Int("requests", g.relayer.InFlight()).Msg("drain-limit-passed")
		callers.Close()
		return
	}
	g.Log.Events.Info().Msg("drain-finished")
}
