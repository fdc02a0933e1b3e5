// Package claimer ensures that each non-idempotent call runs at most once across all daemons. A call is
// claimed in the object API before it is sent, and its response is stored there before it is returned.
// The object API owns the claims; a Claimer owns the claims of its process whose result isn't stored yet.
package claimer

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/classifier"
	"apricotspool/leaser"
	"apricotspool/messenger"
	"apricotspool/namer"
	"apricotspool/storer"
)

const (
	// claimTimeout bounds the creation of a claim, so that a call is refused early while the store hangs.
	claimTimeout = 3 * time.Second
	// maxCreateAttempts bounds the creates of one claim. A create is retried if its result is uncertain
	// and a read doesn't find the claim.
	maxCreateAttempts = 3
	// storeTimeout bounds how long a response is delayed by storing it.
	storeTimeout = time.Second
	// storeRetryInterval is the time between two attempts to store the results of pending claims.
	storeRetryInterval = time.Second
	// shutdownTimeout bounds the final attempt at shutdown.
	shutdownTimeout = 5 * time.Second
	// lateCreateLimit is how long to watch for the delayed effect of an uncertain create whose claim was
	// abandoned. A create that takes effect later leaves a claim behind, and callers get "unknown".
	lateCreateLimit = time.Minute
)

// HolderClient queries the holder of a claim for the state of the call.
type HolderClient interface {
	QueryState(ctx context.Context, q StateQuery) (StateReply, error)
}

// Claimer claims calls for one process. Set the exported fields before Run.
type Claimer struct {
	Store        storer.Store
	Process      namer.Process
	HolderClient HolderClient
	Clock        leaser.Clock // nil means leaser.SystemClock
	Log          zerolog.Logger

	once sync.Once
	done chan struct{}

	mu      sync.Mutex // guards pending; not held during I/O
	pending map[string]*pendingClaim
}

// Result is the decision about one call. With a Permit the call may be sent. Otherwise Outcome is
// returned to the caller, with Answer if it is classifier.Served.
type Result struct {
	Permit  *Permit
	Outcome classifier.Outcome
	Answer  Answer
}

func (c *Claimer) init() {
	c.once.Do(func() {
		c.done = make(chan struct{})
		c.pending = map[string]*pendingClaim{}
	})
}

func (c *Claimer) clock() leaser.Clock {
	if c.Clock == nil {
		return leaser.SystemClock{}
	}
	return c.Clock
}

// Done returns a channel that is closed when Run has returned.
func (c *Claimer) Done() <-chan struct{} {
	c.init()
	return c.done
}

// Run retries storing results and removing abandoned claims until ctx is done, and once more at shutdown.
func (c *Claimer) Run(ctx context.Context) error {
	c.init()
	defer close(c.done)
	for {
		select {
		case <-ctx.Done():
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
			defer cancel()
			c.storeOutcomes(ctx)
			return ctx.Err()
		case <-time.After(storeRetryInterval):
			c.storeOutcomes(ctx)
		}
	}
}

func (c *Claimer) storeOutcomes(ctx context.Context) {
	c.mu.Lock()
	var ended []*pendingClaim
	for _, pending := range c.pending {
		if s, _ := pending.current(); s != stateStarted {
			ended = append(ended, pending)
		}
	}
	c.mu.Unlock()
	for _, pending := range ended {
		c.storeOutcome(ctx, pending)
	}
}

// Claim decides whether this process may send the call. If another request has the call in progress,
// it waits for the result until ctx is done.
func (c *Claimer) Claim(ctx context.Context, call Call) Result {
	c.init()
	permit := &Permit{claimer: c, claimedAt: c.clock().Now()}
	pending := &pendingClaim{key: call.object(), state: stateStarted, ended: make(chan struct{}), storeSem: make(chan struct{}, 1)}
	pending.claim = claim{Process: c.Process, Nonce: rand.Text(), Digest: call.Digest, State: stateStarted, Started: permit.claimedAt.Wall}
	permit.pending = pending
	c.mu.Lock()
	c.pending[pending.claim.Nonce] = pending
	c.mu.Unlock()

	other, err := c.create(ctx, pending)
	switch {
	case err != nil:
		// Nothing was sent and the permit is not returned, so the refusal is correct even if the create took effect.
		c.Log.Debug().Err(err).Str("service", string(call.Service)).Msg("call-not-claimed")
		pending.complete(stateAbandoned, Answer{})
		return Result{Outcome: classifier.StoreUnavailable}
	case other != nil:
		c.forget(pending)
		return c.resolveExisting(ctx, call, *other)
	}
	return Result{Permit: permit}
}

func (c *Claimer) forget(pending *pendingClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, pending.claim.Nonce)
}

