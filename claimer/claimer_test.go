package claimer_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"apricotspool/claimer"
	"apricotspool/classifier"
	"apricotspool/imitator"
	"apricotspool/leaser"
	"apricotspool/messenger"
	"apricotspool/namer"
	"apricotspool/storer"
)

func call(key, request string) claimer.Call {
	return claimer.Call{Service: "orders", Caller: "c", Key: key, Digest: sha256.Sum256([]byte(request))}
}

// run calls body in a synctest bubble with two running daemons.
func run(t *testing.T, w *cluster, body func(is *is.I, a, b *daemon)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		body(is.New(t), w.start(ctx, 0), w.start(ctx, 1))
	})
}

// Guards against a test setup that can't detect a second execution: without a shared store, where
// claims have no effect, the same calls run twice.
func TestSharedClaimsPreventSecondExecution(t *testing.T) {
	for separate, executions := range map[bool]int{false: 1, true: 2} {
		w := newCluster()
		w.separateStores = separate
		run(t, w, func(is *is.I, a, b *daemon) {
			w.setServiceFault("lost answer")
			a.serve(context.Background(), "k", "1", "order")
			b.serve(context.Background(), "k", "2", "order")
			is.Equal(w.executions["k"], executions)
		})
	}
}

// Guards against refusing a call whose claim took effect: after a lost response the claim is read back.
// If reads fail too, the call is refused and its claim is removed later.
func TestLostClaimIsResolvedByReading(t *testing.T) {
	for fault, outcome := range map[imitator.FailureMode]classifier.Outcome{imitator.WriteResponseLost: classifier.Served, imitator.ResponsesLost: classifier.StoreUnavailable} {
		w := newCluster()
		run(t, w, func(is *is.I, a, b *daemon) {
			a.node.SetFailureMode(fault, time.Second)
			is.Equal(a.serve(context.Background(), "k", "1", "order").Outcome, outcome)
			is.Equal(b.serve(context.Background(), "k", "2", "order").Outcome, outcome)
			a.node.SetFailureMode(imitator.Healthy, 0)
			time.Sleep(5 * time.Second)
			is.Equal(b.serve(context.Background(), "k", "3", "order").Outcome, classifier.Served)
			is.Equal(w.executions["k"], 1)
		})
	}
}

// Guards against a permit that is used twice, after its expiry by either clock, or without a claim.
func TestPermit(t *testing.T) {
	run(t, newCluster(), func(is *is.I, a, _ *daemon) {
		is.True(errors.Is((&claimer.Permit{}).Consume(), claimer.ErrPermit))
		permit := a.Claim(context.Background(), call("once", "")).Permit
		is.NoErr(permit.Consume())
		is.True(errors.Is(permit.Consume(), claimer.ErrPermit))
		abandoned := a.Claim(context.Background(), call("given up", "")).Permit
		abandoned.NotRun(context.Background())
		is.True(errors.Is(abandoned.Consume(), claimer.ErrPermit))
		for _, clock := range []*jumpingClock{{mono: claimer.PermitTTL}, {wall: claimer.PermitTTL}} {
			a.Clock = clock
			permit := a.Claim(context.Background(), call(fmt.Sprint(*clock), "")).Permit
			clock.jumped = true
			is.True(errors.Is(permit.Consume(), claimer.ErrPermit))
		}
	})
}

// jumpingClock reads clocks that are ahead by mono and wall if jumped is set.
type jumpingClock struct {
	mono, wall time.Duration
	jumped     bool
}

func (l *jumpingClock) Now() leaser.Reading {
	now := leaser.SystemClock{}.Now()
	if l.jumped {
		now.Mono += l.mono
		now.Wall = now.Wall.Add(l.wall)
	}
	return now
}

