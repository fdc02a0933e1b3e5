package director

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"apricotspool/generator"
	"apricotspool/namer"
)

// provenDead reports whether a process is known to have ended because a newer instance holds its
// peer address. An unreachable address proves nothing.
func (d *Director) provenDead(ctx context.Context, p namer.Process) bool {
	if d.Process.Replaces(p) {
		return true
	}
	now, err := d.Instances.Instance(ctx, p.Address)
	return err == nil && now.Replaces(p)
}

// trackBinding records that an endpoint may be bound to this process.
func (d *Director) trackBinding(e Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bound[e.Name] = e
}

// releaseBindings releases the bindings of endpoints without a change in progress in this process.
// It needs no authority, because it only reads the state of engines.
func (d *Director) releaseBindings(ctx context.Context) {
	d.mu.Lock()
	bound := slices.Collect(maps.Values(d.bound))
	d.mu.Unlock()
	for _, e := range bound {
		if !d.reserve(e.Name) {
			continue
		}
		err := d.tryRelease(ctx, e)
		d.mu.Lock()
		if err == nil {
			delete(d.bound, e.Name)
		}
		d.unreserve(e.Name)
		d.mu.Unlock()
		if err != nil {
			d.Log.Debug().Err(err).Str("endpoint", string(e.Name)).Msg("binding-not-released")
		}
	}
}

// releaseOnShutdown retries the release until no binding is left or releaseTimeout has passed.
func (d *Director) releaseOnShutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for {
		d.releaseBindings(ctx)
		d.mu.Lock()
		remaining := len(d.bound)
		d.mu.Unlock()
		if remaining == 0 {
			return
		}
		select {
		case <-ctx.Done():
			d.Log.Warn().Int("bindings", remaining).Msg("bindings-not-released")
			return
		case <-time.After(enginePollInterval):
		}
	}
}

// reserve keeps workers from starting on an endpoint. It returns false while one is active.
func (d *Director) reserve(e namer.Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, busy := d.active[e]; busy {
		return false
	}
	d.active[e] = 0
	return true
}

// tryRelease clears a binding to this process if none of its commands is outstanding. Every call of
// Command has returned, so a command is no longer outstanding once the engine reports it or has
// passed the barrier.
func (d *Director) tryRelease(ctx context.Context, e Endpoint) error {
	records := recordStore{store: d.Store, key: recordKey(e.Name)}
	if err := records.load(ctx); err != nil {
		return err
	}
	next := records.current
	if next.Bound != d.Process {
		return nil
	}
	if next.Command != nil {
		state, err := d.Engine.State(ctx, e.target())
		if err != nil {
			return errors.Wrapf(err, "get state of endpoint %q", e.Name)
		}
		if next.confirmedBy(state) {
			next.confirmIntent()
		} else {
			if err := records.passBarrier(ctx, state); err != nil {
				return err
			}
			next.discardIntent()
		}
	}
	next.Bound = namer.Process{}
	return records.save(ctx, next)
}

// passBarrier returns nil once the unconfirmed command can no longer reach the engine. The caller
// must know that the bound process sends nothing any more. The first call sets the barrier.
func (s *recordStore) passBarrier(ctx context.Context, state generator.EngineState) error {
	barrier, id := s.current.Barrier, s.current.Command.ID
	if barrier != 0 && state.Incarnation > barrier {
		return nil
	}
	if barrier == 0 {
		next := s.current
		next.Barrier = state.Incarnation
		if err := s.save(ctx, next); err != nil {
			return err
		}
	}
	return errors.Wrapf(errBoundElsewhere, "command %q may still reach engine incarnation %d", id, state.Incarnation)
}

// ReleaseBinding clears a binding at an operator's request, for a bound process that has ended
// without a proof of its death. By naming the process the operator confirms that it has been
// stopped. If it is alive, a command that it sends late may conflict with others.
func (d *Director) ReleaseBinding(ctx context.Context, endpoint namer.Endpoint, stopped namer.Process) error {
	records := recordStore{store: d.Store, key: recordKey(endpoint)}
	if err := records.load(ctx); err != nil {
		return err
	}
	if records.current.Bound != stopped || stopped.IsZero() {
		return errors.Errorf("endpoint %q is bound to process %s, not to %s", endpoint, records.current.Bound, stopped)
	}
	next := records.current
	next.discardIntent()
	next.Bound = namer.Process{}
	d.Log.Warn().Str("endpoint", string(endpoint)).Stringer("process", stopped).Msg("binding-released-by-operator")
	return records.save(ctx, next)
}
