// Package dispatcher runs the control goroutine of a daemon. That goroutine alone owns the decision
// core: traffic goroutines hand it requests and events through a channel, and it hands their actions
// back. Chunks of answers never pass through it.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"apricotspool/asserter"
	"apricotspool/decider"
	"apricotspool/namer"
)

// DefaultTick is how often the core decides what time alone makes due.
const DefaultTick = 20 * time.Millisecond

// inboxSize lets bursts of events wait without blocking the traffic goroutines that report them.
const inboxSize = 4096

// actionBuffer is more than the actions that one request gets at once, so that the control goroutine
// never waits for a traffic goroutine.
const actionBuffer = 16

// ErrStopped means that the dispatcher has stopped and takes no more requests.
var ErrStopped = errors.New("dispatcher has stopped")

// Core is the decision core. decider.Core implements it.
type Core interface {
	Configure(now time.Time, fleet decider.Fleet)
	Arrive(now time.Time, r decider.Request) []decider.Action
	Observe(now time.Time, e decider.Event) []decider.Action
	Tick(now time.Time) []decider.Action
}

// Dispatcher owns a core. Set the exported fields before Run.
type Dispatcher struct {
	Core Core
	Tick time.Duration // 0 means DefaultTick

	once    sync.Once
	done    chan struct{}
	inbox   chan message
	tickets map[namer.StreamID]*Ticket // owned by the control goroutine
}

// Ticket is one request's place in the dispatcher.
type Ticket struct {
	// Actions carries the decisions about the request, in order.
	Actions <-chan decider.Action
	actions chan decider.Action
	id      namer.StreamID
	parent  *Dispatcher
}

// message is one piece of work for the control goroutine. Exactly one field is set, but for a
// request, which comes with its ticket.
type message struct {
	request *decider.Request
	ticket  *Ticket
	event   *decider.Event
	fleet   *decider.Fleet
	closed  namer.StreamID
}

func (d *Dispatcher) init() {
	d.once.Do(func() {
		d.done = make(chan struct{})
		d.inbox = make(chan message, inboxSize)
		d.tickets = map[namer.StreamID]*Ticket{}
		if d.Tick == 0 {
			d.Tick = DefaultTick
		}
	})
}

// Done closes when Run has returned.
func (d *Dispatcher) Done() <-chan struct{} {
	d.init()
	return d.done
}

// Run owns the core until ctx ends. It runs once.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.init()
	defer close(d.done)
	ticker := time.NewTicker(d.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-d.inbox:
			d.handle(time.Now(), m)
		case now := <-ticker.C:
			d.deliver(d.Core.Tick(now))
		}
	}
}

func (d *Dispatcher) handle(now time.Time, m message) {
	switch {
	case m.request != nil:
		d.tickets[m.request.ID] = m.ticket
		d.deliver(d.Core.Arrive(now, *m.request))
	case m.event != nil:
		d.deliver(d.Core.Observe(now, *m.event))
	case m.fleet != nil:
		d.Core.Configure(now, *m.fleet)
	default:
		delete(d.tickets, m.closed)
	}
}

// deliver hands actions to their requests. An action for a request that has ended meanwhile is void.
func (d *Dispatcher) deliver(actions []decider.Action) {
	for _, action := range actions {
		ticket, ok := d.tickets[action.Request]
		if !ok {
			continue
		}
		select {
		case ticket.actions <- action:
		default:
			asserter.Check(false, "a request's actions fit in its buffer", "request %s, action %+v", action.Request, action)
		}
	}
}

func (d *Dispatcher) send(ctx context.Context, m message) error {
	d.init()
	select {
	case d.inbox <- m:
		return nil
	case <-d.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Configure gives the core a new fleet.
func (d *Dispatcher) Configure(ctx context.Context, fleet decider.Fleet) error {
	return d.send(ctx, message{fleet: &fleet})
}

// Submit gives a request to the core. The caller closes the ticket when the request has ended.
func (d *Dispatcher) Submit(ctx context.Context, r decider.Request) (*Ticket, error) {
	actions := make(chan decider.Action, actionBuffer)
	ticket := &Ticket{Actions: actions, actions: actions, id: r.ID, parent: d}
	if err := d.send(ctx, message{request: &r, ticket: ticket}); err != nil {
		return nil, err
	}
	return ticket, nil
}

// Report gives news to the core.
func (d *Dispatcher) Report(e decider.Event) {
	// The control goroutine drains the inbox until the dispatcher stops, so this can't block for long.
	_ = d.send(context.Background(), message{event: &e})
}

// Close ends the request's place in the dispatcher. The last event of the request is reported before.
func (t *Ticket) Close() {
	_ = t.parent.send(context.Background(), message{closed: t.id})
}
