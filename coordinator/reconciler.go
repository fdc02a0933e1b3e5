package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/configurer"
	"apricotspool/director"
	"apricotspool/generator"
	"apricotspool/leaser"
	"apricotspool/namer"
)

// ReconcileInterval is the interval between comparisons of engines with the configuration. Loads take
// many seconds and are limited by the rate of the weight store.
const ReconcileInterval = 5 * time.Second

// StateReader reads the state of an engine.
type StateReader interface {
	State(ctx context.Context, to generator.Target) (generator.EngineState, error)
}

// Reconciler loads and unloads models until the engines of a data centre have those that the
// configuration lists, while this process holds the data centre's lease. Set the exported fields
// before Run.
type Reconciler struct {
	Lease      Lease
	Director   Director
	Engine     StateReader
	Snapshot   func() *configurer.Snapshot
	DataCentre namer.DataCentre
	Log        zerolog.Logger
}

// Run reconciles every ReconcileInterval until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	ticker := time.NewTicker(ReconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if authority, ok := r.Lease.Endpoints(r.DataCentre); ok {
				r.reconcile(ctx, authority)
			}
		}
	}
}

// reconcile starts at most one change per engine and waits for all of them. The director limits
// concurrent changes; the next run requests the deferred ones again.
func (r *Reconciler) reconcile(ctx context.Context, authority leaser.EndpointAuthority) {
	snapshot := r.Snapshot()
	if snapshot == nil {
		return
	}
	var changes []director.Change
	document := snapshot.Document()
	for _, name := range slices.Sorted(maps.Keys(document.Endpoints)) {
		e := document.Endpoints[name]
		if e.DataCentre != r.DataCentre || document.Services[e.Service].Kind != configurer.KindModel {
			continue
		}
		change, err := r.nextChange(ctx, name, e, document.Models)
		if err != nil {
			r.Log.Debug().Err(err).Str("endpoint", string(name)).Msg("engine-not-compared")
		}
		if change != nil {
			changes = append(changes, *change)
		}
	}
	for _, result := range r.Director.Apply(ctx, authority, changes) {
		r.Log.Info().Str("endpoint", string(result.Change.Endpoint)).Str("kind", string(result.Change.Kind)).
			Str("model", string(result.Change.Model)).Str("outcome", string(result.Outcome)).Msg("model-change-ended")
	}
}

// nextChange returns the next change of an engine, or nil if its models match the configuration. An
// engine that reports no models can't be compared and is left unchanged.
func (r *Reconciler) nextChange(ctx context.Context, name namer.Endpoint, e configurer.Endpoint, models map[namer.Model]configurer.Model) (*director.Change, error) {
	state, err := r.Engine.State(ctx, generator.Target{Endpoint: name, Address: e.Address})
	if err != nil {
		return nil, errors.Wrapf(err, "get state of endpoint %q", name)
	}
	if len(state.Models) == 0 || state.Changing {
		return nil, nil
	}
	for _, model := range e.Models {
		if !slices.Contains(state.Models, model) {
			return &director.Change{Endpoint: name, Kind: generator.CommandLoad, Model: model, Version: models[model].Version}, nil
		}
	}
	for _, model := range state.Models {
		if !slices.Contains(e.Models, model) {
			return &director.Change{Endpoint: name, Kind: generator.CommandUnload, Model: model}, nil
		}
	}
	return nil, nil
}
