package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
)

// departedFleet returns a fleet of one daemon and two engines with known incarnations, and functions that take the first
// engine's entry away, bring it back, and report whether requests use it.
func departedFleet(t *testing.T) (f *fleet, depart, comeBack func(), used func() bool) {
	f = newFleet(t, 1, 0, 2)
	for i := range f.view.Endpoints {
		f.view.Endpoints[i].Incarnation = 7
	}
	f.configure()
	all := f.view.Endpoints
	depart = func() {
		f.view.Endpoints = all[1:]
		f.configure()
	}
	comeBack = func() {
		f.view.Endpoints = all
		f.configure()
	}
	used = func() bool {
		found := false
		for range 20 {
			found = f.arrive(f.hosts[0], longPrompt).endpoint == f.names[0] || found
		}
		f.run(f.now + 10*time.Second)
		return found
	}
	return f, depart, comeBack, used
}

// Guards against requests to an endpoint that has said that it is leaving, after a store from a backup lists it again
// (review/7, DRAIN), also if it has said so after its entry had gone, and with another service or build.
func TestLeavingOutlivesEntry(t *testing.T) {
	for _, order := range []string{"before its entry goes", "after its entry has gone"} {
		t.Run(order, func(t *testing.T) {
			is := is.New(t)
			f, depart, comeBack, used := departedFleet(t)
			is.True(used())
			announce := func() {
				f.hosts[0].core.Observe(f.time(), decider.Event{Kind: decider.EventLeaving, Endpoint: f.names[0]})
			}
			if order == "before its entry goes" {
				announce()
				depart()
			} else {
				depart()
				announce()
			}
			for range 3 {
				comeBack()
				is.True(!used())
				depart()
			}
			f.view.Endpoints[0].Build = "other"
			comeBack()
			is.True(!used())
			f.view.Endpoints[0].Incarnation++
			comeBack()
			is.True(used())
		})
	}
}

// Guards against requests to an endpoint that has asked this daemon for none, when its entry has gone and come back meanwhile.
func TestTurnedAwayDaemonWaitsWithoutEntry(t *testing.T) {
	is := is.New(t)
	f, depart, comeBack, _ := departedFleet(t)
	r := f.arrive(f.hosts[0], longPrompt)
	for r.endpoint != f.names[0] {
		f.run(f.now + 5*time.Second)
		r = f.arrive(f.hosts[0], longPrompt)
	}
	f.observe(r, decider.Event{
		Kind: decider.EventFailed, Attempt: r.attempt, Endpoint: r.endpoint, Reason: classifier.RetryEndpointRefused, NotRun: true, RetryAfter: 3 * time.Second,
	})
	turnedAway := f.now
	depart()
	f.run(f.now + 100*time.Millisecond)
	comeBack()
	for f.now < turnedAway+2900*time.Millisecond {
		f.run(f.now + 50*time.Millisecond)
		is.True(f.arrive(f.hosts[0], longPrompt).endpoint != f.names[0])
	}
}

// Guards against more requests than an endpoint takes, when its entry has gone and come back since it stated its limit.
func TestStatedLimitOutlivesEntry(t *testing.T) {
	is := is.New(t)
	f, depart, comeBack, _ := departedFleet(t)
	f.view.Services[0].Plain = true
	f.configure()
	limit := namer.Rate(2)
	f.hosts[0].core.Observe(f.time(), decider.Event{
		Kind: decider.EventLimit, Endpoint: f.names[0], Limit: decider.StatedLimit{State: decider.LimitStated, Rate: limit}, RequestedAt: f.time(),
	})
	depart()
	f.run(f.now + time.Second)
	comeBack()
	call := workload{prompt: 1, sessions: 1, target: 300 * time.Millisecond, idempotent: true, attempts: 1}
	sent := 0
	for range 100 { // before any response
		if f.arrive(f.hosts[0], call).endpoint == f.names[0] {
			sent++
		}
	}
	is.True(float64(sent) <= 1.5*float64(limit)*4+5) // in 4 s
}
