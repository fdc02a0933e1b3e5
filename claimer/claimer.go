// Package claimer lets each non-idempotent call run at most once over all daemons. A call is claimed
// in the object API before it is sent, and its answer is stored there before it is returned. The
// object API owns the claims; a Claimer owns the claims of its process whose end isn't stored yet.
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
	// claimTimeout bounds the claim, so that a caller gets its refusal soon when the store hangs.
	claimTimeout = 3 * time.Second
	// claimTries bounds the creates of one claim. Each follows a create that a read didn't find.
	claimTries = 3
	// storeTimeout bounds how long an answer waits for its record.
	storeTimeout = time.Second
	// repeatInterval is the time between two tries to store what is still open.
	repeatInterval = time.Second
	// shutdownTimeout bounds the last tries at shutdown.
	shutdownTimeout = 5 * time.Second
	// lateLimit is how long an abandoned create is looked for. A write that takes effect even later
	// leaves a claim behind for which callers get "unknown".
	lateLimit = time.Minute
)

// Asker asks the holder of a claim how the call went.
type Asker interface {
	Ask(ctx context.Context, q Question) (Reply, error)
}

// Claimer claims calls. Set the exported fields before Run.
type Claimer struct {
	Store   storer.Store
	Process namer.Process
	Asker   Asker
	Clock   leaser.Clock // nil means leaser.SystemClock
	Log     zerolog.Logger

	once sync.Once
	done chan struct{}

	mu   sync.Mutex // guards held; never held during I/O
	held map[string]*holding
}

// Result is the decision about one call. With a Permit the call may be sent; otherwise Outcome is
// the answer to the caller, and Answer is set when Outcome is classifier.Served.
type Result struct {
	Permit  *Permit
	Outcome classifier.Outcome
	Answer  Answer
}

func (c *Claimer) init() {
	c.once.Do(func() {
		c.done = make(chan struct{})
		c.held = map[string]*holding{}
	})
}

func (c *Claimer) clock() leaser.Clock {
	if c.Clock == nil {
		return leaser.SystemClock{}
	}
	return c.Clock
}

// Done closes when Run has returned.
func (c *Claimer) Done() <-chan struct{} {
	c.init()
	return c.done
}

// Run stores answers that the store didn't take at first and removes claims whose create was
// uncertain, until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	c.init()
	defer close(c.done)
	for {
		select {
		case <-ctx.Done():
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
			defer cancel()
			c.storeEnded(ctx)
			return ctx.Err()
		case <-time.After(repeatInterval):
			c.storeEnded(ctx)
		}
	}
}

func (c *Claimer) storeEnded(ctx context.Context) {
	c.mu.Lock()
	var ended []*holding
	for _, h := range c.held {
		if s, _ := h.read(); s != stateStarted {
			ended = append(ended, h)
		}
	}
	c.mu.Unlock()
	for _, h := range ended {
		c.store(ctx, h)
	}
}

// Claim decides whether this process sends the call. It waits until ctx ends for a call that
// another request has in progress.
func (c *Claimer) Claim(ctx context.Context, call Call) Result {
	c.init()
	permit := &Permit{claimer: c, claimed: c.clock().Now()}
	h := &holding{key: call.object(), state: stateStarted, ended: make(chan struct{}), storing: make(chan struct{}, 1)}
	h.claim = claim{Process: c.Process, Nonce: rand.Text(), Digest: call.Digest, State: stateStarted, Started: permit.claimed.Wall}
	permit.holding = h
	c.mu.Lock()
	c.held[h.claim.Nonce] = h
	c.mu.Unlock()

	other, err := c.create(ctx, h)
	switch {
	case err != nil:
		// Nothing was sent and this permit is never given out, so the refusal is true even if the create took effect.
		c.Log.Debug().Err(err).Str("service", string(call.Service)).Msg("call-not-claimed")
		h.end(stateAbandoned, Answer{})
		return Result{Outcome: classifier.StoreUnavailable}
	case other != nil:
		c.drop(h)
		return c.follow(ctx, call, *other)
	}
	return Result{Permit: permit}
}

func (c *Claimer) drop(h *holding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, h.claim.Nonce)
}

