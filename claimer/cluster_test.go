package claimer_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"apricotspool/claimer"
	"apricotspool/classifier"
	"apricotspool/imitator"
	"apricotspool/namer"
	"apricotspool/storer"
)

// world is a store, a plain service that counts executions, and daemons in slots.
type world struct {
	store    *imitator.Store
	separate bool // every daemon has a store of its own, which turns claims off

	mu         sync.Mutex
	daemons    []*daemon
	executions map[string]int // by key
	executed   map[string]int // by attempt
	answers    map[string]string
	trouble    string // how the service goes wrong
	violations []string
	checks     int
	outcomes   map[classifier.Outcome]int
}

func newWorld() *world {
	return &world{
		store: &imitator.Store{}, executions: map[string]int{}, executed: map[string]int{}, answers: map[string]string{},
		outcomes: map[classifier.Outcome]int{},
	}
}

func (w *world) check(ok bool, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checks++
	if !ok {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}

func (w *world) found() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.violations)
}

func (w *world) fail(trouble string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trouble = trouble
}

type daemon struct {
	*claimer.Claimer
	node   *imitator.Node
	world  *world
	cancel context.CancelFunc
}

func (w *world) start(ctx context.Context, slot int) *daemon {
	ctx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	d := &daemon{world: w, cancel: cancel, node: &imitator.Node{Store: w.store}}
	if w.separate {
		d.node.Store = &imitator.Store{}
	}
	d.Claimer = &claimer.Claimer{Store: d.node, Asker: d, Process: namer.Process{
		Host: "h", Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(slot+1)), Incarnation: namer.Incarnation(len(w.daemons) + 1),
	}}
	w.daemons = append(w.daemons, d)
	go d.Run(ctx)
	return d
}

// at returns the newest daemon of a slot.
func (w *world) at(slot int) *daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range slices.Backward(w.daemons) {
		if int(d.Process.Address.Port()) == slot+1 {
			return d
		}
	}
	return nil
}

// Ask passes the question to the daemon that has the address now.
func (d *daemon) Ask(ctx context.Context, q claimer.Question) (claimer.Reply, error) {
	holder := d.world.at(int(q.Holder.Address.Port()) - 1)
	if !d.node.Pass("ask") || !holder.node.Pass("tell") || ctx.Err() != nil {
		return claimer.Reply{}, errors.New("no answer")
	}
	return holder.Tell(ctx, q), nil
}

// serve handles one attempt of a call as a server does, and checks its outcome.
func (d *daemon) serve(ctx context.Context, key, attempt, request string) claimer.Result {
	w := d.world
	result := d.Claim(ctx, claimer.Call{Service: "orders", Caller: "c", Key: key, Digest: sha256.Sum256([]byte(request))})
	if result.Permit != nil {
		result = d.send(ctx, result.Permit, key, attempt, request)
	}
	if d.node.Killed() {
		return claimer.Result{Outcome: classifier.CallerGone}
	}
	w.mu.Lock()
	ran, answer := w.executed[attempt], w.answers[key]
	w.outcomes[result.Outcome]++
	w.mu.Unlock()
	w.check(result.Outcome.Class().Execution != classifier.NotRun || ran == 0, "%s: %s, but it ran", attempt, result.Outcome)
	w.check(result.Outcome != classifier.Served || string(result.Answer.Body) == answer, "%s: answer %q is not %q", attempt, result.Answer.Body, answer)
	return result
}

// send uses a permit as a forwarder does.
func (d *daemon) send(ctx context.Context, permit *claimer.Permit, key, attempt, request string) claimer.Result {
	if err := permit.Consume(); err != nil {
		permit.NotRun(ctx)
		return claimer.Result{Outcome: classifier.StoreUnavailable}
	}
	d.world.check(permit.Consume() != nil, "%s: a permit was consumed twice", attempt)
	answer, err := d.world.execute(d.node, key, attempt, request)
	switch {
	case errors.Is(err, storer.ErrUnavailable):
		permit.NotRun(ctx)
		return claimer.Result{Outcome: classifier.EndpointRefused}
	case err != nil:
		permit.Unknown(ctx)
		return claimer.Result{Outcome: classifier.OutcomeUnknown}
	}
	permit.Finish(ctx, answer)
	return claimer.Result{Outcome: classifier.Served, Answer: answer}
}

// execute is the plain service with the network before it. It doesn't look at keys itself.
func (w *world) execute(node *imitator.Node, key, attempt, request string) (claimer.Answer, error) {
	if !node.Pass("send") {
		return claimer.Answer{}, storer.ErrUnavailable
	}
	w.mu.Lock()
	trouble := w.trouble
	if trouble != "refused" {
		w.executions[key]++
		w.executed[attempt]++
		w.answers[key] = fmt.Sprintf("%s of %s, execution %d", request, attempt, w.executions[key])
	}
	answer := claimer.Answer{Status: 201, Header: map[string]string{"Location": "/" + key}, Body: []byte(w.answers[key])}
	w.mu.Unlock()
	switch trouble {
	case "refused":
		return claimer.Answer{}, storer.ErrUnavailable
	case "lost answer":
		return claimer.Answer{}, storer.ErrUncertain
	case "slow service":
		time.Sleep(4 * time.Second)
	}
	node.Pass("answer")
	return answer, nil
}
