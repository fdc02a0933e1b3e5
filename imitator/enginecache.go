package imitator

import (
	"time"

	"apricotspool/generator"
)

// maxCachedBlocks is the maximum number of cached blocks, and of cache events kept.
const maxCachedBlocks = 256

// cacheEventLog holds the cache events of an engine. It is guarded by the engine's lock.
type cacheEventLog struct {
	lastNumber uint64
	events     []cacheEvent
	blocks     []uint64 // oldest first
}

type cacheEvent struct {
	at    time.Time
	event generator.CacheEvent
}

// add records that a block is cached. Every gap-th event is assigned a number but lost.
func (l *cacheEventLog) add(now time.Time, gap int, block uint64) {
	event := generator.CacheEvent{Added: []uint64{block}}
	l.blocks = append(l.blocks, block)
	if len(l.blocks) > maxCachedBlocks {
		event.Dropped = []uint64{l.blocks[0]}
		l.blocks = l.blocks[1:]
	}
	l.lastNumber++
	event.Number = l.lastNumber
	if gap > 0 && l.lastNumber%uint64(gap) == 0 {
		return
	}
	l.events = append(l.events, cacheEvent{now, event})
	if len(l.events) > maxCachedBlocks {
		l.events = l.events[1:]
	}
}

func (l *cacheEventLog) reset() { *l = cacheEventLog{} }

// Cache returns the cache events with higher numbers than after that are at least CacheLag old.
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
