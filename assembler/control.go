package assembler

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"apricotspool/claimer"
	"apricotspool/configurer"
	"apricotspool/coordinator"
	"apricotspool/decider"
	"apricotspool/director"
	"apricotspool/fetcher"
	"apricotspool/leaser"
	"apricotspool/messenger"
	"apricotspool/namer"
	"apricotspool/supervisor"
)

// candidates is the number of live daemons of a data centre that compete for a lease. Only they
// read it, so the load on the object API doesn't grow with the number of daemons.
const candidates = 3

// loadsPerSecond is the weight store's rate over the whole fleet.
const loadsPerSecond = 1

// connectControl builds what acts under a lease: commands to endpoints, role planning and the
// removal of old claims.
func (d *Daemon) connectControl(p *parts, peers *messenger.Client, mux *http.ServeMux) {
	here := d.lease(p, leaser.ForDataCentre(d.Settings.DataCentre))
	p.lease = here
	housekeeping := d.lease(p, leaser.Housekeeping)
	p.director = &director.Director{
		Store: p.store, Engine: p.engine, Lease: here, Instances: director.PeerInstanceLookup{Client: peers}, Notifier: p.gossiper,
		Budget: &fetcher.Budget{LoadsPerSecond: loadsPerSecond}, Process: p.process,
		DataCentre: d.Settings.DataCentre, Endpoints: func() []director.Endpoint { return enginesOf(p.distributor.Snapshot(), d.Settings.DataCentre) }, Log: d.Log,
	}
	p.claimer = &claimer.Claimer{Store: p.store, Process: p.process, HolderClient: claimer.PeerClient{Client: peers}, Log: d.Log}
	mux.Handle(director.InstanceHandler(p.process))
	mux.Handle(p.claimer.Handler())
	proposer := &coordinator.Proposer{
		Store: p.store, Lease: housekeeping, Demand: p.demand, Snapshot: p.distributor.Snapshot,
		Changing: func(name namer.Endpoint) bool { return p.gossiper.View().Changing(name) }, Log: d.Log,
	}
	executor := &coordinator.PlanExecutor{Store: p.store, Lease: here, Director: p.director, DataCentre: d.Settings.DataCentre, Log: d.Log}
	reconciler := &coordinator.Reconciler{
		Lease: here, Director: p.director, Engine: p.engine, Snapshot: p.distributor.Snapshot, DataCentre: d.Settings.DataCentre, Log: d.Log,
	}
	// A holder releases its bindings before its lease, so the director ends before the leaser: see sequence.
	p.children = append(p.children,
		supervisor.Child{Name: "claimer", Part: p.claimer},
		supervisor.Child{Name: "claim-cleaner", Part: &claimer.Cleaner{Store: p.store, Lease: housekeeping, Log: d.Log}},
		supervisor.Child{Name: "proposer", Part: proposer},
		supervisor.Child{Name: "performer", Part: executor},
		supervisor.Child{Name: "reconciler", Part: reconciler},
		supervisor.Child{Name: "director", Part: sequence{first: p.director, then: here}},
		supervisor.Child{Name: "housekeeping-lease", Part: housekeeping},
	)
}

func (d *Daemon) lease(p *parts, name leaser.Name) *leaser.Leaser {
	return &leaser.Leaser{
		Store: p.store, Name: name, Process: p.process, Log: d.Log,
		Eligible: func() bool { return p.gossiper.View().Chosen(string(name), candidates) },
	}
}

// sequence runs two parts and stops the first before the second.
type sequence struct{ first, then supervisor.Part }

// Run returns when both parts have returned.
func (s sequence) Run(ctx context.Context) error {
	outlives, stop := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- s.then.Run(outlives) }()
	err := s.first.Run(ctx)
	stop()
	<-ended
	return err
}

// demand reads the engines and their demand from the decision core.
func (p *parts) demand(ctx context.Context) ([]decider.EngineSet, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var sets []decider.EngineSet
	err := p.dispatcher.Query(ctx, func(now time.Time) { sets = p.core.EngineSets(now) })
	return sets, err
}

// enginesOf lists the model engines of a data centre.
func enginesOf(snapshot *configurer.Snapshot, at namer.DataCentre) []director.Endpoint {
	if snapshot == nil {
		return nil
	}
	document := snapshot.Document()
	var engines []director.Endpoint
	for _, name := range slices.Sorted(maps.Keys(document.Endpoints)) {
		e := document.Endpoints[name]
		if e.DataCentre == at && document.Services[e.Service].Kind == configurer.KindModel {
			engines = append(engines, director.Endpoint{Name: name, Address: e.Address, Fencing: e.Fencing})
		}
	}
	return engines
}
