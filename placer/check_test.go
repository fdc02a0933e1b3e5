package placer_test

import (
	"flag"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"apricotspool/namer"
	"apricotspool/pacer"
	"apricotspool/placer"
	"apricotspool/quarantiner"
)

func init() { flag.Set("rapid.seed", "1") } // -rapid.seed on the command line overrides it

// Guards against a malformed message of another daemon that takes the process down or corrupts a ledger.
func TestMalformedMessagesAreHarmless(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1, 1e300}))
		seconds := rapid.Map(number, func(x float64) namer.Seconds { return namer.Seconds(x) })
		endpoint := rapid.SampledFrom([]namer.Endpoint{"e-00", "e-01", "none", ""})
		work := rapid.Custom(func(t *rapid.T) placer.Work {
			return placer.Work{
				Tokens: number.Draw(t, "tokens"), PrefixTokens: number.Draw(t, "prefix tokens"), Prefix: rapid.Uint64().Draw(t, "prefix"),
				Class: rapid.IntRange(-2, 12).Draw(t, "class"), Stream: rapid.Bool().Draw(t, "stream"), Gap: seconds.Draw(t, "gap"), Until: seconds.Draw(t, "until"),
			}
		})
		load := rapid.Custom(func(t *rapid.T) placer.Load {
			return placer.Load{
				Endpoint: endpoint.Draw(t, "endpoint"), Rate: number.Draw(t, "rate"), Running: rapid.Int().Draw(t, "running"),
				Streams: rapid.Int().Draw(t, "streams"), Urgent: rapid.Int().Draw(t, "urgent"), PrefixTTL: seconds.Draw(t, "ttl"),
				InProgress: seconds.Draw(t, "in progress"), Generating: rapid.Int().Draw(t, "generating"), Inflow: number.Draw(t, "inflow"),
				Life: placer.Life(rapid.Uint16Range(0, 1).Draw(t, "life")),
				Pace: rapid.SampledFrom([]*placer.LoadPace{nil, {}, {Window: 2, Unanswered: 1}, {Window: math.NaN()}, {Window: 1e300}, {Window: 2, Unanswered: -1}}).Draw(t, "pace"),
			}
		})
		answer := rapid.Custom(func(t *rapid.T) *pacer.Answer {
			return &pacer.Answer{Verdict: pacer.Verdict(rapid.IntRange(0, 6).Draw(t, "verdict")), Took: seconds.Draw(t, "took")}
		})
		part := rapid.Map(rapid.Uint64Range(0, 3), func(x uint64) quarantiner.Part { return quarantiner.Part(x) })
		process := rapid.Custom(func(t *rapid.T) quarantiner.Process { return quarantiner.Process{Endpoint: endpoint.Draw(t, "ended")} })
		ending := rapid.Custom(func(t *rapid.T) placer.EngineEnding {
			suspect := placer.EndingSuspect{Age: seconds.Draw(t, "age"), Parts: rapid.SliceOfN(part, 0, 3).Draw(t, "parts")}
			return placer.EngineEnding{
				Process: process.Draw(t, "process"), Service: rapid.SampledFrom([]namer.Service{service, "none"}).Draw(t, "service"),
				Age: seconds.Draw(t, "age"), Suspects: []placer.EndingSuspect{suspect},
			}
		})
		quarantine := rapid.Custom(func(t *rapid.T) *placer.Quarantine {
			return &placer.Quarantine{
				Endings: rapid.SliceOfN(ending, 0, 70).Draw(t, "endings"),
				Asks:    []placer.Ask{{Part: part.Draw(t, "part"), Age: seconds.Draw(t, "age"), Service: service}},
				Clears:  []placer.PartClear{{Part: part.Draw(t, "part"), Age: seconds.Draw(t, "age"), Endings: rapid.Int().Draw(t, "endings")}},
				Blocks: []placer.PartBlock{{
					Part: part.Draw(t, "part"), Level: rapid.IntRange(-2, 40).Draw(t, "level"), Age: seconds.Draw(t, "age"), Left: seconds.Draw(t, "left"),
					Endings: rapid.SliceOfN(process, 0, 40).Draw(t, "ended"),
				}},
				Answers: []placer.Answer{{Part: part.Draw(t, "part"), Served: rapid.Int().Draw(t, "served"), Lost: rapid.Int().Draw(t, "lost")}},
			}
		})
		var messages []placer.Message
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			m := placer.Message{Loads: rapid.SliceOfN(load, 0, 3).Draw(t, "loads")}
			id := placer.ReservationID(rapid.Uint32Range(0, 3).Draw(t, "reservation"))
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				m.ReserveRequest = &placer.ReserveRequest{ReservationID: id, Endpoint: endpoint.Draw(t, "endpoint"), Work: work.Draw(t, "work"), Budget: seconds.Draw(t, "budget")}
			case 1:
				m.ReserveResponse = &placer.ReserveResponse{ReservationID: id, Granted: rapid.Bool().Draw(t, "granted"), Load: load.Draw(t, "load")}
			case 2:
				m.ProgressUpdate = &placer.ProgressUpdate{
					ReservationID: id, Endpoint: endpoint.Draw(t, "endpoint"), Progress: placer.Progress(rapid.IntRange(0, 5).Draw(t, "progress")), Work: work.Draw(t, "work"),
					Answer: answer.Draw(t, "answer"), Life: placer.Life(rapid.Uint16Range(0, 1).Draw(t, "life")),
				}
			case 3:
				m.Pause = &placer.Pause{Endpoint: endpoint.Draw(t, "endpoint"), Length: seconds.Draw(t, "length")}
			case 4:
				m.Quarantine = quarantine.Draw(t, "quarantine")
			case 5:
				m.Pace = &placer.PaceNotice{Endpoint: endpoint.Draw(t, "endpoint"), Answer: answer.Draw(t, "answer")}
			}
			messages = append(messages, m)
		}
		f := newFleet(outer, 2, 1, 1)
		for _, m := range messages {
			encoded, err := cbor.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			var decoded placer.Message
			if cbor.Unmarshal(encoded, &decoded) != nil || decoded.Check() != nil {
				continue
			}
			f.perform(f.hosts[0], f.hosts[0].core.Receive(f.time(), "h-01", decoded))
			f.run(f.now + 10*time.Millisecond)
		}
		// The core still serves.
		r := f.arrive(f.hosts[1], longOutput)
		f.run(f.now + 60*time.Second)
		if r.outcome == "" {
			t.Fatal("a request has no outcome after malformed messages")
		}
	})
}

// outer satisfies newFleet, which needs no test state.
var outer *testing.T

// Guards against a check that refuses what cores send.
func TestOwnMessagesAreValid(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, 3, 3)
	sent := 0
	f.inspect = func(_ namer.Host, m placer.Message) {
		sent++
		is.NoErr(m.Check())
	}
	f.generateLoad(longPrompt, 300, 2*time.Second)
	f.generateLoad(longOutput, 10, 2*time.Second)
	f.run(8 * time.Second)
	is.True(sent > 100)
}
