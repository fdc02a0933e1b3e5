// Package dispatcher runs the decision core of a daemon. One goroutine owns the core, passes events to it and
// delivers its actions to the goroutines that serve requests. Response data doesn't pass through it.
package dispatcher

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/asserter"
	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
)

// Limits of the dispatcher.
const (
	DefaultTick = 10 * time.Millisecond
	// idleTick is the tick interval without requests. At 100 ticks per second, an idle daemon used 0.25 % of a
	// CPU.
	idleTick      = 250 * time.Millisecond
	inboxCapacity = 1024
	// maxPendingActions is the capacity of a request's action channel. A request has a few attempts, each with
	// a dispatch and at most a cancellation.
	maxPendingActions = 16
)

// ErrStopped is returned after the dispatcher has stopped. The core has not received the request.
var ErrStopped = errors.New("dispatcher is stopped")

// Core makes the decisions. It is implemented by decider.Core and placer.Core.
type Core interface {
	Configure(now time.Time, fleet decider.Fleet)
	Arrive(now time.Time, r decider.Request) []decider.Action
	Observe(now time.Time, e decider.Event) []decider.Action
	Tick(now time.Time) []decider.Action
}

// RetryCounter counts retries by reason.
type RetryCounter interface {
	Retry(reason classifier.RetryReason)
}

// Peers sends messages to the cores of other daemons. It must not block.
type Peers interface {
	Send(to namer.Host, message any)
}

// Dispatcher runs a Core. Set the exported fields before Run.
type Dispatcher struct {
	Core    Core
	Retries RetryCounter
	Peers   Peers // required by cores that send messages
	Log     zerolog.Logger
	Tick    time.Duration // interval of Core.Tick; 0 means DefaultTick

	inbox   chan command
	done    chan struct{}
	once    sync.Once
	tickets map[namer.StreamID]*Ticket // owned by Run
	stall   stallDetector
}

// command is a command to the control goroutine. Exactly one field is set.
type command struct {
	arrive *Ticket
	event  *decider.Event
	fleet  *decider.Fleet
	query  func(now time.Time)
	act    func(now time.Time) []decider.Action
}

func (d *Dispatcher) init() {
	d.once.Do(func() {
		d.inbox = make(chan command, inboxCapacity)
		d.done = make(chan struct{})
	})
}

// Done returns a channel that is closed when the control goroutine has ended.
func (d *Dispatcher) Done() <-chan struct{} {
	d.init()
	return d.done
}

// Run runs the core until ctx ends. On return it closes the action channels of all requests. It must not be
// called again.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.init()
	d.tickets = map[namer.StreamID]*Ticket{}
	defer d.stop()
	period := d.Tick
	if period == 0 {
		period = DefaultTick
	}
	tick := time.NewTicker(period)
	defer tick.Stop()
	go d.watchStalls(ctx)
	wasIdle := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-d.inbox:
			d.stall.begin()
			d.handleCommand(c)
			d.stall.end()
		case now := <-tick.C:
			d.stall.begin()
			d.perform(d.Core.Tick(now))
			d.stall.end()
		}
		if idle := len(d.tickets) == 0; idle != wasIdle {
			wasIdle = idle
			tick.Reset(tickInterval(period, idle))
		}
	}
}

func tickInterval(period time.Duration, idle bool) time.Duration {
	if idle {
		return max(period, idleTick)
	}
	return period
}

func (d *Dispatcher) stop() {
	close(d.done)
	for _, t := range d.tickets {
		close(t.actions)
	}
}

func (d *Dispatcher) handleCommand(c command) {
	now := time.Now()
	switch {
	case c.fleet != nil:
		d.Core.Configure(now, *c.fleet)
	case c.arrive != nil:
		t := c.arrive
		asserter.Check(d.tickets[t.request.ID] == nil, "request IDs are unique", "%+v", t.request)
		d.tickets[t.request.ID] = t
		d.perform(d.Core.Arrive(now, t.request))
	case c.event != nil:
		d.observe(now, *c.event)
	case c.query != nil:
		c.query(now)
	case c.act != nil:
		d.perform(c.act(now))
	}
}

func (d *Dispatcher) observe(now time.Time, e decider.Event) {
	if e.Kind == decider.EventFinished || e.Kind == decider.EventCancelled {
		delete(d.tickets, e.Request)
	}
	d.perform(d.Core.Observe(now, e))
}

