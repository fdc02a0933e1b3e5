package dispatcher_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/namer"
)

// scriptedCore is a core with preset responses. It records whether calls overlap.
type scriptedCore struct {
	mu         sync.Mutex // must never be contended
	overlapped bool
	events     []decider.Event
	arrive     func(decider.Request) []decider.Action
	observe    func(decider.Event) []decider.Action
	ticks      int
}

func (s *scriptedCore) enter() func() {
	if !s.mu.TryLock() {
		s.overlapped = true
		return func() {}
	}
	return s.mu.Unlock
}

func (s *scriptedCore) Configure(time.Time, decider.Fleet) { defer s.enter()() }

func (s *scriptedCore) Arrive(_ time.Time, r decider.Request) []decider.Action {
	defer s.enter()()
	return s.arrive(r)
}

func (s *scriptedCore) Observe(_ time.Time, e decider.Event) []decider.Action {
	defer s.enter()()
	s.events = append(s.events, e)
	if s.observe == nil {
		return nil
	}
	return s.observe(e)
}

func (s *scriptedCore) Tick(time.Time) []decider.Action {
	defer s.enter()()
	s.ticks++
	return nil
}

// settledTicks waits until all goroutines are blocked and returns the number of ticks so far.
func (s *scriptedCore) settledTicks() int {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ticks
}

func dispatch(r decider.Request) []decider.Action {
	return []decider.Action{{Kind: decider.ActionDispatch, Request: r.ID, Attempt: 1, Endpoint: "e"}}
}

type retries []classifier.RetryReason

func (r *retries) Retry(reason classifier.RetryReason) { *r = append(*r, reason) }

// Guards against concurrent calls of the core, against actions that are delivered to another request, and
// against events that are lost when many requests arrive at once.
func TestConcurrentRequestsAreSerialized(t *testing.T) {
	is := is.New(t)
	core := &scriptedCore{arrive: dispatch, observe: func(e decider.Event) []decider.Action {
		if e.Kind != decider.EventFailed {
			return nil
		}
		return []decider.Action{{Kind: decider.ActionDispatch, Request: e.Request, Attempt: 2, Retry: e.Reason}}
	}}
	counted := &retries{}
	d := &dispatcher.Dispatcher{Core: core, Retries: counted, Tick: time.Microsecond}
	ctx, stop := context.WithCancel(t.Context())
	go d.Run(ctx)
	is.NoErr(d.Configure(ctx, decider.Fleet{}))
	var group sync.WaitGroup
	const requests = 200
	failures := make(chan string, requests)
	for range requests {
		group.Go(func() {
			id := namer.NewStreamID()
			ticket, err := d.Submit(ctx, decider.Request{ID: id})
			if err != nil {
				failures <- err.Error()
				return
			}
			first := <-ticket.Actions()
			ticket.Started(1, "e")
			ticket.Failed(1, "e", classifier.RetryStreamBroken, false, 3)
			second := <-ticket.Actions()
			if first.Request != id || second.Request != id || first.Attempt != 1 || second.Attempt != 2 {
				failures <- "wrong action"
			}
			ticket.Finished(2, "e", 5)
		})
	}
	group.Wait()
	stop()
	<-d.Done()
	is.Equal(len(failures), 0)
	is.True(!core.overlapped)
	is.Equal(len(*counted), requests)
	_, err := d.Submit(t.Context(), decider.Request{ID: namer.NewStreamID()})
	is.Equal(err, dispatcher.ErrStopped)
}

// Guards against requests that wait forever when the dispatcher stops, and against a request that blocks the
// stop.
func TestStopUnblocksWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core := &scriptedCore{arrive: func(decider.Request) []decider.Action { return nil }}
		d := &dispatcher.Dispatcher{Core: core, Tick: 10 * time.Millisecond}
		ctx, stop := context.WithCancel(t.Context())
		go d.Run(ctx)
		ticket, err := d.Submit(ctx, decider.Request{ID: namer.NewStreamID()})
		is.NoErr(err)
		time.Sleep(95 * time.Millisecond)
		synctest.Wait()
		is.Equal(core.ticks, 9)
		stop()
		_, open := <-ticket.Actions()
		is.True(!open)
		<-ticket.Stopped()
		ticket.Cancelled() // does not block
	})
}

// Guards against the CPU time of 100 ticks per second in an idle daemon, and against a busy daemon that ticks
// too rarely for its deadlines.
func TestIdleDispatcherTicksRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core := &scriptedCore{arrive: dispatch}
		d := &dispatcher.Dispatcher{Core: core}
		ctx, cancel := context.WithCancel(t.Context())
		go d.Run(ctx)
		ticks := func(length time.Duration) int {
			before := core.settledTicks()
			time.Sleep(length)
			return core.settledTicks() - before
		}
		ticks(time.Second)
		is.True(ticks(10*time.Second) <= 41)
		ticket, err := d.Submit(ctx, decider.Request{ID: namer.NewStreamID()})
		is.NoErr(err)
		synctest.Wait()
		is.True(ticks(time.Second) >= 99)
		ticket.Cancelled()
		synctest.Wait()
		is.True(ticks(10*time.Second) <= 41)
		cancel()
		<-d.Done()
	})
}

// reportingCore reports a blocked prompt part with each tick.
type reportingCore struct{ decider.Core }

func (*reportingCore) Tick(time.Time) []decider.Action {
	return []decider.Action{{
		Kind: decider.ActionReport, Report: decider.PromptPartBlocked, Part: 0x5c1e07a2, Ended: []namer.Endpoint{"e-1", "e-2"}, ReportDuration: time.Minute,
	}}
}

// Guards against a blocked prompt part that the log doesn't name as callers do, or without the endpoints that ended.
func TestBlockedPartIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		d := &dispatcher.Dispatcher{Core: &reportingCore{}, Log: zerolog.New(&log)}
		ctx, stop := context.WithTimeout(t.Context(), dispatcher.DefaultTick+time.Millisecond)
		defer stop()
		d.Run(ctx)
		is.Equal(log.String(), `{"level":"warn","lasting-ms":60000,"part":"5c1e07a2","endings":2,"endpoints":["e-1","e-2"],"message":"prompt-part-blocked"}`+"\n")
	})
}
