package imitator

import (
	"time"

	"apricotspool/generator"
)

// maxCached bounds the prefixes that the fake remembers.
const maxCached = 256

// cacheLog holds the cache events of an engine. The engine's lock guards it.
type cacheLog struct {
	last   uint64
	events []cacheEvent
	blocks []uint64 // oldest first
}

type cacheEvent struct {
	at    time.Time
	event generator.CacheEvent
}

// add records that a block is cached. Every gap-th event gets a number but is lost.
func (l *cacheLog) add(now time.Time, gap int, block uint64) {
	event := generator.CacheEvent{Added: []uint64{block}}
	l.blocks = append(l.blocks, block)
	if len(l.blocks) > maxCached {
		event.Dropped = []uint64{l.blocks[0]}
		l.blocks = l.blocks[1:]
	}
	l.last++
	event.Number = l.last
	if gap > 0 && l.last%uint64(gap) == 0 {
		return
	}
	l.events = append(l.events, cacheEvent{now, event})
	if len(l.events) > maxCached {
		l.events = l.events[1:]
	}
}

func (l *cacheLog) reset() { *l = cacheLog{} }

// Cache returns the cache events after a number that are at least CacheLag old.
func (e *Engine) Cache(after uint64) generator.CacheReport {
	e.lock()
	defer e.mu.Unlock()
	report := generator.CacheReport{Incarnation: e.incarnation}
	then := time.Now().Add(-e.CacheLag)
	for _, c := range e.cache.events {
		if c.event.Number > after && !c.at.After(then) {
			report.Events = append(report.Events, c.event)
		}
	}
	return report
}