// create claims the call or returns the claim that is there already. After an error the create may
// have taken effect or may still do so.
func (c *Claimer) create(ctx context.Context, h *holding) (*claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	value, err := messenger.Marshal(h.claim)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim")
	}
	for range claimTries {
		object, err := c.Store.Put(ctx, h.key, value, 0)
		if err == nil {
			h.version = object.Version
			return nil, nil
		}
		if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUncertain) {
			return nil, err
		}
		found, version, err := c.read(ctx, h.key)
		if errors.Is(err, storer.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if found.Nonce != h.claim.Nonce {
			return &found, nil
		}
		h.version = version
		return nil, nil
	}
	return nil, errors.Errorf("claim %q was not found after %d creates", h.key, claimTries)
}

func (c *Claimer) read(ctx context.Context, key string) (claim, storer.Version, error) {
	var found claim
	object, err := c.Store.Get(ctx, key)
	if err != nil {
		return found, 0, err
	}
	err = messenger.Unmarshal(object.Value, &found)
	return found, object.Version, errors.Wrapf(err, "claim %q is not valid", key)
}

// follow answers a call that has a claim. It never sends anything.
func (c *Claimer) follow(ctx context.Context, call Call, found claim) Result {
	if found.Digest != call.Digest {
		return Result{Outcome: classifier.KeyReused}
	}
	if found.State != stateStarted {
		return resultOf(found.State, found.Answer)
	}
	question := Question{Holder: found.Process, Nonce: found.Nonce}
	reply, err := c.ask(ctx, question)
	if err == nil && reply.Known {
		return resultOf(reply.State, reply.Answer)
	}
	// The holder is gone, or it has just stored the end and forgotten the claim.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	again, _, err := c.read(ctx, call.object())
	if err != nil || again.Nonce != found.Nonce {
		return Result{Outcome: classifier.OutcomeUnknown}
	}
	return resultOf(again.State, again.Answer)
}

func (c *Claimer) ask(ctx context.Context, q Question) (Reply, error) {
	for {
		var reply Reply
		var err error
		if q.Holder == c.Process {
			reply = c.Tell(ctx, q)
		} else {
			reply, err = c.Asker.Ask(ctx, q)
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

// store writes the end of a claim, or removes an abandoned one, and then forgets it. Failures
// leave it for Run to repeat.
func (c *Claimer) store(ctx context.Context, h *holding) {
	h.storing <- struct{}{}
	defer func() { <-h.storing }()
	// The caller of the service may be gone; its answer must be stored all the same.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	s, answer := h.read()
	err := c.storeOnce(ctx, h, s, answer)
	if errors.Is(err, storer.ErrUncertain) || errors.Is(err, storer.ErrConflict) || errors.Is(err, storer.ErrNotFound) {
		err = c.resolve(ctx, h, s)
	}
	if err != nil {
		c.Log.Debug().Err(err).Str("claim", h.key).Str("state", string(s)).Msg("claim-not-stored")
		return
	}
	c.drop(h)
}

func (c *Claimer) storeOnce(ctx context.Context, h *holding, s state, answer Answer) error {
	if s == stateAbandoned {
		if h.version == 0 {
			return storer.ErrUncertain // whether the create took effect is not known
		}
		return c.Store.Delete(ctx, h.key, h.version)
	}
	next := h.claim
	next.State, next.Answer = s, answer
	value, err := messenger.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode claim")
	}
	_, err = c.Store.Put(ctx, h.key, value, h.version)
	return err
}

// resolve reads what an uncertain write left behind. It returns nil when nothing is left to do.
func (c *Claimer) resolve(ctx context.Context, h *holding, s state) error {
	found, version, err := c.read(ctx, h.key)
	switch {
	case errors.Is(err, storer.ErrNotFound) && s == stateAbandoned && h.version == 0:
		if age := c.clock().Now().Wall.Sub(h.claim.Started); age < lateLimit {
			return errors.Errorf("create of claim %q may still take effect", h.key)
		}
		return nil
	case errors.Is(err, storer.ErrNotFound):
		return nil
	case err != nil:
		return err
	case found.Nonce != h.claim.Nonce || found.State == s:
		return nil
	}
	h.version = version
	return errors.Errorf("claim %q is still %q", h.key, found.State)
}
