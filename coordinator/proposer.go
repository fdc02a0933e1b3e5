package coordinator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/configurer"
	"apricotspool/decider"
	"apricotspool/leaser"
	"apricotspool/namer"
	"apricotspool/planner"
	"apricotspool/storer"
)

// PlanInterval is the time between two runs of the planner, which smooths over tens of seconds.
const PlanInterval = time.Second

// Housekeeper gives the authority to plan while this process holds the housekeeping lease.
type Housekeeper interface {
	Housekeeping() (leaser.HousekeepingAuthority, bool)
}

// Demand gives the decision core's view of the engines of each model.
type Demand func(ctx context.Context) ([]decider.EngineSet, error)

// Proposer runs the planner while this process holds the housekeeping lease. Set the exported fields
// before Run.
type Proposer struct {
	Store    storer.Store
	Lease    Housekeeper
	Demand   Demand
	Snapshot func() *configurer.Snapshot
	// Changing reports whether a planned change of an endpoint is in progress.
	Changing func(namer.Endpoint) bool
	Log      zerolog.Logger

	planners map[modelOf]*planner.Planner // owned by Run
	since    time.Time                    // when this process began to plan
}

type modelOf struct {
	service namer.Service
	model   namer.Model
}

// Run plans until ctx ends.
func (p *Proposer) Run(ctx context.Context) error {
	ticker := time.NewTicker(PlanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			authority, ok := p.Lease.Housekeeping()
			if !ok {
				// What a planner has learned is void when another process has planned meanwhile.
				p.planners = nil
				continue
			}
			if err := p.plan(ctx, now, authority); err != nil {
				p.Log.Warn().Err(err).Msg("plan-failed")
			}
		}
	}
}

func (p *Proposer) plan(ctx context.Context, now time.Time, authority leaser.HousekeepingAuthority) error {
	if p.planners == nil {
		p.planners, p.since = map[modelOf]*planner.Planner{}, now
	}
	snapshot := p.Snapshot()
	if snapshot == nil {
		return nil
	}
	sets, err := p.Demand(ctx)
	if err != nil {
		return errors.Wrap(err, "read demand")
	}
	wanted := map[namer.DataCentre][]roleChange{}
	for _, set := range sets {
		for i := range set.View.Engines {
			set.View.Engines[i].Changing = p.Changing(set.View.Engines[i].Name)
		}
		for _, change := range p.planner(set).Plan(namer.SecondsOf(now.Sub(p.since)), set.View) {
			at := snapshot.Document().Endpoints[change.Endpoint].DataCentre
			wanted[at] = append(wanted[at], roleChange{Endpoint: change.Endpoint, Role: change.To})
		}
	}
	for at, roles := range wanted {
		if err := p.write(ctx, now, authority, at, roles); err != nil {
			return err
		}
	}
	return nil
}

func (p *Proposer) planner(set decider.EngineSet) *planner.Planner {
	key := modelOf{set.Service, set.Model}
	if p.planners[key] == nil {
		p.planners[key] = &planner.Planner{}
	}
	return p.planners[key]
}

// write replaces the plan of one data centre.
func (p *Proposer) write(ctx context.Context, now time.Time, authority leaser.HousekeepingAuthority, at namer.DataCentre, roles []roleChange) error {
	ctx, end, err := authority.Begin(ctx)
	if err != nil {
		return errors.Wrapf(err, "plan for data centre %q", at)
	}
	defer end()
	key := planKey(at)
	object, err := p.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return errors.Wrapf(err, "plan for data centre %q", at)
	}
	if err == nil {
		former, err := decodePlan(object.Value)
		if err == nil && former.Fencing > authority.Fencing() {
			return errors.Wrapf(leaser.ErrNoAuthority, "a later planner has written the plan for data centre %q", at)
		}
	}
	value, err := json.Marshal(plan{Planner: authority.Holder(), Fencing: authority.Fencing(), At: now, Roles: roles})
	if err != nil {
		return errors.Wrap(err, "encode plan")
	}
	if _, err := p.Store.Put(ctx, key, value, object.Version); err != nil {
		return errors.Wrapf(err, "plan for data centre %q", at)
	}
	p.Log.Info().Str("data-centre", string(at)).Int("changes", len(roles)).Msg("role-changes-planned")
	return nil
}
