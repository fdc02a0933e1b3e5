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

// PermitTTL is how long after the claim a call may be sent, by both the monotonic and the wall clock.
const PermitTTL = 5 * time.Second

// ErrPermit means that a permit was consumed already, has expired or was not issued by Claim.
var ErrPermit = errors.New("permit is not valid")

// pendingClaim is a claim of this process whose result isn't stored yet.
type pendingClaim struct {
	key   string
	claim claim

	version  storer.Version
	storeSem chan struct{} // semaphore of capacity 1; its holder stores the result and owns version

	mu       sync.Mutex // guards the fields below
	state    state
	response Answer
	ended    chan struct{} // closed when state is no longer stateStarted
}

func (p *pendingClaim) complete(s state, a Answer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != stateStarted {
		return false
	}
	p.state, p.response = s, a.storable() // as stored, so that other processes get the same response before and after
	close(p.ended)
	return true
}

func (p *pendingClaim) current() (state, Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.response
}

// Permit allows a process to send a call once. Only Claimer.Claim issues valid permits. A function that
// sends a non-idempotent call takes a Permit and consumes it before it sends the first byte. Afterwards
// exactly one of Finish, Unknown and NotRun must be called; further calls have no effect.
type Permit struct {
	claimer   *Claimer
	pending   *pendingClaim
	claimedAt leaser.Reading // time before the claim was sent to the store
	consumed  atomic.Bool
}

// Consume invalidates the permit. The call may be sent only if it returns nil.
func (p *Permit) Consume() error {
	if p == nil || p.pending == nil {
		return errors.Wrap(ErrPermit, "permit has no claim")
	}
	if p.consumed.Swap(true) {
		return errors.Wrapf(ErrPermit, "call of claim %q was already sent", p.pending.key)
	}
	if s, _ := p.pending.current(); s != stateStarted {
		return errors.Wrapf(ErrPermit, "claim %q is already completed", p.pending.key)
	}
	if age := p.claimer.clock().Now().Since(p.claimedAt); age >= PermitTTL {
		return errors.Wrapf(ErrPermit, "claim %q is %s old", p.pending.key, age)
	}
	return nil
}

// Finish stores the response. If the store doesn't respond within storeTimeout, Finish returns all the
// same and the response is stored later; it may already be returned to the caller.
func (p *Permit) Finish(ctx context.Context, a Answer) { p.finish(ctx, stateFinished, a) }

// Unknown records that the call may have been sent and that its response will never be known.
func (p *Permit) Unknown(ctx context.Context) { p.finish(ctx, stateUnknown, Answer{}) }

func (p *Permit) finish(ctx context.Context, s state, a Answer) {
	if p.pending.complete(s, a) {
		p.claimer.storeOutcome(ctx, p.pending)
	}
}

// NotRun records that the service did not and will not receive the call. The claim is removed, so that
// the caller may retry.
func (p *Permit) NotRun(ctx context.Context) {
	p.consumed.Store(true)
	if p.pending.complete(stateAbandoned, Answer{}) {
		p.claimer.storeOutcome(ctx, p.pending)
	}
}
