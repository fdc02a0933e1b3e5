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

// cluster simulates a store, a plain service that counts executions, and one daemon per slot.
type cluster struct {
	store          *imitator.Store
	separateStores bool // each daemon has its own store, so that claims have no effect

	mu           sync.Mutex
	daemons      []*daemon
	executions   map[string]int // by key
	executed     map[string]int // by attempt
	responses    map[string]string
	serviceFault string // injected fault of the service
	violations   []string
	checks       int
	outcomes     map[classifier.Outcome]int
}

func newCluster() *cluster {
	return &cluster{
		store: &imitator.Store{}, executions: map[string]int{}, executed: map[string]int{}, responses: map[string]string{},
		outcomes: map[classifier.Outcome]int{},
	}
}

func (w *cluster) check(ok bool, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checks++
	if !ok {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}

func (w *cluster) foundViolations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.violations)
}

func (w *cluster) setServiceFault(fault string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serviceFault = fault
}

type daemon struct {
	*claimer.Claimer
	node    *imitator.Node
	cluster *cluster
	cancel  context.CancelFunc
}

func (w *cluster) start(ctx context.Context, slot int) *daemon {
	ctx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	d := &daemon{cluster: w, cancel: cancel, node: &imitator.Node{Store: w.store}}
	if w.separateStores {
		d.node.Store = &imitator.Store{}
	}
	d.Claimer = &claimer.Claimer{Store: d.node, HolderClient: d, Process: namer.Process{
		Host: "h", Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(slot+1)), Incarnation: namer.Incarnation(len(w.daemons) + 1),
	}}
	w.daemons = append(w.daemons, d)
	go d.Run(ctx)
	return d
}

// daemonAt returns the latest daemon of a slot.
func (w *cluster) daemonAt(slot int) *daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range slices.Backward(w.daemons) {
		if int(d.Process.Address.Port()) == slot+1 {
			return d
		}
	}
	return nil
}

// QueryState passes the query to the daemon that currently has the address.
func (d *daemon) QueryState(ctx context.Context, q claimer.StateQuery) (claimer.StateReply, error) {
	holder := d.cluster.daemonAt(int(q.Holder.Address.Port()) - 1)
	if !d.node.Pass("ask") || !holder.node.Pass("tell") || ctx.Err() != nil {
		return claimer.StateReply{}, errors.New("holder did not respond")
	}
	return holder.AnswerQuery(ctx, q), nil
}

// serve handles one attempt of a call like a server and checks its outcome.
func (d *daemon) serve(ctx context.Context, key, attempt, request string) claimer.Result {
	w := d.cluster
	result := d.Claim(ctx, claimer.Call{Service: "orders", Caller: "c", Key: key, Digest: sha256.Sum256([]byte(request))})
	if result.Permit != nil {
		result = d.send(ctx, result.Permit, key, attempt, request)
	}
	if d.node.Killed() {
		return claimer.Result{Outcome: classifier.CallerDisconnected}
	}
	w.mu.Lock()
	ran, response := w.executed[attempt], w.responses[key]
	w.outcomes[result.Outcome]++
	w.mu.Unlock()
	w.check(result.Outcome.Class().Execution != classifier.NotRun || ran == 0, "%s: outcome %s, but the call was executed", attempt, result.Outcome)
	w.check(result.Outcome != classifier.Served || string(result.Answer.Body) == response, "%s: response %q, want %q", attempt, result.Answer.Body, response)
	return result
}

// send uses a permit like a forwarder.
func (d *daemon) send(ctx context.Context, permit *claimer.Permit, key, attempt, request string) claimer.Result {
	if err := permit.Consume(); err != nil {
		permit.NotRun(ctx)
		return claimer.Result{Outcome: classifier.StoreUnavailable}
	}
	d.cluster.check(permit.Consume() != nil, "%s: permit was consumed twice", attempt)
	response, err := d.cluster.execute(d.node, key, attempt, request)
	switch {
	case errors.Is(err, storer.ErrUnavailable):
		permit.NotRun(ctx)
		return claimer.Result{Outcome: classifier.EndpointRefused}
	case err != nil:
		permit.Unknown(ctx)
		return claimer.Result{Outcome: classifier.OutcomeUnknown}
	}
	permit.Finish(ctx, response)
	return claimer.Result{Outcome: classifier.Served, Answer: response}
}

// execute simulates the network and the plain service, which ignores idempotency keys.
func (w *cluster) execute(node *imitator.Node, key, attempt, request string) (claimer.Answer, error) {
	if !node.Pass("send") {
		return claimer.Answer{}, storer.ErrUnavailable
	}
	w.mu.Lock()
	fault := w.serviceFault
	if fault != "refused" {
		w.executions[key]++
		w.executed[attempt]++
		w.responses[key] = fmt.Sprintf("%s of %s, execution %d", request, attempt, w.executions[key])
	}
	response := claimer.Answer{Status: 201, Header: map[string]string{"Location": "/" + key}, Body: []byte(w.responses[key])}
	w.mu.Unlock()
	switch fault {
	case "refused":
		return claimer.Answer{}, storer.ErrUnavailable
	case "lost answer":
		return claimer.Answer{}, storer.ErrUncertain
	case "slow service":
		time.Sleep(4 * time.Second)
	}
	node.Pass("answer")
	return response, nil
}
