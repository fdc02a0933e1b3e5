package claimer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"apricotspool/leaser"
	"apricotspool/storer"
)

// PermitLimit is how long after the claim a call may be sent, by both clocks.
const PermitLimit = 5 * time.Second

// ErrPermit means that a permit was consumed already or that its time is over.
var ErrPermit = errors.New("permit is not valid")

// holding is a claim of this process whose end isn't stored yet.
type holding struct {
	key   string
	claim claim

	version storer.Version
	storing chan struct{} // of capacity 1; full while one goroutine stores the end and owns version

	mu     sync.Mutex // guards the fields below
	state  state
	answer Answer
	ended  chan struct{} // closed when state is not stateStarted any more
}

func (h *holding) end(s state, a Answer) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != stateStarted {
		return false
	}
	h.state, h.answer = s, a.stored() // what others get is the same before and after it is stored
	close(h.ended)
	return true
}

func (h *holding) read() (state, Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state, h.answer
}

// Permit allows one process to send one call once. Only Claimer.Claim makes valid ones; a function
// that sends a non-idempotent call takes a Permit and consumes it before the first byte. Exactly
// one of Finish, Unknown and NotRun is called afterwards; later calls have no effect.
type Permit struct {
	claimer  *Claimer
	holding  *holding
	claimed  leaser.Reading // before the claim was sent to the store
	consumed atomic.Bool
}

// Consume uses the permit up. The call may be sent only if it returns nil.
func (p *Permit) Consume() error {
	if p == nil || p.holding == nil {
		return errors.Wrap(ErrPermit, "no claim was made")
	}
	if p.consumed.Swap(true) {
		return errors.Wrapf(ErrPermit, "claim %q was sent already", p.holding.key)
	}
	if s, _ := p.holding.read(); s != stateStarted {
		return errors.Wrapf(ErrPermit, "claim %q has ended", p.holding.key)
	}
	if age := p.claimer.clock().Now().Since(p.claimed); age >= PermitLimit {
		return errors.Wrapf(ErrPermit, "claim %q is %s old", p.holding.key, age)
	}
	return nil
}

// Finish stores the answer. It returns after a short time also when the store doesn't respond; the
// answer may be returned to the caller then and is stored later.
func (p *Permit) Finish(ctx context.Context, a Answer) { p.finish(ctx, stateFinished, a) }

// Unknown states that the call was sent, or may have been, and that its answer will never be known.
func (p *Permit) Unknown(ctx context.Context) { p.finish(ctx, stateUnknown, Answer{}) }

func (p *Permit) finish(ctx context.Context, s state, a Answer) {
	if p.holding.end(s, a) {
		p.claimer.store(ctx, p.holding)
	}
}

// NotRun states that the service surely has not got the call and never will. The claim is removed,
// so that the caller may ask again.
func (p *Permit) NotRun(ctx context.Context) {
	p.consumed.Store(true)
	if p.holding.end(stateAbandoned, Answer{}) {
		p.claimer.store(ctx, p.holding)
	}
}
