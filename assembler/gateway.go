package assembler

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotspool/activator"
	"apricotspool/announcer"
	"apricotspool/archivist"
	"apricotspool/asserter"
	"apricotspool/assigner"
	"apricotspool/dispatcher"
	"apricotspool/follower"
	"apricotspool/forwarder"
	"apricotspool/inspector"
	"apricotspool/leaser"
	"apricotspool/loader"
	"apricotspool/matcher"
	"apricotspool/messenger"
	"apricotspool/meterer"
	"apricotspool/namer"
	"apricotspool/placer"
	"apricotspool/provisioner"
	"apricotspool/recorder"
	"apricotspool/registrar"
	"apricotspool/relayer"
	"apricotspool/storer"
	"apricotspool/timekeeper"
)

// OpenStore returns a client of the object API that reports the kind of each call to calls.
type OpenStore func(address netip.AddrPort, token string, calls func(kind string)) storer.Store

// Platform describes the deployment that a gateway runs in: its object API, formats and protocol.
type Platform struct {
	OpenStore OpenStore
	// OpenStaleReader returns a reader with cheaper calls whose lists may be some seconds old.
	OpenStaleReader func(address netip.AddrPort, calls func(kind string)) storer.Reader
	// ConfigKey is the key of the newest configuration, ConfigPrefix the key prefix to follow.
	ConfigPrefix, ConfigKey string
	DecodeConfig            func(value []byte) (*matcher.Table, error)
	// EntryPrefix is the key prefix under which endpoints register themselves.
	EntryPrefix string
	DecodeEntry func(key string, value []byte) (registrar.Entry, error)
	Dialect     relayer.Dialect
	// NewCommander returns a sender of commands to engines.
	NewCommander func(endpoints forwarder.Service, target func(namer.Endpoint) (forwarder.Target, bool)) assigner.Commander
	// NewUsageReporter returns a client that reports metering windows.
	NewUsageReporter func(address netip.AddrPort, calls func(kind string)) meterer.Reporter
	// NewOrderer returns a sender of orders for engines that reports each call to onCall.
	NewOrderer func(address netip.AddrPort, onCall func(kind string)) provisioner.Orderer
	// EchoHeader is the header that endpoints copy from a request to its response.
	EchoHeader string
	// ReadinessPath is the path of the load balancer's readiness check.
	ReadinessPath string
}

// Gateway is one daemon that serves the platform's routes. Set the exported fields before Run.
type Gateway struct {
	Settings *loader.GatewaySettings
	Platform Platform
	Log      *recorder.AsyncLogger

	initOnce sync.Once
	done     chan struct{}

	metrics    *recorder.Metrics
	config     *follower.Follower
	activator  *activator.Activator
	entries    *follower.Follower
	registrar  *registrar.Registrar
	dispatcher *dispatcher.Dispatcher
	relayer    *relayer.Relayer
	memory     *inspector.Budget // of what is held for callers
	fleet      *gatewayFleet
	keptParts  *keptParts
	announcer  *announcer.Announcer
	archivist  *archivist.Archivist
	streams    *archivist.Streams
	datagrams  *messenger.Datagrams
	endpoints  forwarder.Service
	roleLease  *leaser.Leaser
	assigner   *assigner.Assigner
	duties     gatewayDuties
	capacity   gatewayCapacity
	draining   atomic.Bool
}

func (g *Gateway) init() { g.initOnce.Do(func() { g.done = make(chan struct{}) }) }

// Done closes when Run has returned.
func (g *Gateway) Done() <-chan struct{} {
	g.init()
	return g.done
}

// Reload accepts settings that were read again. Addresses, host and data centre stay as they are until
// the process ends.
func (g *Gateway) Reload(settings *loader.GatewaySettings) {
	g.Log.Events.Info().Int("seeds", len(settings.Seeds)).Msg("settings-read")
}

