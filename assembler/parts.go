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

// leaveTimeout bounds the goodbye to the peers at the start of a drain.
const leaveTimeout = 2 * time.Second

// parts are the connected components of one daemon.
type parts struct {
	process     namer.Process
	metrics     *recorder.Metrics
	store       storer.Store
	distributor *distributor.Distributor
	gossiper    *gossiper.Gossiper
	core        *decider.Core // owned by the dispatcher's goroutine
	dispatcher  *dispatcher.Dispatcher
	lease       *leaser.Leaser // over the endpoints of the data centre
	director    *director.Director
	claimer     *claimer.Claimer
	engine      *generator.Client
	server      *server.Server

	callers, operators, peers http.Handler
	children                  []supervisor.Child
}

// build connects the components. It starts nothing.
func (d *Daemon) build(l *listeners, metrics *recorder.Metrics) (*parts, error) {
	p := &parts{
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
	client, err := peerClient(l.peerCertificates)
	if err != nil {
		return nil, errors.Wrap(err, "peers' client")
	}
	p.store = d.OpenStore(d.Settings.Platform.ObjectAPI, platformToken, countCalls(metrics))
	peers, mux := &messenger.Client{HTTP: client, Scheme: l.peerScheme()}, http.NewServeMux()
	d.connectPeers(p, peers, mux, platformToken)
	d.connectControl(p, peers, mux)
	p.peers = mux
	keys, err := loader.ReadSecrets(d.Settings.SigningKeyFiles)
	if err != nil {
		return nil, errors.Wrap(err, "signing keys")
	}
	d.connectTraffic(p, keys)
	admin := &administrator.Administrator{Token: operatorsToken, Configuration: p.distributor, Daemon: &status{daemon: d, parts: p}}
	p.operators = admin.Handler()
	p.callers = p.server.Handler()
	return p, nil
}

func countCalls(metrics *recorder.Metrics) func(string) {
	return func(kind string) {
		metrics.Counter(`apricotspool_object_api_calls_total{kind="` + kind + `"}`).Inc()
	}
}

// seed differs between daemons and between the starts of one daemon.
func (p *parts) seed() uint64 {
	return xxhash.Sum64String(string(p.process.Host)) ^ uint64(p.process.Incarnation)
}

// connectPeers builds membership and configuration, which need each other's view.
func (d *Daemon) connectPeers(p *parts, peers *messenger.Client, mux *http.ServeMux, platformToken string) {
	self := gossiper.Peer{Host: d.Settings.Host, DataCentre: d.Settings.DataCentre, Address: d.Settings.Peers.Address}
	seeds := otherSeeds(d.Settings)
	p.distributor = &distributor.Distributor{
		Self: self, Store: p.store, Transport: &distributor.Client{Messenger: peers},
		Seeds: seeds, Random: p.seed(), Metrics: p.metrics, Log: d.Log,
	}
	p.gossiper = &gossiper.Gossiper{
		Self: self, Incarnation: p.process.Incarnation, Seeds: seeds, Transport: &gossiper.Client{Messenger: peers},
		Configuration: p.distributor, Poller: &poller{engine: p.engine, snapshot: p.distributor.Snapshot}, OnNewerConfig: p.distributor.Newer,
		Random: p.seed(), Metrics: p.metrics, Log: d.Log,
	}
	if d.Settings.Platform.HostList.IsValid() {
		p.gossiper.Hosts = &lister.Client{Address: d.Settings.Platform.HostList, Token: platformToken}
	}
	p.distributor.Members = p.gossiper
	handlers := p.distributor.Handlers()
	maps.Copy(handlers, p.gossiper.Handlers())
	for path, handler := range handlers {
		mux.Handle(path, handler)
	}
	p.children = append(p.children,
		supervisor.Child{Name: "distributor", Part: p.distributor},
		supervisor.Child{Name: "gossiper", Part: p.gossiper},
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

// connectTraffic builds the decision core's owner and the callers' API.
func (d *Daemon) connectTraffic(p *parts, keys [][]byte) {
	p.core = &decider.Core{Seed: p.seed()}
	p.dispatcher = &dispatcher.Dispatcher{Core: p.core, Retries: p.metrics}
	p.server = &server.Server{
		Log: d.Log, Metrics: p.metrics, Snapshot: p.distributor.Snapshot,
		Dispatcher: p.dispatcher, Engine: p.engine, Service: &forwarder.Client{}, Signer: &resumer.Signer{Keys: keys},
		Claimer: keyedCalls{claimer: p.claimer},
		Finder: &resumer.Resumer{Engine: p.engine, Endpoints: func(service namer.Service) []generator.Target {
			return server.Targets(p.distributor.Snapshot(), service)
		}},
		Leaver:   &resumer.Canceller{Engine: p.engine, Log: d.Log},
		Requests: d.Settings.Limits.Requests, BodyTimeout: d.Settings.Limits.BodyTimeout.Std(),
	}
	fleet := &fleetKeeper{dataCentre: d.Settings.DataCentre, distributor: p.distributor, gossiper: p.gossiper, dispatcher: p.dispatcher}
	p.children = append(p.children,
		supervisor.Child{Name: "dispatcher", Part: p.dispatcher},
		supervisor.Child{Name: "fleet", Part: fleet},
	)
}

// leave tells the peers that this daemon takes no more assignments.
func (p *parts) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	p.gossiper.Leave(ctx)
}
