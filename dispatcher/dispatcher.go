// Package dispatcher owns the control state of a daemon: one goroutine feeds events to decider.Core
// and hands its actions to the goroutines that serve the requests. Chunks never pass through it.
package dispatcher

import (
	"context"
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
	// idleTick is used while no request is in the hands of the core; 100 ticks a second took a quarter
	// of a per cent of a core in an idle daemon.
	idleTick  = 250 * time.Millisecond
	inboxSize = 1024
	// maxActions is the most actions that wait for one request's goroutine. A request has a few
	// attempts, each with a dispatch and perhaps a cancellation.
	maxActions = 16
)

// ErrStopped means that the dispatcher does not run; the request was not seen by the core.
var ErrStopped = errors.New("dispatcher does not run")

// Core decides; decider.Core is the one of the daemon.
type Core interface {
	Configure(now time.Time, fleet decider.Fleet)
	Arrive(now time.Time, r decider.Request) []decider.Action
	Observe(now time.Time, e decider.Event) []decider.Action
	Tick(now time.Time) []decider.Action
}

// Retries counts repeated attempts by reason.
type Retries interface {
	Retry(reason classifier.RetryReason)
}

// Peers carries messages to the cores of other daemons. It must not block.
type Peers interface {
	Send(to namer.Host, message any)
}

// Dispatcher runs a Core. Set the exported fields before Run.
type Dispatcher struct {
	Core    Core
	Retries Retries
	Peers   Peers // only for a core that speaks to others
	Log     zerolog.Logger
	Tick    time.Duration // how often time is reported to the core; 0 means DefaultTick

	inbox   chan message
	done    chan struct{}
	once    sync.Once
	tickets map[namer.StreamID]*Ticket // owned by Run
}

// message is one piece of news for the control goroutine. Only the fields of its kind are set.
type message struct {
	arrive *Ticket
	event  *decider.Event
	fleet  *decider.Fleet
	query  func(now time.Time)
	act    func(now time.Time) []decider.Action
}

func (d *Dispatcher) init() {
	d.once.Do(func() {
		d.inbox = make(chan message, inboxSize)
		d.done = make(chan struct{})
	})
}

// Done closes when the control goroutine has ended.
func (d *Dispatcher) Done() <-chan struct{} {
	d.init()
	return d.done
}

// Run owns the core until ctx ends. It ends all waiting requests when it returns and can't run again.
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
	wasIdle := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-d.inbox:
			d.handle(m)
		case now := <-tick.C:
			d.perform(d.Core.Tick(now))
		}
		if idle := len(d.tickets) == 0; idle != wasIdle {
			wasIdle = idle
			tick.Reset(tickOf(period, idle))
		}
	}
}

func tickOf(period time.Duration, idle bool) time.Duration {
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

func (d *Dispatcher) handle(m message) {
	now := time.Now()
	switch {
	case m.fleet != nil:
		d.Core.Configure(now, *m.fleet)
	case m.arrive != nil:
		t := m.arrive
		asserter.Check(d.tickets[t.request.ID] == nil, "a request arrives once", "%+v", t.request)
		d.tickets[t.request.ID] = t
		d.perform(d.Core.Arrive(now, t.request))
	case m.event != nil:
		d.observe(now, *m.event)
	case m.query != nil:
		m.query(now)
	case m.act != nil:
		d.perform(m.act(now))
	}
}

func (d *Dispatcher) observe(now time.Time, e decider.Event) {
	if e.Kind == decider.EventFinished || e.Kind == decider.EventCancelled {
		delete(d.tickets, e.Request)
	}
	d.perform(d.Core.Observe(now, e))
}

// perform hands actions to the requests' goroutines. It never blocks.
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
		if t == nil {
			// The request ended while the core decided; only a cancellation may still concern it.
			asserter.Check(a.Kind == decider.ActionCancel, "actions concern requests that are known", "%+v", a)
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
			asserter.Check(false, "a request has few actions", "%+v", a)
		}
	}
}

// logReport writes what the core has come to believe about an endpoint or a daemon.
func (d *Dispatcher) logReport(a decider.Action) {
	event := d.Log.Info().Dur("lasting-ms", a.Lasting)
	if a.Endpoint != "" {
		event.Str("endpoint", string(a.Endpoint)).Str("reason", string(a.Retry))
	} else {
		event.Str("daemon", string(a.To))
	}
	event.Msg(string(a.Report))
}

// Configure gives the core a new fleet.
func (d *Dispatcher) Configure(ctx context.Context, fleet decider.Fleet) error {
	return d.send(ctx, message{fleet: &fleet})
}

// Act runs f on the control goroutine and performs the actions that it returns. It doesn't wait.
func (d *Dispatcher) Act(f func(now time.Time) []decider.Action) {
	d.send(context.Background(), message{act: f}) // a stopped dispatcher has forgotten everything
}

// Query runs f on the control goroutine, which owns the core, and returns when it has run. f must
// not keep what belongs to the core.
func (d *Dispatcher) Query(ctx context.Context, f func(now time.Time)) error {
	ran := make(chan struct{})
	err := d.send(ctx, message{query: func(now time.Time) {
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

// Report gives news to the core. It waits only while the inbox is full, which the control goroutine
// empties until it stops.
func (d *Dispatcher) Report(e decider.Event) {
	d.send(context.Background(), message{event: &e}) // a stopped dispatcher has forgotten everything
}

func (d *Dispatcher) send(ctx context.Context, m message) error {
	d.init()
	select {
	case <-d.done:
		return ErrStopped
	default:
	}
	select {
	case d.inbox <- m:
		return nil
	case <-d.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
