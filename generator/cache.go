package generator

import "apricotspool/namer"

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Number  uint64   `json:"number"` // counts up by one; a jump means that events were lost
	Added   []uint64 `json:"added,omitempty"`
	Dropped []uint64 `json:"dropped,omitempty"`
}

// CacheReport holds cache events in order. A new incarnation starts with an empty cache and number 1.
type CacheReport struct {
	Incarnation namer.Incarnation `json:"incarnation"`
	Events      []CacheEvent      `json:"events"`
}
