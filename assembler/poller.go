package assembler

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"apricotspool/configurer"
	"apricotspool/generator"
	"apricotspool/gossiper"
	"apricotspool/namer"
)

// poller asks engines for their load on behalf of the membership.
type poller struct {
	engine   generator.Engine
	snapshot func() *configurer.Snapshot
}

// Poll asks one endpoint. A plain service has no load report; the core learns its load from the
// requests that it answers. An engine that lacks a model that it should have gets no new work until
// the model is loaded.
func (p *poller) Poll(ctx context.Context, d gossiper.PollTarget) (gossiper.Load, error) {
	if !d.Engine {
		return gossiper.Load{}, errors.Errorf("endpoint %q is a plain service and reports no load", d.Endpoint)
	}
	report, err := p.engine.Load(ctx, generator.Target{Endpoint: d.Endpoint, Address: d.Address})
	if err != nil {
		return gossiper.Load{}, err
	}
	if snapshot := p.snapshot(); snapshot != nil && !hasAll(report.Models, snapshot.Document().Endpoints[d.Endpoint].Models) {
		report.Leaving = true
	}
	return gossiper.LoadOf(report, time.Now()), nil
}

// hasAll reports whether an engine has all models that it should have. An engine that lists none
// doesn't tell.
func hasAll(loaded, wanted []namer.Model) bool {
	if len(loaded) == 0 {
		return true
	}
	return !slices.ContainsFunc(wanted, func(m namer.Model) bool { return !slices.Contains(loaded, m) })
}
