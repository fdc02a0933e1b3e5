package director

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"apricotspool/asserter"
	"apricotspool/generator"
	"apricotspool/leaser"
	"apricotspool/namer"
)

// worker drives the change of one endpoint to its end. It has exclusive use of the endpoint within
// this process: the director runs at most one worker per endpoint.
type worker struct {
	director       *Director
	endpoint       Endpoint
	authority      leaser.EndpointAuthority
	records        recordStore
	want           *Change // change to start; nil continues the change in the record
	waitForBinding bool    // wait for another process's binding instead of returning Held
	startedAt      time.Time
	notifiedAt     time.Time // when the routers were sent the changing notice; zero before
	changeStored   bool      // the stored record contained the change
	finalOutcome   Outcome   // set before the write that ends the change, whose response may be lost
}

// errBoundElsewhere means that the endpoint is bound to another process, which may be alive.
var errBoundElsewhere = errors.New("endpoint is bound to another process")

// run executes steps until the change or the authority has ended or the daemon stops.
func (w *worker) run(ctx context.Context) Outcome {
	w.startedAt = time.Now()
	defer w.clearNotice()
	for {
		outcome, err := w.step(ctx)
		pause := enginePollInterval
		switch {
		case outcome != "":
			return outcome
		case errors.Is(err, leaser.ErrNoAuthority), errors.Is(err, generator.ErrFenced):
			return NoAuthority
		case errors.Is(err, errBoundElsewhere) && !w.waitForBinding:
			return Held
		case errors.Is(err, errBoundElsewhere):
			pause = bindingPollInterval
			w.records.loaded = false // the bound process may release the binding at any time
		case err != nil:
			w.director.Log.Debug().Err(err).Str("endpoint", string(w.endpoint.Name)).Msg("change-delayed")
		}
		select {
		case <-ctx.Done():
			return Unsettled
		case <-w.director.stopping:
			return Unsettled
		case <-time.After(pause):
		}
	}
}

// clearNotice clears the changing notice, whatever the outcome. A successor sets its own before it sends a command.
func (w *worker) clearNotice() {
	if !w.notifiedAt.IsZero() {
		w.director.Notifier.SetChanging(w.endpoint.Name, w.authority.Fencing(), false)
	}
}

// step reads the record and the engine's state, clears a confirmed intent and takes the next action.
func (w *worker) step(ctx context.Context) (Outcome, error) {
	ctx, end, err := w.authority.Begin(ctx)
	if err != nil {
		return "", err
	}
	defer end()
	if err := w.records.load(ctx); err != nil {
		return "", err
	}
	if w.records.current.Fencing > w.authority.Fencing() {
		return "", errors.Wrap(leaser.ErrNoAuthority, "record was written by a newer lease holder")
	}
	switch open := w.records.current.Change; {
	case open == nil && (w.changeStored || w.want == nil):
		return cmp.Or(w.finalOutcome, Unsettled), nil
	case open != nil && w.want != nil && *open != *w.want:
		return Busy, nil
	case open != nil:
		w.changeStored = true
	}
	state, err := w.director.Engine.State(ctx, w.endpoint.target())
	if err != nil {
		return "", errors.Wrapf(err, "get state of endpoint %q", w.endpoint.Name)
	}
	next, err := w.takeOver(ctx, state)
	if err != nil {
		return "", err
	}
	w.notify()
	if next.Command != nil {
		return "", w.resend(ctx, next, state)
	}
	return w.advance(ctx, next, state)
}

// takeOver returns the record as this process would continue it: written under its authority, bound
// to it if the engine ignores fencing tokens, and without a confirmed intent.
func (w *worker) takeOver(ctx context.Context, state generator.EngineState) (record, error) {
	next := w.records.current
	confirmed := next.confirmedBy(state)
	if !w.endpoint.Fencing && !next.Bound.IsZero() && next.Bound != w.authority.Holder() {
		if !w.director.provenDead(ctx, next.Bound) {
			return next, errors.Wrapf(errBoundElsewhere, "endpoint %q, bound process %s", w.endpoint.Name, next.Bound)
		}
		// A dead process sends nothing new, but its last command may be buffered for this engine incarnation.
		if next.Command != nil && !confirmed {
			if err := w.records.passBarrier(ctx, state); err != nil {
				return next, err
			}
			next.discardIntent()
		}
		next.Bound = namer.Process{}
	}
	if confirmed {
		next.confirmIntent()
	}
	if !w.endpoint.Fencing {
		next.Bound = w.authority.Holder()
		w.director.trackBinding(w.endpoint)
	}
	next.Writer, next.Fencing = w.authority.Holder(), w.authority.Fencing()
	if next.Change == nil {
		next.Change, next.Phase = w.want, phaseDrain
		next.KeepDrained = state.Draining && w.want.Kind != generator.CommandResume
	}
	return next, nil
}