// Guards the outcomes of a retried call, at the same daemon and at another one.
func TestRetriedCall(t *testing.T) {
	large := claimer.Answer{Status: 200, Body: bytes.Repeat([]byte("x"), storer.MaxValueBytes)}
	small := claimer.Answer{Status: 201, Header: map[string]string{"Location": "/1"}, Body: []byte("ok")}
	for name, row := range map[string]struct {
		end      func(p *claimer.Permit)
		request  string
		outcome  classifier.Outcome
		response claimer.Answer
	}{
		"finished":      {func(p *claimer.Permit) { p.Finish(context.Background(), small) }, "order", classifier.Served, small},
		"over limit":    {func(p *claimer.Permit) { p.Finish(context.Background(), large) }, "order", classifier.OutcomeUnknown, claimer.Answer{}},
		"unknown":       {func(p *claimer.Permit) { p.Unknown(context.Background()) }, "order", classifier.OutcomeUnknown, claimer.Answer{}},
		"in progress":   {func(*claimer.Permit) {}, "order", classifier.OutcomeUnknown, claimer.Answer{}},
		"other request": {func(*claimer.Permit) {}, "other", classifier.KeyReused, claimer.Answer{}},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, newCluster(), func(is *is.I, a, b *daemon) {
				row.end(a.Claim(context.Background(), call("k", "order")).Permit)
				for _, d := range []*daemon{a, b} {
					ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
					defer cancel()
					result := d.Claim(ctx, call("k", row.request))
					is.True(result.Permit == nil)
					is.Equal(result.Outcome, row.outcome)
					is.Equal(result.Answer, row.response)
				}
			})
		})
	}
}

// Guards against a response that is lost because the store was down when the service responded. The
// daemon shuts down as soon as the store is available again.
func TestAnswerIsStoredLater(t *testing.T) {
	w := newCluster()
	run(t, w, func(is *is.I, a, b *daemon) {
		permit := a.Claim(context.Background(), call("k", "order")).Permit
		a.node.SetFailureMode(imitator.Outage, 0)
		permit.Finish(context.Background(), claimer.Answer{Status: 200})
		is.Equal(b.Claim(context.Background(), call("k", "order")).Outcome, classifier.Served) // from the holder
		a.node.SetFailureMode(imitator.Healthy, 0)
		a.cancel()
		<-a.Done()
		a.node.Kill()
		is.Equal(b.Claim(context.Background(), call("k", "order")).Outcome, classifier.Served)
	})
}

// Guards the message format between daemons: a query must reach the holder and the response must return unchanged.
func TestQueryStateOverHTTP(t *testing.T) {
	is := is.New(t)
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	defer server.Close()
	store := &imitator.Store{}
	holder := &claimer.Claimer{Store: store, Process: namer.Process{
		Host: "h", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Incarnation: 1,
	}}
	mux.Handle(holder.Handler())
	permit := holder.Claim(t.Context(), call("k", "order")).Permit
	response := claimer.Answer{Status: 201, Header: map[string]string{"Location": "/1"}, Body: []byte{0, 255}}
	results := make(chan claimer.Result)
	other := &claimer.Claimer{Store: store, Process: namer.Process{Host: "i"}, HolderClient: claimer.PeerClient{Client: &messenger.Client{HTTP: server.Client(), Scheme: "http"}}}
	go func() { results <- other.Claim(t.Context(), call("k", "order")) }()
	permit.Finish(t.Context(), response)
	result := <-results
	is.Equal(result.Outcome, classifier.Served)
	is.Equal(result.Answer, response)
}

// Guards against claims that are removed too early, too fast or without the lease, or not at all.
func TestCleaner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		w := newCluster()
		d := w.start(ctx, 0)
		for i := range 100 {
			permit := d.Claim(ctx, call(fmt.Sprint(i), "")).Permit
			if i%2 == 0 {
				permit.Finish(ctx, claimer.Answer{Status: 200})
			} else {
				permit.Unknown(ctx)
			}
		}
		lease := &leaser.Leaser{Store: w.store, Name: leaser.Housekeeping, Process: d.Process}
		cleaner := &claimer.Cleaner{Store: w.store, Lease: lease}
		go cleaner.Run(ctx)
		left := func() int {
			page, err := w.store.List(ctx, "claim/", "", 0)
			is.NoErr(err)
			return len(page.Objects)
		}
		time.Sleep(claimer.RetainUnknown + time.Hour)
		is.Equal(left(), 100) // nobody holds the lease
		go lease.Run(ctx)
		for before := 100; before > 0; before = left() {
			time.Sleep(time.Second)
			is.True(before-left() <= claimer.DeletionsPerSecond)
			if time.Now().Day() > 28 {
				t.Fatal("claims are never removed")
			}
		}
		permit := d.Claim(ctx, call("finished", "")).Permit
		permit.Finish(ctx, claimer.Answer{Status: 200})
		d.Claim(ctx, call("unknown", "")).Permit.Unknown(ctx)
		time.Sleep(claimer.RetainFinished - time.Hour)
		is.Equal(left(), 2)
		time.Sleep(3 * time.Hour)
		is.Equal(left(), 1)
	})
}
