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

// ReadInterval is the time between two looks at the plan. One reader for each data centre costs the
// object API less than one read a second for 13 data centres.
const ReadInterval = 2 * time.Second

// Lease gives the authority over a data centre's endpoints while this process holds its lease.
type Lease interface {
	Endpoints(d namer.DataCentre) (leaser.EndpointAuthority, bool)
}

// Director carries out changes; director.Director implements it.
type Director interface {
	Apply(ctx context.Context, authority leaser.EndpointAuthority, changes []director.Change) []director.Result
}

// Performer hands the plan of its data centre to the director while this process holds the data
// centre's lease. Set the exported fields before Run.
type Performer struct {
	Store      storer.Store
	Lease      Lease
	Director   Director
	DataCentre namer.DataCentre
	Log        zerolog.Logger

	held    bool           // owned by Run: the plan was read under the present lease
	version storer.Version // owned by Run: newest plan that was seen
}

// Run follows the plan until ctx ends. Changes in progress are left to the director.
func (p *Performer) Run(ctx context.Context) error {
	ticker := time.NewTicker(ReadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if err := p.follow(ctx); err != nil {
				p.Log.Debug().Err(err).Msg("plan-not-read")
			}
		}
	}
}

func (p *Performer) follow(ctx context.Context) error {
	authority, ok := p.Lease.Endpoints(p.DataCentre)
	if !ok {
		p.held = false
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, ReadInterval)
	defer cancel()
	object, err := p.Store.Get(ctx, planKey(p.DataCentre))
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return errors.Wrap(err, "read plan")
	}
	fresh := p.held && object.Version > p.version
	p.held, p.version = true, max(p.version, object.Version)
	if !fresh {
		// A plan from before this process got the lease may be old; the planner proposes again what it still wants.
		return nil
	}
	wanted, err := decodePlan(object.Value)
	if err != nil {
		return err
	}
	go p.perform(context.WithoutCancel(ctx), authority, wanted)
	return nil
}

// perform takes as long as the engines need to drain. The director bounds and serialises changes.
func (p *Performer) perform(ctx context.Context, authority leaser.EndpointAuthority, wanted plan) {
	changes := make([]director.Change, len(wanted.Roles))
	for i, r := range wanted.Roles {
		changes[i] = director.Change{Endpoint: r.Endpoint, Kind: generator.CommandRole, Role: r.Role}
	}
	for _, result := range p.Director.Apply(ctx, authority, changes) {
		p.Log.Info().Str("endpoint", string(result.Change.Endpoint)).Str("role", string(result.Change.Role)).
			Str("outcome", string(result.Outcome)).Msg("role-change-ended")
	}
}
