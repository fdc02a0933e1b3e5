package assembler

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"apricotspool/administrator"
	"apricotspool/claimer"
	"apricotspool/decider"
	"apricotspool/director"
	"apricotspool/dispatcher"
	"apricotspool/distributor"
	"apricotspool/forwarder"
	"apricotspool/generator"
	"apricotspool/gossiper"
	"apricotspool/leaser"
	"apricotspool/lister"
	"apricotspool/loader"
	"apricotspool/messenger"
	"apricotspool/namer"
	"apricotspool/recorder"
	"apricotspool/resumer"
	"apricotspool/server"
	"apricotspool/storer"
	"apricotspool/supervisor"
)

// leaveTimeout bounds the announcement to the peers, at the start of a drain, that this daemon leaves.
const leaveTimeout = 2 * time.Second

// components holds the connected components of one daemon.
type components struct {
	process     namer.Process
	metrics     *recorder.Metrics
	store       storer.Store
	distributor *distributor.Distributor
	gossiper    *gossiper.Gossiper
	core        *decider.Core // owned by the dispatcher's goroutine
	dispatcher  *dispatcher.Dispatcher
	lease       *leaser.Leaser // authority over the endpoints of the data centre
	director    *director.Director
	claimer     *claimer.Claimer
	engine      *generator.Client
	server      *server.Server

	callers, operators, peers http.Handler
	children                  []supervisor.Child
}

// build connects the components. It starts nothing.
func (d *Daemon) build(l *listeners, metrics *recorder.Metrics) (*components, error) {
	c := &components{
		metrics: metrics,
		process: namer.Process{Host: d.Settings.Host, Address: d.Settings.Peers.Address, Incarnation: namer.NewIncarnation(time.Now())},
		engine:  &generator.Client{},
	}
	platformToken, err := loader.ReadSecret(d.Settings.Platform.TokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "platform token")
	}
	operatorsToken, err := loader.ReadSecret(d.Settings.Operators.TokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "operators' token")
	}
	client, err := newPeerHTTPClient(l.peerCertificates)
	if err != nil {
		return nil, errors.Wrap(err, "peers' client")
	}
	c.store = d.OpenStore(d.Settings.Platform.ObjectAPI, platformToken, objectAPICallCounter(metrics))
	peers, mux := &messenger.Client{HTTP: client, Scheme: l.peerScheme()}, http.NewServeMux()
	d.connectPeers(c, peers, mux, platformToken)
	d.connectControl(c, peers, mux)
	c.peers = mux
	keys, err := loader.ReadSecrets(d.Settings.SigningKeyFiles)
	if err != nil {
		return nil, errors.Wrap(err, "signing keys")
	}
	d.connectTraffic(c, keys)
	admin := &administrator.Administrator{Token: operatorsToken, Configuration: c.distributor, Daemon: &adminAdapter{daemon: d, components: c}}
	c.operators = admin.Handler()
	c.callers = c.server.Handler()
	return c, nil
}

func objectAPICallCounter(metrics *recorder.Metrics) func(string) {
	return func(kind string) {
		metrics.Counter(`apricotspool_object_api_calls_total{kind="` + kind + `"}`).Inc()
	}
}

// randomSeed returns a seed for random choices that differs between daemons and between starts of one daemon.
func (c *components) randomSeed() uint64 {
	return xxhash.Sum64String(string(c.process.Host)) ^ uint64(c.process.Incarnation)
}

// connectPeers builds the membership and configuration components, which refer to each other.
func (d *Daemon) connectPeers(c *components, peers *messenger.Client, mux *http.ServeMux, platformToken string) {
	self := gossiper.Peer{Host: d.Settings.Host, DataCentre: d.Settings.DataCentre, Address: d.Settings.Peers.Address}
	seeds := otherSeeds(d.Settings)
	c.distributor = &distributor.Distributor{
		Self: self, Store: c.store, Transport: &distributor.Client{Messenger: peers},
		Seeds: seeds, Random: c.randomSeed(), Metrics: c.metrics, Log: d.Log,
	}
	c.gossiper = &gossiper.Gossiper{
		Self: self, Incarnation: c.process.Incarnation, Seeds: seeds, Transport: &gossiper.Client{Messenger: peers},
		Configuration: c.distributor, Poller: &poller{engine: c.engine, snapshot: c.distributor.Snapshot}, OnNewerConfig: c.distributor.NotifyNewerVersion,
		Random: c.randomSeed(), Metrics: c.metrics, Log: d.Log,
	}
	if d.Settings.Platform.HostList.IsValid() {
		c.gossiper.Hosts = &lister.Client{Address: d.Settings.Platform.HostList, Token: platformToken}
	}
	c.distributor.Members = c.gossiper
	handlers := c.distributor.Handlers()
	maps.Copy(handlers, c.gossiper.Handlers())
	for path, handler := range handlers {
		mux.Handle(path, handler)
	}
	c.children = append(c.children,
		supervisor.Child{Name: "distributor", Part: c.distributor},
		supervisor.Child{Name: "gossiper", Part: c.gossiper},
	)
}

// otherSeeds returns the seeds without the daemon's own address.
func otherSeeds(s *loader.Settings) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, seed := range s.Seeds {
		if seed != s.Peers.Address {
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

// connectTraffic builds the dispatcher, which owns the decision core, and the callers' API.
func (d *Daemon) connectTraffic(c *components, keys [][]byte) {
	c.core = &decider.Core{Seed: c.randomSeed()}
	c.dispatcher = &dispatcher.Dispatcher{Core: c.core, Retries: c.metrics, Log: d.Log}
	c.server = &server.Server{
		Log: d.Log, Metrics: c.metrics, Snapshot: c.distributor.Snapshot,
		Dispatcher: c.dispatcher, Engine: c.engine, Forwarder: &forwarder.Client{}, Signer: &resumer.Signer{Keys: keys},
		Claimer: keyedCalls{claimer: c.claimer},
		Finder: &resumer.Resumer{Engine: c.engine, Endpoints: func(service namer.Service) []generator.Target {
			return server.Targets(c.distributor.Snapshot(), service)
		}},
		Disconnects: &resumer.Canceller{Engine: c.engine, Log: d.Log},
		MaxRequests: d.Settings.Limits.Requests, BodyTimeout: d.Settings.Limits.BodyTimeout.Std(),
	}
	fleet := &fleetUpdater{dataCentre: d.Settings.DataCentre, distributor: c.distributor, gossiper: c.gossiper, dispatcher: c.dispatcher}
	c.children = append(c.children,
		supervisor.Child{Name: "dispatcher", Part: c.dispatcher},
		supervisor.Child{Name: "fleet", Part: fleet},
	)
}

// announceLeaving tells the peers that this daemon is leaving, so that it is assigned no more poll targets.
func (c *components) announceLeaving() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	c.gossiper.Leave(ctx)
}
