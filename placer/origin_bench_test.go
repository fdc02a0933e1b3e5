package placer_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"apricotspool/decider"
	"apricotspool/historian"
	"apricotspool/messenger"
	"apricotspool/namer"
	"apricotspool/placer"
)

// BenchmarkStreamOrigins measures what one daemon of a fleet does and keeps for the software versions of its streams while two
// serve: 4.3 streams a second, each in progress for 5 s, over a minute of virtual time. Bytes are those of the messages.
func BenchmarkStreamOrigins(b *testing.B) {
	const lifetime = 30 * time.Second
	for _, daemons := range []int{30, 100, 300, 420} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			view := decider.Fleet{Settling: 2 * time.Second, Services: []decider.ServiceView{{
				Name: service, EventTokens: eventTokens, StreamLifetime: lifetime, Builds: []namer.Build{"v1", "v2"},
			}}}
			for i := range 100 {
				view.Endpoints = append(view.Endpoints, decider.EndpointView{
					Name: namer.Endpoint(fmt.Sprintf("i-%08x", i)), Service: service, Role: namer.RoleDecode, Concurrency: 64, Build: namer.Build([]string{"v1", "v2"}[i%2]),
				})
			}
			for i := range daemons {
				view.Members = append(view.Members, decider.MemberView{Host: namer.Host(fmt.Sprintf("front-huye-lab-%d", i))})
			}
			core := &placer.Core{Self: view.Members[0].Host, Seed: 1, Retries: placer.Retries{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}}
			core.Configure(epoch, view)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			messages, size, streams, spent := 0, 0, 0, time.Duration(0)
			var running []decider.Request
			for now := time.Duration(0); now < time.Minute; now += time.Second * 10 / 43 {
				at := epoch.Add(now)
				r := decider.Request{
					ID: namer.NewStreamID(), Service: service, Idempotent: true, PromptTokens: 10, MaxTokens: 100, Deadline: at.Add(lifetime),
					Stream: historian.StreamKey(uint64(streams+1) * 0x9e3779b97f4a7c15), Lifetime: lifetime, Attempts: 2,
				}
				streams++
				name, attempt := namer.Endpoint(""), namer.Attempt(0)
				for _, a := range core.Arrive(at, r) {
					if a.Kind == decider.ActionSend && a.Message.(placer.Message).ReserveRequest != nil {
						request := a.Message.(placer.Message).ReserveRequest
						for _, a := range core.Receive(at, a.To, placer.Message{ReserveResponse: &placer.ReserveResponse{
							ReservationID: request.ReservationID, Granted: true, Load: placer.Load{Endpoint: request.Endpoint, Rate: 1e6},
						}}) {
							if a.Kind == decider.ActionDispatch {
								name, attempt = a.Endpoint, a.Attempt
							}
						}
					} else if a.Kind == decider.ActionDispatch {
						name, attempt = a.Endpoint, a.Attempt
					}
				}
				start := time.Now()
				actions := core.Observe(at, decider.Event{Kind: decider.EventStarted, Request: r.ID, Attempt: attempt, Endpoint: name})
				spent += time.Since(start)
				for _, a := range actions {
					if m, ok := a.Message.(placer.Message); ok && m.Origins != nil {
						data, err := messenger.Marshal(m)
						if err != nil {
							b.Fatal(err)
						}
						messages, size = messages+1, size+len(data)
					}
				}
				if running = append(running, r); len(running) > 5*4 {
					core.Observe(at, decider.Event{Kind: decider.EventFinished, Request: running[0].ID})
					running = running[1:]
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			kept, err := json.Marshal(core.StreamsInProgress(epoch.Add(time.Minute)))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(messages)/60, "messages/s")
			b.ReportMetric(float64(size)/float64(max(1, messages)), "B/message")
			b.ReportMetric(float64(spent.Microseconds())/float64(streams), "µs/stream")
			b.ReportMetric(float64(len(kept)), "B/object")
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "B-heap")
			b.ReportMetric(0, "ns/op")
		})
	}
}
