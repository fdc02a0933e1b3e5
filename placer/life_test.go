package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
	"apricotspool/placer"
)

// Guards against what is known of one process of an endpoint being used for the next one under its name: by this daemon, and by a
// message of a daemon that doesn't know the new entry yet. Each row makes the endpoint get nothing while its process lives.
func TestNothingOfALifeIsUsedForTheNext(t *testing.T) {
	const before = 7
	observe := func(e decider.Event) func(*fleet) {
		return func(f *fleet) {
			e.Endpoint, e.RequestedAt = f.names[0], f.time()
			f.hosts[0].core.Observe(f.time(), e)
		}
	}
	receive := func(message func(f *fleet) placer.Message) func(*fleet) {
		return func(f *fleet) { f.hosts[0].core.Receive(f.time(), "h-01", message(f)) }
	}
	for name, row := range map[string]struct {
		learn  func(*fleet)
		stream bool // only streams avoid the endpoint
		late   bool // a message that can also come after the new entry
	}{
		"leaving": {learn: observe(decider.Event{Kind: decider.EventLeaving})},
		"load": {learn: receive(func(f *fleet) placer.Message {
			load := placer.Load{Endpoint: f.names[0], Rate: 1e5, Life: placer.LifeOf(before), Running: 1000, InProgress: 100}
			for class := range load.QueueDelay {
				load.QueueDelay[class] = 1e6
			}
			return placer.Message{Loads: []placer.Load{load}}
		}), late: true},
		"pause": {learn: receive(func(f *fleet) placer.Message {
			return placer.Message{Pause: &placer.Pause{Endpoint: f.names[0], Length: 20, Life: placer.LifeOf(before)}}
		}), late: true},
		"end of the process": {learn: receive(func(f *fleet) placer.Message {
			return placer.Message{ProcessEnd: &placer.ProcessEnd{Endpoint: f.names[0], Incarnation: before}}
		}), stream: true, late: true},
		"failures": {learn: func(f *fleet) {
			for range 20 {
				if r := f.arrive(f.hosts[0], longPrompt); r.endpoint == f.names[0] {
					f.observe(r, decider.Event{Kind: decider.EventFailed, Attempt: r.attempt, Endpoint: r.endpoint, Reason: classifier.RetryConnectFailed, NotRun: true})
				}
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, _, _, _ := departedFleet(t)
			is.Equal(f.view.Endpoints[0].Incarnation, namer.Incarnation(before))
			used := func() bool {
				for range 20 {
					r := f.newRequest(f.hosts[0], longPrompt, nil)
					if row.stream {
						r.request.Stream = 1
					}
					f.perform(f.hosts[0], f.hosts[0].core.Arrive(f.time(), r.request))
					if r.endpoint == f.names[0] {
						return true
					}
				}
				return false
			}
			row.learn(f)
			is.True(!used())
			f.view.Endpoints[0].Incarnation = before + 1
			f.configure()
			f.now += 10 * time.Millisecond
			if row.late {
				row.learn(f)
			}
			is.True(used())
		})
	}
}
