package decider_test

import (
	"fmt"
	"testing"
	"time"

	"apricotspool/decider"
)

func TestTrace(t *testing.T) {
	w := newWorld(1, 8, 8, time.Second)
	w.poisson(0, 30*time.Second, 400, w.question)
	w.poisson(0, 30*time.Second, 20, w.chore)
	count := map[string]int{}
	long0 := map[string]bool{}
	w.onDispatch = func(a decider.Action) (decider.Event, bool) {
		j := w.jobs[a.Request]
		long := j.request.PromptTokens > 10000
		count[fmt.Sprintf("%s long=%v prio=%d %s retry=%s", j.request.Rank, long, a.Priority, map[bool]string{true: string(a.Endpoint)}[long], a.Retry)]++
		e := w.engines[a.Endpoint]
		back, low, has := 0.0, 0.0, false
		for _, k := range e.jobs {
			if k.prompt > 0 {
				if k.priority == 0 {
					back += k.prompt
					has = has || k.request.PromptTokens > 10000
				} else {
					low += k.prompt
				}
			}
		}
		if a.Priority == 0 && !long {
			id, n := a.Request, w.now
			w.after(2*time.Second, func() {
				k := w.jobs[id]
				if k.started == 0 || k.started-n > time.Second {
					long0[fmt.Sprintf("late blockedAtDispatch=%v", has)] = true
					count[fmt.Sprintf("late longAtDispatch=%v streams>=56 %v", has, len(e.jobs) > 56)]++
					if n > 10*time.Second && n < 12*time.Second {
						fmt.Printf("%.2f %s core %d back0 %.0f low %.0f jobs %d took %.2f attempt %d\n", n.Seconds(), a.Endpoint, j.core, back, low, len(e.jobs), (k.started - n).Seconds(), k.attempt)
					}
				}
			})
		}
		return decider.Event{}, false
	}
	w.run(60 * time.Second)
	w.print("trace")
	for k, v := range count {
		fmt.Println(k, v)
	}
}
