package assigner

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"apricotspool/leaser"
	"apricotspool/namer"
)

const (
	// period is the interval between two plans.
	period = 500 * time.Millisecond
	// commandTimeout bounds one command.
	commandTimeout = time.Second
	// noticeFor is how long an engine gets no new work after a command, unless it has the new role before.
	noticeFor = 10 * time.Second
)

// Command gives an engine another role.
type Command struct {
	Endpoint namer.Endpoint
	Role     namer.Role
	Holder   namer.Host
	Fencing  namer.FencingToken
}

// Commander sends commands to engines.
type Commander interface {
	// Send sends a command once and reports whether the engine carries it out.
	Send(ctx context.Context, c Command) (accepted bool, err error)
}

// Fleet is the view of the engines that this daemon has.
type Fleet interface {
	// Engines returns the engines of each service.
	Engines(ctx context.Context) (map[namer.Service][]Engine, error)
	// Announce tells all daemons that an engine gets no new work for a time.
	Announce(endpoint namer.Endpoint, length time.Duration)
}

// Authority grants the right to send commands. It is implemented by leaser.Leaser.
type Authority interface {
	Roles() (leaser.RoleAuthority, bool)
}

// Assigner plans the roles and sends the commands. Set the exported fields before Run.
type Assigner struct {
	Host      namer.Host
	Authority Authority
	Fleet     Fleet
	Commander Commander
	// HandoverGap is the time for which a new holder sends no commands, so that its commands don't mix with
	// those of the last one at engines that ignore fencing tokens.
	HandoverGap time.Duration
	// Ordered reports whether the engines of a service are ordered by the daemons; nil means that none are.
	Ordered func(namer.Service) bool
	Log     zerolog.Logger

	once sync.Once
	done chan struct{}

	planners map[namer.Service]*Planner
	token    namer.FencingToken // of the lease that is held
	heldAt   time.Time          // when it was first seen
}

func (a *Assigner) init() { a.once.Do(func() { a.done = make(chan struct{}) }) }

// Done is closed when Run has returned.
func (a *Assigner) Done() <-chan struct{} {
	a.init()
	return a.done
}

// Run plans until ctx ends.
func (a *Assigner) Run(ctx context.Context) error {
	a.init()
	defer close(a.done)
	a.planners = map[namer.Service]*Planner{}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			a.step(ctx)
		}
	}
}

func (a *Assigner) step(ctx context.Context) {
	authority, held := a.Authority.Roles()
	if !held {
		a.token = 0
		clear(a.planners) // another daemon may change roles meanwhile
		return
	}
	now := time.Now()
	if a.token != authority.Fencing() {
		a.token, a.heldAt = authority.Fencing(), now
	}
	services, err := a.Fleet.Engines(ctx)
	if err != nil {
		a.Log.Debug().Err(err).Msg("engines-unknown")
		return
	}
	for service, engines := range services {
		if a.planners[service] == nil {
			a.planners[service] = &Planner{Ordered: a.Ordered != nil && a.Ordered(service)}
		}
		planner := a.planners[service]
		planner.Observe(now, engines)
		if now.Sub(a.heldAt) < a.HandoverGap {
			continue
		}
		for _, change := range planner.Plan(now, engines) {
			a.send(ctx, authority, change)
		}
	}
}

// send sends one command. A command that fails is not repeated before the planner's cooldown has passed.
func (a *Assigner) send(ctx context.Context, authority leaser.RoleAuthority, change Change) {
	bounded, end, err := authority.Begin(ctx)
	if err != nil {
		return
	}
	defer end()
	bounded, cancel := context.WithTimeout(bounded, commandTimeout)
	defer cancel()
	accepted, err := a.Commander.Send(bounded, Command{Endpoint: change.Endpoint, Role: change.Role, Holder: a.Host, Fencing: authority.Fencing()})
	a.Log.Info().Err(err).Str("endpoint", string(change.Endpoint)).Str("role", string(change.Role)).Bool("accepted", accepted).
		Uint64("fencing", uint64(authority.Fencing())).Int("prefill-engines", change.Basis.Prefill).Int("generating-engines", change.Basis.Generate).
		Float64("generating", change.Basis.Generating).Float64("prompt-tokens-per-second", change.Basis.Inflow).Msg("role-change")
	if accepted || err != nil {
		a.Fleet.Announce(change.Endpoint, noticeFor)
	}
}
