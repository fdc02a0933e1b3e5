package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/director"
	"apricotspool/generator"
	"apricotspool/leaser"
	"apricotspool/namer"
	"apricotspool/storer"
)

// PlanReadInterval is the interval between reads of the plan. Each data centre has one reader, so 13
// data centres make 6.5 reads per second on the object API.
const PlanReadInterval = 2 * time.Second

// Lease returns the authority over a data centre's endpoints while this process holds its lease.
type Lease interface {
	Endpoints(d namer.DataCentre) (leaser.EndpointAuthority, bool)
}

// Director applies changes to endpoints; director.Director implements it.
type Director interface {
	Apply(ctx context.Context, authority leaser.EndpointAuthority, changes []director.Change) []director.Result
}

// PlanExecutor reads the plan of its data centre and passes it to the director while this process holds
// the data centre's lease. Set the exported fields before Run.
type PlanExecutor struct {
	Store      storer.Store
	Lease      Lease
	Director   Director
	DataCentre namer.DataCentre
	Log        zerolog.Logger

	planSeen bool           // owned by Run: the plan was read under the current lease
	version  storer.Version // owned by Run: newest version of the plan that was read
}

// Run applies new plans until ctx ends. It leaves changes in progress to the director.
func (e *PlanExecutor) Run(ctx context.Context) error {
	ticker := time.NewTicker(PlanReadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if err := e.poll(ctx); err != nil {
				e.Log.Debug().Err(err).Msg("plan-not-read")
			}
		}
	}
}

func (e *PlanExecutor) poll(ctx context.Context) error {
	authority, ok := e.Lease.Endpoints(e.DataCentre)
	if !ok {
		e.planSeen = false
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, PlanReadInterval)
	defer cancel()
	object, err := e.Store.Get(ctx, planKey(e.DataCentre))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return errors.Wrap(err, "read plan")
	}
	fresh := e.planSeen && object.Version > e.version
	e.planSeen, e.version = true, max(e.version, object.Version)
	if !fresh {
		// A plan written before this process acquired the lease may be outdated. The planner proposes again
		// the changes that it still wants.
		return nil
	}
	wanted, err := decodePlan(object.Value)
	if err != nil {
		return err
	}
	go e.apply(context.WithoutCancel(ctx), authority, wanted)
	return nil
}

// apply passes the plan to the director and returns when all changes have ended, which includes the
// draining of engines. The director limits concurrent changes and allows one per endpoint.
func (e *PlanExecutor) apply(ctx context.Context, authority leaser.EndpointAuthority, wanted plan) {
	changes := make([]director.Change, len(wanted.Roles))
	for i, r := range wanted.Roles {
		changes[i] = director.Change{Endpoint: r.Endpoint, Kind: generator.CommandRole, Role: r.Role}
	}
	for _, result := range e.Director.Apply(ctx, authority, changes) {
		e.Log.Info().Str("endpoint", string(result.Change.Endpoint)).Str("role", string(result.Change.Role)).
			Str("outcome", string(result.Outcome)).Msg("role-change-ended")
	}
}
