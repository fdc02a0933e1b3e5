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

// PlanInterval is the interval between runs of the planner, which averages demand over tens of seconds.
const PlanInterval = time.Second

// HousekeepingLease returns the authority to plan while this process holds the housekeeping lease.
type HousekeepingLease interface {
	Housekeeping() (leaser.HousekeepingAuthority, bool)
}

// Demand returns the decision core's view of the engines of each model.
type Demand func(ctx context.Context) ([]decider.EngineSet, error)

// Proposer runs the planners and writes their plans while this process holds the housekeeping lease.
// Set the exported fields before Run.
type Proposer struct {
	Store    storer.Store
	Lease    HousekeepingLease
	Demand   Demand
	Snapshot func() *configurer.Snapshot
	// Changing reports whether a planned change of an endpoint is in progress.
	Changing func(namer.Endpoint) bool
	Log      zerolog.Logger

	planners  map[modelKey]*planner.Planner // owned by Run
	startedAt time.Time                     // when this process started to plan
}

type modelKey struct {
	service namer.Service
	model   namer.Model
}

// Run plans every PlanInterval until ctx ends.
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
				// The state of a planner is invalid once another process may have planned.
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
		p.planners, p.startedAt = map[modelKey]*planner.Planner{}, now
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
		for _, change := range p.plannerFor(set).Plan(namer.SecondsOf(now.Sub(p.startedAt)), set.View) {
			dataCentre := snapshot.Document().Endpoints[change.Endpoint].DataCentre
			wanted[dataCentre] = append(wanted[dataCentre], roleChange{Endpoint: change.Endpoint, Role: change.To})
		}
	}
	for dataCentre, roles := range wanted {
		if err := p.writePlan(ctx, now, authority, dataCentre, roles); err != nil {
			return err
		}
	}
	return nil
}

func (p *Proposer) plannerFor(set decider.EngineSet) *planner.Planner {
	key := modelKey{set.Service, set.Model}
	if p.planners[key] == nil {
		p.planners[key] = &planner.Planner{}
	}
	return p.planners[key]
}

// writePlan replaces the plan of one data centre, unless a later lease holder has written it.
func (p *Proposer) writePlan(ctx context.Context, now time.Time, authority leaser.HousekeepingAuthority, dataCentre namer.DataCentre, roles []roleChange) error {
	ctx, end, err := authority.Begin(ctx)
	if err != nil {
		return errors.Wrapf(err, "write plan for data centre %q", dataCentre)
	}
	defer end()
	key := planKey(dataCentre)
	object, err := p.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return errors.Wrapf(err, "write plan for data centre %q", dataCentre)
	}
	if err == nil {
		previous, err := decodePlan(object.Value)
		if err == nil && previous.Fencing > authority.Fencing() {
			return errors.Wrapf(leaser.ErrNoAuthority, "plan for data centre %q was written by a newer lease holder", dataCentre)
		}
	}
	value, err := json.Marshal(plan{Planner: authority.Holder(), Fencing: authority.Fencing(), At: now, Roles: roles})
	if err != nil {
		return errors.Wrap(err, "encode plan")
	}
	if _, err := p.Store.Put(ctx, key, value, object.Version); err != nil {
		return errors.Wrapf(err, "write plan for data centre %q", dataCentre)
	}
	p.Log.Info().Str("data-centre", string(dataCentre)).Int("changes", len(roles)).Msg("role-changes-planned")
	return nil
}