// create creates the claim or returns the existing one of another request. After an error the create
// may have taken effect or may still do so.
func (c *Claimer) create(ctx context.Context, pending *pendingClaim) (*claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	value, err := messenger.Marshal(pending.claim)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim")
	}
	for range maxCreateAttempts {
		object, err := c.Store.Put(ctx, pending.key, value, 0)
		if err == nil {
			pending.version = object.Version
			return nil, nil
		}
		if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUncertain) {
			return nil, err
		}
		found, version, err := c.readClaim(ctx, pending.key)
		if errors.Is(err, storer.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if found.Nonce != pending.claim.Nonce {
			return &found, nil
		}
		pending.version = version
		return nil, nil
	}
	return nil, errors.Errorf("claim %q not found after %d creates with an uncertain result", pending.key, maxCreateAttempts)
}

func (c *Claimer) readClaim(ctx context.Context, key string) (claim, storer.Version, error) {
	var found claim
	object, err := c.Store.Get(ctx, key)
	if err != nil {
		return found, 0, err
	}
	err = messenger.Unmarshal(object.Value, &found)
	return found, object.Version, errors.Wrapf(err, "decode claim %q", key)
}

// resolveExisting returns the result of a call that has been claimed before. It never sends the call.
func (c *Claimer) resolveExisting(ctx context.Context, call Call, found claim) Result {
	if found.Digest != call.Digest {
		return Result{Outcome: classifier.KeyReused}
	}
	if found.State != stateStarted {
		return resultOf(found.State, found.Answer)
	}
	query := StateQuery{Holder: found.Process, Nonce: found.Nonce}
	reply, err := c.queryHolder(ctx, query)
	if err == nil && reply.Known {
		return resultOf(reply.State, reply.Answer)
	}
	// The holder has exited, or it has just stored the result and forgotten the claim.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	again, _, err := c.readClaim(ctx, call.object())
	if err != nil || again.Nonce != found.Nonce {
		return Result{Outcome: classifier.OutcomeUnknown}
	}
	return resultOf(again.State, again.Answer)
}

func (c *Claimer) queryHolder(ctx context.Context, q StateQuery) (StateReply, error) {
	for {
		var reply StateReply
		var err error
		if q.Holder == c.Process {
			reply = c.AnswerQuery(ctx, q)
		} else {
			reply, err = c.HolderClient.QueryState(ctx, q)
		}
		if err != nil || !reply.Known || reply.State != stateStarted || ctx.Err() != nil {
			return reply, err
		}
	}
}

func resultOf(s state, a Answer) Result {
	switch {
	case s == stateFinished && !a.Oversized:
		return Result{Outcome: classifier.Served, Answer: a}
	case s == stateAbandoned:
		return Result{Outcome: classifier.StoreUnavailable}
	}
	return Result{Outcome: classifier.OutcomeUnknown}
}

// storeOutcome stores the result of a claim, or removes an abandoned one, and then forgets it. After a
// failure the claim stays pending and Run tries again.
func (c *Claimer) storeOutcome(ctx context.Context, pending *pendingClaim) {
	pending.storeSem <- struct{}{}
	defer func() { <-pending.storeSem }()
	// The response must be stored even if the caller has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	s, response := pending.current()
	err := c.writeOutcome(ctx, pending, s, response)
	if errors.Is(err, storer.ErrUncertain) || errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrNotFound) {
		err = c.resolveWrite(ctx, pending, s)
	}
	if err != nil {
		c.Log.Debug().Err(err).Str("claim", pending.key).Str("state", string(s)).Msg("claim-not-stored")
		return
	}
	c.forget(pending)
}

func (c *Claimer) writeOutcome(ctx context.Context, pending *pendingClaim, s state, response Answer) error {
	if s == stateAbandoned {
		if pending.version == 0 {
			return storer.ErrUncertain // the create may have taken effect
		}
		return c.Store.Delete(ctx, pending.key, pending.version)
	}
	next := pending.claim
	next.State, next.Answer = s, response
	value, err := messenger.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode claim")
	}
	_, err = c.Store.Put(ctx, pending.key, value, pending.version)
	return err
}

// resolveWrite reads the claim after an uncertain write. It returns nil if nothing is left to do.
func (c *Claimer) resolveWrite(ctx context.Context, pending *pendingClaim, s state) error {
	found, version, err := c.readClaim(ctx, pending.key)
	switch {
	case errors.Is(err, storer.ErrNotFound) && s == stateAbandoned && pending.version == 0:
		if age := c.clock().Now().Wall.Sub(pending.claim.Started); age < lateCreateLimit {
			return errors.Errorf("abandoned create of claim %q may still take effect", pending.key)
		}
		return nil
	case errors.Is(err, storer.ErrNotFound):
		return nil
	case err != nil:
		return err
	case found.Nonce != pending.claim.Nonce || found.State == s:
		return nil
	}
	pending.version = version
	return errors.Errorf("claim %q is still in state %q", pending.key, found.State)
}
