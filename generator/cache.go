package generator

import "apricotspool/namer"

// CacheEvent reports blocks added to and evicted from an engine's prefix cache.
type CacheEvent struct {
	Number  uint64   `json:"number"` // consecutive; a gap means that events were lost
	Added   []uint64 `json:"added,omitempty"`
	Dropped []uint64 `json:"dropped,omitempty"`
}

// CacheReport holds an engine's cache events in order. Each incarnation starts with an empty cache, and its
// event numbers start at 1.
type CacheReport struct {
	Incarnation namer.Incarnation `json:"incarnation"`
	Events      []CacheEvent      `json:"events"`
}
