package decider_test

import (
	"fmt"
	"testing"
	"time"

	"apricotspool/decider"
	"apricotspool/namer"
)

// poisson offers requests at a rate for a time.
func (w *world) poisson(from, to time.Duration, rate float64, next func() (decider.Request, int)) {
	for at := from; ; {
		at += time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		r, output := next()
		w.arrive(at, r, output)
	}
}

func (w *world) question() (decider.Request, int) {
	group := w.random.IntN(20)
	return decider.Request{
		Rank: "urgent", Caller: namer.Caller(fmt.Sprintf("fitter-%d", w.random.IntN(40))), PromptTokens: namer.Tokens(500 + w.random.IntN(1500)),
		Prefix: []uint64{uint64(group+1) << 32, uint64(group+1)<<32 + 1<<24},
	}, 50 + w.random.IntN(200)
}

func (w *world) chore() (decider.Request, int) {
	r := decider.Request{Rank: "free", Caller: namer.Caller(fmt.Sprintf("free-%d", w.random.IntN(400))), PromptTokens: namer.Tokens(1000 + w.random.IntN(3000))}
	output := 100 + w.random.IntN(200)
	if w.random.IntN(10) == 0 {
		r.PromptTokens, output = namer.Tokens(20_000+w.random.IntN(40_000)), 5
	}
	return r, output
}

func TestExplore(t *testing.T) {
	for _, c := range []struct {
		name         string
		urgent, free float64
		lag          time.Duration
	}{
		{"calm", 20, 8, time.Second},
		{"free flood", 20, 200, time.Second},
		{"free flood lag5", 20, 200, 5 * time.Second},
		{"urgent flood", 400, 20, time.Second},
		{"urgent only", 70, 0.001, time.Second},
	} {
		w := newWorld(1, 8, 8, c.lag)
		w.poisson(0, 60*time.Second, c.urgent, w.question)
		w.poisson(0, 60*time.Second, c.free, w.chore)
		began := time.Now()
		w.run(120 * time.Second)
		w.print(c.name)
		fmt.Println("retries", w.retries, "sends", w.sends, "took", time.Since(began).Round(time.Millisecond))
	}
}
