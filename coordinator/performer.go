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

// Performer reads the plan of its data centre and passes it to the director while this process holds
// the data centre's lease. Set the exported fields before Run.
type Performer struct {
	Store      storer.Store
	Lease      Lease
	Director   Director
	DataCentre namer.DataCentre
	Log        zerolog.Logger

	planSeen bool           // owned by Run: the plan was read under the current lease
	version  storer.Version // owned by Run: newest version of the plan that was read
}

// Run applies new plans until ctx ends. It leaves changes in progress to the director.
func (p *Performer) Run(ctx context.Context) error {
	ticker := time.NewTicker(PlanReadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if err := p.poll(ctx); err != nil {
				p.Log.Debug().Err(err).Msg("plan-not-read")
			}
		}
	}
}

func (p *Performer) poll(ctx context.Context) error {
	authority, ok := p.Lease.Endpoints(p.DataCentre)
	if !ok {
		p.planSeen = false
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, PlanReadInterval)
	defer cancel()
	object, err := p.Store.Get(ctx, planKey(p.DataCentre))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return errors.Wrap(err, "read plan")
	}
	fresh := p.planSeen && object.Version > p.version
	p.planSeen, p.version = true, max(p.version, object.Version)
	if !fresh {
		// A plan written before this process acquired the lease may be outdated. The planner proposes again
		// the changes that it still wants.
		return nil
	}
	wanted, err := decodePlan(object.Value)
	if err != nil {
		return err
	}
	go p.apply(context.WithoutCancel(ctx), authority, wanted)
	return nil
}

// apply passes the plan to the director and returns when all changes have ended, which includes the
// draining of engines. The director limits concurrent changes and allows one per endpoint.
func (p *Performer) apply(ctx context.Context, authority leaser.EndpointAuthority, wanted plan) {
	changes := make([]director.Change, len(wanted.Roles))
	for i, r := range wanted.Roles {
		changes[i] = director.Change{Endpoint: r.Endpoint, Kind: generator.CommandRole, Role: r.Role}
	}
	for _, result := range p.Director.Apply(ctx, authority, changes) {
		p.Log.Info().Str("endpoint", string(result.Change.Endpoint)).Str("role", string(result.Change.Role)).
			Str("outcome", string(result.Outcome)).Msg("role-change-ended")
	}
}