// notify sends the changing notice to the routers of the data centre, once.
func (w *worker) notify() {
	if w.notifiedAt.IsZero() {
		w.director.Notifier.SetChanging(w.endpoint.Name, w.authority.Fencing(), true)
		w.notifiedAt = time.Now()
	}
}

// quiesced reports whether a disruptive command would abort no request: the engine executes none and
// gets no new ones, because it refuses them or at least the routers have stopped sending them.
func (w *worker) quiesced(state generator.EngineState) bool {
	return state.Running == 0 && time.Since(w.notifiedAt) >= NoticePropagationDelay
}

// resend sends the unconfirmed command again after recording that this process continues it.
func (w *worker) resend(ctx context.Context, next record, state generator.EngineState) error {
	if state.Changing || (next.Change.disrupts(state) && next.Phase == phaseChange && !w.quiesced(state)) {
		return nil
	}
	// Only the fencing token changes: an engine that checks it would refuse the predecessor's.
	command := *next.Command
	command.Fencing = next.Fencing
	next.Command, next.Barrier = &command, 0
	if !sameRecord(next, w.records.current) {
		if err := w.records.save(ctx, next); err != nil {
			return err
		}
	}
	return w.send(ctx)
}

// sameRecord reports whether two records agree in everything that other processes must know.
func sameRecord(a, b record) bool {
	return a.Writer == b.Writer && a.Fencing == b.Fencing && a.Bound == b.Bound && a.Sequence == b.Sequence && a.Barrier == b.Barrier &&
		a.Command != nil && b.Command != nil && *a.Command == *b.Command
}

// advance takes the next action when no command is unconfirmed.
func (w *worker) advance(ctx context.Context, next record, state generator.EngineState) (Outcome, error) {
	change := *next.Change
	switch {
	case state.Changing:
		return "", nil
	case next.Phase == phaseDrain && time.Since(w.startedAt) > w.director.drainLimit():
		next.Phase = phaseUndo
	case next.Phase == phaseDrain && change.Kind == generator.CommandRole && change.satisfiedBy(state):
		next.Phase = phaseResume
	case next.Phase == phaseResume && !change.satisfiedBy(state):
		next.Phase = phaseDrain // the engine lost the change in a restart or ignored the command
		if next.Attempts >= maxAttempts {
			next.Phase = phaseUndo
		}
	}
	switch next.Phase {
	case phaseDrain:
		if change.disrupts(state) && !state.Draining {
			return "", w.issue(ctx, next, generator.Command{Kind: generator.CommandDrain})
		}
		if change.disrupts(state) && !w.quiesced(state) {
			return "", nil
		}
		next.Phase = phaseChange
		next.Attempts++
		return "", w.issue(ctx, next, change.command())
	case phaseResume, phaseUndo:
		if state.Draining && !next.KeepDrained && (change.Kind != generator.CommandDrain || next.Phase == phaseUndo) {
			return "", w.issue(ctx, next, generator.Command{Kind: generator.CommandResume})
		}
	}
	w.finalOutcome = Done
	if next.Phase == phaseUndo {
		w.finalOutcome = Undone
	}
	next.Change, next.Phase, next.Attempts, next.KeepDrained = nil, "", 0, false
	if err := w.records.save(ctx, next); err != nil {
		return "", err
	}
	return w.finalOutcome, nil
}

// issue stores the command as the intent and then sends it.
func (w *worker) issue(ctx context.Context, next record, c generator.Command) error {
	next.setIntent(c, w.authority.Fencing())
	if err := w.records.save(ctx, next); err != nil {
		return err
	}
	return w.send(ctx)
}

// send is the only place where a command leaves the process. The stored record contains the command,
// and the deadline of the call is before the end of the lease.
func (w *worker) send(ctx context.Context) error {
	r := w.records.current
	asserter.Check(w.records.loaded && r.Command != nil && r.Writer == w.authority.Holder() && (w.endpoint.Fencing || r.Bound == r.Writer),
		"a command is sent only by the process that wrote the stored record and, without fencing, is bound to the endpoint", "endpoint %q, record %+v", w.endpoint.Name, r)
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := w.authority.Check(); err != nil {
		return err
	}
	err := w.director.Engine.Command(ctx, w.endpoint.target(), *r.Command)
	if errors.Is(err, generator.ErrRejected) {
		return w.undoRejected(ctx, r, err)
	}
	return errors.Wrapf(err, "send command %q to endpoint %q", r.Command.ID, w.endpoint.Name)
}

// undoRejected abandons a change whose command the engine rejected permanently.
func (w *worker) undoRejected(ctx context.Context, next record, cause error) error {
	w.director.Log.Warn().Err(cause).Str("endpoint", string(w.endpoint.Name)).Str("command", next.Command.ID).Msg("command-rejected")
	next.Command, next.Barrier, next.Phase = nil, 0, phaseUndo
	return w.records.save(ctx, next)
}
