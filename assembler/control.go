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

// maxLeaseCandidates is the number of live daemons of a data centre that compete for a lease. Only
// candidates read the lease object, so the load on the object API does not grow with the number of daemons.
const maxLeaseCandidates = 3

// weightLoadsPerSecond is the number of model loads per second that the weight store sustains for the whole fleet.
const weightLoadsPerSecond = 1

// connectControl builds the components that act under a lease: commands to endpoints, role planning and
// the removal of claims whose retention time has passed.
func (d *Daemon) connectControl(c *components, peers *messenger.Client, mux *http.ServeMux) {
	dataCentreLease := d.lease(c, leaser.ForDataCentre(d.Settings.DataCentre))
	c.lease = dataCentreLease
	housekeepingLease := d.lease(c, leaser.Housekeeping)
	c.director = &director.Director{
		Store: c.store, Engine: c.engine, Lease: dataCentreLease, Instances: director.PeerInstanceLookup{Client: peers}, Notifier: c.gossiper,
		Budget: &fetcher.Budget{LoadsPerSecond: weightLoadsPerSecond}, Process: c.process,
		DataCentre: d.Settings.DataCentre, Endpoints: func() []director.Endpoint { return modelEngines(c.distributor.Snapshot(), d.Settings.DataCentre) }, Log: d.Log,
	}
	c.claimer = &claimer.Claimer{Store: c.store, Process: c.process, HolderClient: claimer.PeerClient{Client: peers}, Log: d.Log}
	mux.Handle(director.InstanceHandler(c.process))
	mux.Handle(c.claimer.Handler())
	proposer := &coordinator.Proposer{
		Store: c.store, Lease: housekeepingLease, Demand: c.engineSets, Snapshot: c.distributor.Snapshot,
		Changing: func(name namer.Endpoint) bool { return c.gossiper.View().Changing(name) }, Log: d.Log,
	}
	planExecutor := &coordinator.PlanExecutor{Store: c.store, Lease: dataCentreLease, Director: c.director, DataCentre: d.Settings.DataCentre, Log: d.Log}
	reconciler := &coordinator.Reconciler{
		Lease: dataCentreLease, Director: c.director, Engine: c.engine, Snapshot: c.distributor.Snapshot, DataCentre: d.Settings.DataCentre, Log: d.Log,
	}
	// The lease holder releases its endpoint bindings before the lease, so the director stops before the leaser: see orderedStop.
	c.children = append(c.children,
		supervisor.Child{Name: "claimer", Part: c.claimer},
		supervisor.Child{Name: "claim-cleaner", Part: &claimer.Cleaner{Store: c.store, Lease: housekeepingLease, Log: d.Log}},
		supervisor.Child{Name: "proposer", Part: proposer},
		supervisor.Child{Name: "performer", Part: planExecutor},
		supervisor.Child{Name: "reconciler", Part: reconciler},
		supervisor.Child{Name: "director", Part: orderedStop{firstStopped: c.director, lastStopped: dataCentreLease}},
		supervisor.Child{Name: "housekeeping-lease", Part: housekeepingLease},
	)
}

func (d *Daemon) lease(c *components, name leaser.Name) *leaser.Leaser {
	return &leaser.Leaser{
		Store: c.store, Name: name, Process: c.process, Log: d.Log,
		Eligible: func() bool { return c.gossiper.View().Chosen(string(name), maxLeaseCandidates) },
	}
}

// orderedStop runs two components and stops lastStopped only after firstStopped has returned.
type orderedStop struct{ firstStopped, lastStopped supervisor.Part }

// Run returns when both components have returned.
func (s orderedStop) Run(ctx context.Context) error {
	lastCtx, stopLast := context.WithCancel(context.WithoutCancel(ctx))
	lastDone := make(chan error, 1)
	go func() { lastDone <- s.lastStopped.Run(lastCtx) }()
	err := s.firstStopped.Run(ctx)
	stopLast()
	<-lastDone
	return err
}

// engineSets returns the engine sets and their demand, as computed by the decision core.
func (c *components) engineSets(ctx context.Context) ([]decider.EngineSet, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var sets []decider.EngineSet
	err := c.dispatcher.Query(ctx, func(now time.Time) { sets = c.core.EngineSets(now) })
	return sets, err
}

// modelEngines lists the model engines of a data centre.
func modelEngines(snapshot *configurer.Snapshot, at namer.DataCentre) []director.Endpoint {
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
