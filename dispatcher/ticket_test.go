package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/namer"
)

// Guards against sound endpoints that are reported as unresponsive because the request ended, by its caller or its
// deadline, before they had answered a call.
func TestEndedRequestReportsNoEndpoint(t *testing.T) {
	for name, endedBefore := range map[string]bool{"during the probe": false, "before": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				core := &scriptedCore{arrive: dispatch, observe: func(e decider.Event) []decider.Action {
					if e.Kind != decider.EventUnresponsive {
						return nil
					}
					return []decider.Action{{Kind: decider.ActionProbe, Request: e.Request, Attempt: e.Attempt, Endpoint: "other"}}
				}}
				d := &dispatcher.Dispatcher{Core: core}
				run, stop := context.WithCancel(t.Context())
				go d.Run(run)
				ticket, err := d.Submit(run, decider.Request{ID: namer.NewStreamID()})
				is.NoErr(err)
				<-ticket.Actions()
				ctx, end := context.WithCancel(t.Context())
				if endedBefore {
					end()
				}
				is.True(!ticket.Unresponsive(ctx, 1, "e", classifier.RetryEndpointUnresponsive, func(namer.Endpoint) bool {
					end()
					return false
				}))
				end()
				synctest.Wait()
				stop()
				<-d.Done()
				for _, e := range core.events {
					is.True(e.Kind != decider.EventHealth)
					is.True(!endedBefore || e.Kind != decider.EventUnresponsive)
				}
			})
		})
	}
}
