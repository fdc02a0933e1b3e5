package router

// Slot is the index of an endpoint in a Router.
type Slot int32

// maxHolders bounds the endpoints stored for one block. For a prefix held by more engines, knowing 14
// of them gives enough choice.
const maxHolders = 14

// ways is the associativity of the hash table.
const ways = 4

const (
	minBlocks = 1 << 12
	// maxBlocks bounds the table to about 12 MB.
	maxBlocks = 1 << 18
	// blocksPerEndpoint is the assumed cache size of one engine: 4,096 blocks are a million tokens.
	blocksPerEndpoint = 4096
)

type block struct {
	hash        uint64
	lastUsed    uint32
	holderCount uint8
	holders     [maxHolders]uint16
}

// prefixIndex maps prompt blocks to the endpoints that cache them. It is a set-associative table of
// bounded size that replaces the least recently used block of a set.
type prefixIndex struct {
	table []block
	clock uint32
}

// grow enlarges the table for a number of endpoints and reinserts its blocks; their recency is lost.
func (p *prefixIndex) grow(endpoints int) {
	size := minBlocks
	for size < maxBlocks && size < endpoints*blocksPerEndpoint {
		size *= 2
	}
	if size > len(p.table) {
		old := p.table
		p.table = make([]block, size)
		for i := range old {
			for j := range old[i].holderCount {
				p.add(old[i].hash, Slot(old[i].holders[j]))
			}
		}
	}
}

func (p *prefixIndex) find(hash uint64) *block {
	set := p.set(hash)
	for i := range set {
		if set[i].hash == hash && set[i].holderCount > 0 {
			return &set[i]
		}
	}
	return nil
}

func (p *prefixIndex) set(hash uint64) []block {
	first := int(hash>>20) & (len(p.table)/ways - 1) * ways
	return p.table[first : first+ways]
}

func (p *prefixIndex) add(hash uint64, s Slot) {
	p.clock++
	set := p.set(hash)
	target := &set[0]
	for i := range set {
		if set[i].holderCount > 0 && set[i].hash == hash {
			set[i].lastUsed = p.clock
			set[i].addHolder(s, p.clock)
			return
		}
		if set[i].holderCount == 0 || (target.holderCount > 0 && set[i].lastUsed < target.lastUsed) {
			target = &set[i]
		}
	}
	*target = block{hash: hash, lastUsed: p.clock, holderCount: 1}
	target.holders[0] = uint16(s)
}

func (b *block) addHolder(s Slot, clock uint32) {
	if b.hasHolder(s) {
		return
	}
	if b.holderCount < maxHolders {
		b.holders[b.holderCount] = uint16(s)
		b.holderCount++
		return
	}
	b.holders[clock%maxHolders] = uint16(s)
}

func (b *block) hasHolder(s Slot) bool {
	for _, h := range b.holders[:b.holderCount] {
		if h == uint16(s) {
			return true
		}
	}
	return false
}

func (b *block) removeHolder(s Slot) {
	for i := range int(b.holderCount) {
		if b.holders[i] == uint16(s) {
			b.holderCount--
			b.holders[i] = b.holders[b.holderCount]
			return
		}
	}
}

func (p *prefixIndex) remove(hash uint64, s Slot) {
	if b := p.find(hash); b != nil {
		b.removeHolder(s)
	}
}

// reset removes one endpoint from all blocks.
func (p *prefixIndex) reset(s Slot) {
	for i := range p.table {
		p.table[i].removeHolder(s)
	}
}

// match is a block of a prompt with its holders; depth is the number of leading blocks up to it.
type match struct {
	depth int
	block *block
}

// maxLevels bounds the distinct depths that one lookup returns.
const maxLevels = 3

// matches finds the deepest cached blocks of the prompt, deepest first, each with more holders than
// the one before: for example a long conversation held by one endpoint, then a system prompt held by
// many.
func (p *prefixIndex) matches(prompt []uint64, found *[maxLevels]match) int {
	n, depth, holders := 0, len(prompt), uint8(0)
	for n < maxLevels && depth > 0 && holders < maxHolders {
		m := p.deepest(prompt[:depth], holders)
		if m.block == nil {
			break
		}
		found[n] = m
		n++
		depth, holders = m.depth-1, m.block.holderCount
	}
	return n
}

// deepest returns the last block with more than the given number of holders. The binary search
// assumes that the number of holders falls with depth, since engines evict the ends of prompts first.
func (p *prefixIndex) deepest(prompt []uint64, holders uint8) match {
	low, high := 0, len(prompt) // the first low blocks have enough holders
	var at *block
	for low < high {
		middle := (low + high + 1) / 2
		if b := p.find(prompt[middle-1]); b != nil && b.holderCount > holders {
			low, at = middle, b
		} else {
			high = middle - 1
		}
	}
	return match{low, at}
}

// markCached sets the number of leading blocks that each holder caches. The deepest level is written
// last, so that it wins.
func markCached(depth []int32, levels []match) {
	for i := len(levels) - 1; i >= 0; i-- {
		for _, h := range levels[i].block.holders[:levels[i].block.holderCount] {
			depth[h] = int32(levels[i].depth)
		}
	}
}

// clearCached undoes markCached.
func clearCached(depth []int32, levels []match) {
	for _, m := range levels {
		for _, h := range m.block.holders[:m.block.holderCount] {
			depth[h] = 0
		}
	}
}
