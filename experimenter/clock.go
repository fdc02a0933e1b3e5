package experimenter

import (
	"container/heap"
	"time"
)

// clock is a discrete-event scheduler in virtual time. Functions due at the same time run in the order
// in which they were added.
type clock struct {
	now   time.Duration
	added int
	due   timers
}

type timer struct {
	at  time.Duration
	seq int
	run func()
}

func (c *clock) at(when time.Duration, run func()) {
	c.added++
	heap.Push(&c.due, timer{at: when, seq: c.added, run: run})
}

// runUntil runs everything that is due up to the given time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.due) > 0 && c.due[0].at <= end {
		next := heap.Pop(&c.due).(timer)
		c.now = next.at
		next.run()
	}
}

type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].seq < t[j].seq
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

func (t *timers) Pop() any {
	last := len(*t) - 1
	popped := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return popped
}
