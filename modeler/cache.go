package modeler

import (
	"container/list"

	"apricotspool/decider"
	"apricotspool/namer"
)

// CacheChange lists the prefix blocks that an engine has added and evicted since the last report.
type CacheChange struct {
	Added, Dropped []uint64
	// Reset is set if the engine restarted and lost its earlier blocks.
	Reset bool
}

// prefixCache is an LRU cache of prompt blocks of decider.PrefixBlock tokens.
type prefixCache struct {
	blocks map[uint64]*list.Element
	lru    list.List // of uint64, the most recently used first
	change CacheChange
}

// match returns the number of leading tokens that are cached and marks their blocks as used.
func (p *prefixCache) match(prefix []uint64) namer.Tokens {
	hit := namer.Tokens(0)
	for _, block := range prefix {
		element, ok := p.blocks[block]
		if !ok {
			break
		}
		p.lru.MoveToFront(element)
		hit += decider.PrefixBlock
	}
	return hit
}

// add caches the blocks of a prompt, last block first: a block is useful only while all blocks before
// it are cached, so earlier blocks must be evicted later.
func (p *prefixCache) add(prefix []uint64, limit namer.Tokens) {
	if p.blocks == nil {
		p.blocks = map[uint64]*list.Element{}
	}
	for n := len(prefix) - 1; n >= 0; n-- {
		if element, ok := p.blocks[prefix[n]]; ok {
			p.lru.MoveToFront(element)
			continue
		}
		p.blocks[prefix[n]] = p.lru.PushFront(prefix[n])
		p.change.Added = append(p.change.Added, prefix[n])
	}
	for namer.Tokens(p.lru.Len())*decider.PrefixBlock > limit {
		oldest := p.lru.Remove(p.lru.Back()).(uint64)
		delete(p.blocks, oldest)
		p.change.Dropped = append(p.change.Dropped, oldest)
	}
}

// Fetch copies the leading blocks of a prompt that another engine has cached into this engine's cache.
// The transfer time is not modelled.
func (e *Engine) Fetch(prefix []uint64, from *Engine) {
	hit := from.cache.match(prefix)
	e.cache.add(prefix[:hit/decider.PrefixBlock], e.Class.CacheTokens)
}

func (p *prefixCache) clear() {
	p.blocks = nil
	p.lru.Init()
	p.change = CacheChange{Reset: true}
}

// TakeCacheChange returns the changes of the prefix cache since the last call.
func (e *Engine) TakeCacheChange() CacheChange {
	change := e.cache.change
	e.cache.change = CacheChange{}
	return change
}
