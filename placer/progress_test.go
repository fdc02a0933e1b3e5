package placer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/decider"
	"apricotspool/namer"
	"apricotspool/placer"
)

// Guards against a placement that goes on for as long as another daemon declines, whatever it says to wait, and keeps the
// core from other requests.
func TestPlacementEndsWithFaultyOwner(t *testing.T) {
	for name, wait := range map[string]namer.Seconds{"at once": 0, "after an instant": 1e-12, "in the past": -1} {
		for _, plain := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, plain %v", name, plain), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 2, 0, 1)
				f.view.Services[0].Plain = plain
				f.view.Members[0].DataCentre = "b" // the second daemon owns the endpoint
				f.configure()
				core, faulty := f.hosts[0].core, f.hosts[1].name
				core.Observe(f.time(), decider.Event{
					Kind: decider.EventLimit, Endpoint: f.names[0], RequestedAt: f.time(), Limit: decider.StatedLimit{State: decider.LimitStated, Rate: 1e6},
				})
				actions := core.Arrive(f.time(), decider.Request{
					ID: "r", Service: service, PromptTokens: 10, MaxTokens: 100, Deadline: f.time().Add(time.Second), Target: 100 * time.Millisecond, Attempts: 1,
				})
				for asked := 0; ; asked++ {
					is.True(asked < 20)
					i := slices.IndexFunc(actions, func(a decider.Action) bool { return a.Kind == decider.ActionSend && a.To == faulty })
					if i < 0 {
						break
					}
					request := actions[i].Message.(placer.Message).ReserveRequest
					f.now += 2 * networkDelay
					actions = core.Receive(f.time(), faulty, placer.Message{ReserveResponse: &placer.ReserveResponse{
						ReservationID: request.ReservationID, Wait: wait, Load: placer.Load{Endpoint: f.names[0]},
					}})
				}
				is.Equal(actions[len(actions)-1].Kind, decider.ActionRefuse)
			})
		}
	}
}