// perform delivers actions to the goroutines of the requests. It never blocks.
func (d *Dispatcher) perform(actions []decider.Action) {
	for _, a := range actions {
		if a.Kind == decider.ActionSend {
			d.Peers.Send(a.To, a.Message)
			continue
		}
		if a.Kind == decider.ActionReport {
			d.logReport(a)
			continue
		}
		t := d.tickets[a.Request]
		if t != nil && (a.Kind == decider.ActionProbe || a.Kind == decider.ActionAbandon || a.Kind == decider.ActionKeep) {
			t.decide(a)
			continue
		}
		if t == nil {
			// The request has ended; only a cancellation may still be pending.
			asserter.Check(a.Kind == decider.ActionCancel, "actions refer to known requests", "%+v", a)
			continue
		}
		if a.Kind == decider.ActionDispatch && a.Retry != "" && d.Retries != nil {
			d.Retries.Retry(a.Retry)
		}
		if a.Kind == decider.ActionRefuse {
			delete(d.tickets, a.Request)
		}
		select {
		case t.actions <- a:
		default:
			asserter.Check(false, "a request has at most maxPendingActions pending actions", "%+v", a)
		}
	}
}

// logReport logs a report of the core about an endpoint, a daemon or a prompt part.
func (d *Dispatcher) logReport(a decider.Action) {
	event := d.Log.Info()
	switch a.Report {
	case decider.PromptPartBlocked, decider.RequestBlocked:
		event = d.Log.Warn()
	case decider.PlacementStalled:
		event = d.Log.Error()
	}
	event.Dur("lasting-ms", a.ReportDuration)
	switch {
	case a.Report == decider.RequestSuspected || a.Report == decider.RequestBlocked || a.Report == decider.RequestCleared:
		event.Str("fingerprint", strconv.FormatUint(a.Part, 16)).Int("endings", len(a.Ended)).Any("endpoints", a.Ended)
	case a.Report == decider.PlacementStalled:
		event.Str("stream", string(a.Request)).Int("declined", a.Basis.Declined).Int("usable", a.Basis.Usable).Bool("late", a.Basis.Late)
	case a.Part != 0:
		event.Str("part", strconv.FormatUint(a.Part, 16)).Int("endings", len(a.Ended)).Any("endpoints", a.Ended)
	case a.Report == decider.EndpointLimited:
		event.Str("endpoint", string(a.Endpoint)).Float64("per-second", float64(a.Limit))
	case a.Report == decider.EndpointPaced:
		event.Str("endpoint", string(a.Endpoint)).Float64("window", a.Window)
	case a.Endpoint != "":
		event.Str("endpoint", string(a.Endpoint)).Str("reason", string(a.Retry))
	default:
		event.Str("daemon", string(a.To))
	}
	event.Msg(string(a.Report))
}

// Configure passes a new fleet to the core.
func (d *Dispatcher) Configure(ctx context.Context, fleet decider.Fleet) error {
	return d.send(ctx, command{fleet: &fleet})
}

// Act runs f on the control goroutine and performs the actions that it returns. It doesn't wait for f.
func (d *Dispatcher) Act(f func(now time.Time) []decider.Action) {
	d.send(context.Background(), command{act: f}) // ErrStopped needs no handling: the core has stopped too
}

// Query runs f on the control goroutine and returns when f has returned. f must not retain references to data
// of the core.
func (d *Dispatcher) Query(ctx context.Context, f func(now time.Time)) error {
	ran := make(chan struct{})
	err := d.send(ctx, command{query: func(now time.Time) {
		f(now)
		close(ran)
	}})
	if err != nil {
		return err
	}
	select {
	case <-ran:
		return nil
	case <-d.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Report passes an event to the core. It blocks while the inbox is full, at most until the dispatcher stops.
func (d *Dispatcher) Report(e decider.Event) {
	d.send(context.Background(), command{event: &e}) // ErrStopped needs no handling: the core has stopped too
}

func (d *Dispatcher) send(ctx context.Context, c command) error {
	d.init()
	select {
	case <-d.done:
		return ErrStopped
	default:
	}
	select {
	case d.inbox <- c:
		return nil
	case <-d.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