// connect builds the components. It starts nothing.
func (g *Gateway) connect(socket net.PacketConn) {
	g.metrics = recorder.NewMetrics()
	g.metrics.Gauge("apricotspool_requests_held", func() float64 { return float64(g.relayer.InFlight()) })
	g.metrics.Gauge("apricotspool_log_lines_dropped", func() float64 { return float64(g.Log.Dropped()) })
	g.metrics.Gauge("apricotspool_configuration_age_seconds", func() float64 { return g.config.Age().Seconds() })
	g.metrics.Gauge("apricotspool_entries_age_seconds", func() float64 { return g.entries.Age().Seconds() })
	g.metrics.Gauge("apricotspool_decisions_stalled", func() float64 {
		if g.dispatcher.Stalled() {
			return 1
		}
		return 0
	})
	store := g.Platform.OpenStore(g.Settings.ObjectAPI, "", objectAPICallCounter(g.metrics))
	g.announcer = &announcer.Announcer{
		Store: store, Reader: g.Platform.OpenStaleReader(g.Settings.ObjectAPI, objectAPICallCounter(g.metrics)), Log: g.Log.Events,
		Self: announcer.Member{
			Host: g.Settings.Host, DataCentre: g.Settings.DataCentre, PeerAddress: g.Settings.Peers, DatagramAddress: g.Settings.Datagrams,
		},
	}
	readers := &readerSelector{self: g.announcer.Self, seeds: g.Settings.Seeds, announcer: g.announcer, client: g.peerClient()}
	g.announcer.Readers = readers
	g.config = &follower.Follower{Source: store, Prefix: g.Platform.ConfigPrefix, StalenessBound: g.Settings.StalenessBounds.Configuration.Std(), Readers: readers, Clock: timekeeper.Now, Log: g.Log.Events}
	g.connectKeys()
	g.entries = &follower.Follower{Source: store, Prefix: g.Platform.EntryPrefix, StalenessBound: g.Settings.StalenessBounds.Endpoints.Std(), MaxValueBytes: follower.MaxEntryBytes, Readers: readers, Clock: timekeeper.Now, Log: g.Log.Events}
	g.registrar = &registrar.Registrar{Source: g.entries, Decode: g.Platform.DecodeEntry, OnRefused: g.metrics.Counter("apricotspool_entries_refused_total").Inc, Log: g.Log.Events}
	seed := xxhash.Sum64String(string(g.Settings.Host)) ^ uint64(time.Now().UnixNano())
	core := &placer.Core{Self: g.Settings.Host, DataCentre: g.Settings.DataCentre, Seed: seed, Retries: placer.Retries{
		Ratio: g.Settings.Retries.Ratio, Slack: g.Settings.Retries.Slack, Window: g.Settings.Retries.Window.Std(),
	}}
	g.datagrams = &messenger.Datagrams{Socket: socket, Log: g.Log.Events}
	peers := &corePeers{self: g.Settings.Host, announcer: g.announcer, datagrams: g.datagrams}
	g.dispatcher = &dispatcher.Dispatcher{Core: core, Retries: g.metrics, Peers: peers, Log: g.Log.Events}
	g.fleet = &gatewayFleet{
		settings: g.Settings, config: g.config, activator: g.activator, entries: g.entries, registrar: g.registrar, announcer: g.announcer,
		dispatcher: g.dispatcher, core: core, log: g.Log.Events,
	}
	g.datagrams.Receive = peers.receiver(core, g.dispatcher, g.fleet.Confirmation)
	g.connectArchivist(core)
	g.keptParts = &keptParts{core, g.fleet}
	g.endpoints = g.newEndpointsClient()
	g.relayer = &relayer.Relayer{
		Table: g.activator.Table, Keys: g.activator.View, Target: g.fleet.Target, Dialect: g.Platform.Dialect, Dispatcher: g.dispatcher,
		Endpoints: g.endpoints, Metrics: g.metrics, Log: g.Log.Requests, Confirmation: g.fleet.Confirmation,
	}
	g.connectRoles(core)
	g.connectDuties(peers)
	g.connectCapacity(core, g.duties.lease)
	g.memory = g.callersBudget()
}

// peerClient returns the client for calls to other daemons, without TLS.
func (g *Gateway) peerClient() *messenger.Client {
	client, err := newPeerHTTPClient(nil)
	asserter.Check(err == nil, "a peer client without TLS reads no files", "%v", err)
	return &messenger.Client{HTTP: client, Scheme: "http"}
}
