package modeler_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"apricotspool/modeler"
	"apricotspool/namer"
)

// Makes property tests reproducible unless the command line sets another seed.
func init() { _ = flag.Set("rapid.seed", "1") }

// smallMemory makes preemption frequent.
func smallMemory() modeler.Class {
	class := modeler.Large70B
	class.KVTokens = 3000
	class.MaxSequences = 6
	return class
}

// Guards against lost, duplicated or truncated outputs and against KV memory that leaks or exceeds its
// limit, under preemption and cancellation.
func TestEveryJobEndsOnceAndFreesItsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := &modeler.Engine{Class: smallMemory(), Role: namer.RoleMixed}
		now := time.Duration(0)
		outputs := map[namer.StreamID]namer.Tokens{}
		started := map[namer.StreamID]int{}
		finished := map[namer.StreamID]int{}
		count := func(events []modeler.Event) {
			for _, event := range events {
				switch event.Kind {
				case modeler.JobStarted:
					started[event.Stream]++
				case modeler.JobFinished:
					finished[event.Stream]++
					if event.Output != outputs[event.Stream] {
						t.Fatalf("job %s finished after %d of %d tokens", event.Stream, event.Output, outputs[event.Stream])
					}
				}
			}
		}
		for n := range rapid.IntRange(1, 40).Draw(t, "jobs") {
			job := modeler.Job{
				Stream: namer.StreamID(fmt.Sprint(n)), Prompt: namer.Tokens(rapid.IntRange(1, 2500).Draw(t, "prompt")),
				Output: namer.Tokens(rapid.IntRange(1, 300).Draw(t, "output")), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
			}
			outputs[job.Stream] = job.Output
			if !engine.Submit(now, job) {
				t.Fatalf("job %s was refused", job.Stream)
			}
			if used := engine.Load(now).KVUsed; used > 1 {
				t.Fatalf("KV memory use is %.3f of capacity", used)
			}
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond
			if rapid.IntRange(0, 5).Draw(t, "cancel") == 0 {
				count(engine.Advance(now))
				engine.Cancel(now, job.Stream)
				if finished[job.Stream] == 0 {
					delete(outputs, job.Stream)
				}
			}
		}
		count(engine.Advance(now + time.Hour))
		if _, busy := engine.Next(); busy {
			t.Fatal("engine is busy after an hour without new jobs")
		}
		for stream := range outputs {
			if started[stream] != 1 || finished[stream] != 1 {
				t.Fatalf("job %s started %d times and finished %d times", stream, started[stream], finished[stream])
			}
		}
		if load := engine.Load(now + time.Hour); load.KVUsed != 0 || load.Running+load.Waiting != 0 {
			t.Fatalf("idle engine reports load %+v", load)
		}
	})
}

// finishTimes submits the jobs at time 0 and returns the times of their first and last tokens.
func finishTimes(class modeler.Class, jobs ...modeler.Job) (first, last map[namer.StreamID]time.Duration) {
	engine := &modeler.Engine{Class: class, Role: namer.RoleMixed}
	for _, job := range jobs {
		engine.Submit(0, job)
	}
	first, last = map[namer.StreamID]time.Duration{}, map[namer.StreamID]time.Duration{}
	for _, event := range engine.Advance(time.Hour) {
		if event.Kind == modeler.JobStarted {
			first[event.Stream] = event.At
		} else {
			last[event.Stream] = event.At
		}
	}
	return first, last
}

// Guards against a long prompt that delays urgent requests or concurrent streams.
func TestLongPromptDoesNotHoldUpUrgentWork(t *testing.T) {
	is := is.New(t)
	long := modeler.Job{Stream: "long", Prompt: 40_000, Output: 1, Priority: 1}
	urgent := modeler.Job{Stream: "urgent", Prompt: 500, Output: 50}
	first, last := finishTimes(modeler.Large70B, long, urgent)
	is.True(first["urgent"] < 200*time.Millisecond)                    // is processed before the rest of the long prompt
	is.True((last["urgent"]-first["urgent"])/49 < 44*time.Millisecond) // chunked prefill keeps its tokens on time
	is.True(first["long"] > last["urgent"])

	urgent.Priority = 1
	first, _ = finishTimes(modeler.Large70B, long, urgent)
	is.True(first["urgent"] > time.Second) // without priority it waits for the long prompt

	unchunked := modeler.Large70B
	unchunked.StepTokens = 8192
	urgent.Priority = 0
	first, last = finishTimes(unchunked, long, urgent)
	is.True((last["urgent"]-first["urgent"])/49 > 44*time.Millisecond)
}

// Guards against a capacity that the engine cannot sustain or that ignores prompt lengths.
func TestCapacityFallsWithThePrompt(t *testing.T) {
	is := is.New(t)
	short := modeler.Workload{
		PromptMin: 1000, PromptMax: 1000, OutputMin: 1, OutputMax: 1, FirstToken: 5 * time.Second, BetweenTokens: time.Second,
	}
	double := short
	double.PromptMin, double.PromptMax = 2000, 2000
	one := modeler.Capacity(modeler.Large70B, []modeler.Share{{Workload: short, Part: 1}}, 1)
	two := modeler.Capacity(modeler.Large70B, []modeler.Share{{Workload: double, Part: 1}}, 1)
	is.True(one > two)
	is.True(one < 2.2*two)
	// A step of 256 prompt tokens takes at least 30.2 ms, so 1,000 tokens take at least 118 ms and one
	// second fits 8.48 requests; a calibration may exceed that by one part in 50.
	is.True(one < 8.65)
}
