package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/namer"
	"apricotspool/placer"
)

// Guards against work for a request that no engine can ever take, its prompt being larger than their memory, and against
// a caller that is told to come back soon with it.
func TestPromptLargerThanMemoryIsRefusedAtOnce(t *testing.T) {
	const memory = 1_000_000
	for name, c := range map[string]struct {
		prompt, output namer.Tokens
		unknown        bool // the engines' memory
		outcome        classifier.Outcome
	}{
		"more output than prompt":      {prompt: memory + 1, output: memory + 2, outcome: classifier.PromptTooLong},
		"less output than prompt":      {prompt: memory + 1, output: 1, outcome: classifier.PromptTooLong},
		"prompt as large as memory":    {prompt: memory, output: 1},
		"memory of engines is unknown": {prompt: memory + 1, output: 1, unknown: true},
	} {
		for _, hosts := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d daemons", name, hosts), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, hosts, 1, 3)
				for i := range f.view.Endpoints {
					if f.view.Endpoints[i].KVTokens = memory; c.unknown {
						f.view.Endpoints[i].KVTokens = 0
					}
				}
				f.configure()
				asked := 0
				f.inspect = func(_ namer.Host, m placer.Message) {
					if m.ReserveRequest != nil {
						asked++
					}
				}
				k := workload{prompt: c.prompt, output: c.output, sessions: 1, target: 30 * time.Second, idempotent: true}
				r := f.arriveWithDeadline(f.hosts[0], k, time.Minute)
				is.Equal(r.outcome, c.outcome)
				if c.outcome == classifier.PromptTooLong {
					is.Equal(asked, 0)
					is.True(r.retryAfter >= 30*time.Second)
					return
				}
				f.run(f.now + 100*time.Millisecond)
				is.True(r.endpoint != "")
			})
		}
	}
}

// Guards against a prompt that is sent to an engine without the memory for it while another one has it.
func TestLargePromptGoesWhereItFits(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0, 4)
	for i := range f.view.Endpoints {
		f.view.Endpoints[i].KVTokens = 1000
	}
	f.view.Endpoints[2].KVTokens = 100_000
	f.configure()
	for range 5 {
		r := f.arriveWithDeadline(f.hosts[0], workload{prompt: 50_000, output: 1, sessions: 1, target: 10 * time.Second, idempotent: true}, time.Minute)
		is.Equal(r.endpoint, f.names[2])
		f.run(f.now + 3*time.Second)
	}
}
