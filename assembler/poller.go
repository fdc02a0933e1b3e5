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

// poller fetches the load reports of engines for the gossiper.
type poller struct {
	engine   generator.Engine
	snapshot func() *configurer.Snapshot
}

// Poll fetches the load report of one endpoint. Plain services report no load; the core infers it from
// the requests that they serve. An engine that lacks a configured model is reported as leaving, so that
// it gets no new work until the model is loaded.
func (p *poller) Poll(ctx context.Context, target gossiper.PollTarget) (gossiper.Load, error) {
	if !target.Engine {
		return gossiper.Load{}, errors.Errorf("endpoint %q is a plain service and reports no load", target.Endpoint)
	}
	report, err := p.engine.Load(ctx, generator.Target{Endpoint: target.Endpoint, Address: target.Address})
	if err != nil {
		return gossiper.Load{}, err
	}
	if snapshot := p.snapshot(); snapshot != nil && !hasAllModels(report.Models, snapshot.Document().Endpoints[target.Endpoint].Models) {
		report.Leaving = true
	}
	return gossiper.LoadOf(report, time.Now()), nil
}

// hasAllModels reports whether an engine has loaded all required models. An engine that lists no models
// does not report them and is assumed to have all.
func hasAllModels(loaded, required []namer.Model) bool {
	if len(loaded) == 0 {
		return true
	}
	return !slices.ContainsFunc(required, func(m namer.Model) bool { return !slices.Contains(loaded, m) })
}
