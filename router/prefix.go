package router

// Slot is the index of an endpoint in a Router.
type Slot int32

// maxHolders bounds the endpoints remembered for one block. A prefix that more engines hold is so
// common that knowing 14 of them gives enough choice.
const maxHolders = 14

// ways is the associativity of the table.
const ways = 4

const (
	minBlocks = 1 << 12
	// maxBlocks bounds the memory to about 12 MB.
	maxBlocks = 1 << 18
	// blocksPerEndpoint is the cache of one engine: 4,096 blocks are a million tokens.
	blocksPerEndpoint = 4096
)

type block struct {
	hash    uint64
	used    uint32
	n       uint8
	holders [maxHolders]uint16
}

// prefixes remembers which endpoints hold which prompt blocks, in a table of fixed size that
// replaces the least recently used block of a set.
type prefixes struct {
	table []block
	clock uint32
}

// grow sizes the table for a number of endpoints. The content is kept only if the size stays.
func (p *prefixes) grow(endpoints int) {
	size := minBlocks
	for size < maxBlocks && size < endpoints*blocksPerEndpoint {
		size *= 2
	}
	if size > len(p.table) {
		old := p.table
		p.table = make([]block, size)
		for i := range old {
			for j := range old[i].n {
				p.add(old[i].hash, Slot(old[i].holders[j]))
			}
		}
	}
}

func (p *prefixes) find(hash uint64) *block {
	set := p.set(hash)
	for i := range set {
		if set[i].hash == hash && set[i].n > 0 {
			return &set[i]
		}
	}
	return nil
}

func (p *prefixes) set(hash uint64) []block {
	first := int(hash>>20) & (len(p.table)/ways - 1) * ways
	return p.table[first : first+ways]
}

func (p *prefixes) add(hash uint64, s Slot) {
	p.clock++
	set := p.set(hash)
	target := &set[0]
	for i := range set {
		if set[i].n > 0 && set[i].hash == hash {
			set[i].used = p.clock
			set[i].hold(s, p.clock)
			return
		}
		if set[i].n == 0 || (target.n > 0 && set[i].used < target.used) {
			target = &set[i]
		}
	}
	*target = block{hash: hash, used: p.clock, n: 1}
	target.holders[0] = uint16(s)
}

func (b *block) hold(s Slot, clock uint32) {
	if b.held(s) {
		return
	}
	if b.n < maxHolders {
		b.holders[b.n] = uint16(s)
		b.n++
		return
	}
	b.holders[clock%maxHolders] = uint16(s)
}

func (b *block) held(s Slot) bool {
	for _, h := range b.holders[:b.n] {
		if h == uint16(s) {
			return true
		}
	}
	return false
}

func (b *block) drop(s Slot) {
	for i := range int(b.n) {
		if b.holders[i] == uint16(s) {
			b.n--
			b.holders[i] = b.holders[b.n]
			return
		}
	}
}

func (p *prefixes) drop(hash uint64, s Slot) {
	if b := p.find(hash); b != nil {
		b.drop(s)
	}
}

// reset forgets everything about one endpoint.
func (p *prefixes) reset(s Slot) {
	for i := range p.table {
		p.table[i].drop(s)
	}
}

// match is the number of leading blocks of a prompt that a set of endpoints holds.
type match struct {
	depth int
	block *block
}

// maxLevels bounds the distinct depths that one look-up tells apart.
const maxLevels = 3

// matches finds the deepest blocks of the prompt that any endpoint holds, deepest first: a long
// conversation held by one endpoint and, above it, a system prompt held by many.
func (p *prefixes) matches(prompt []uint64, found *[maxLevels]match) int {
	n, depth, holders := 0, len(prompt), uint8(0)
	for n < maxLevels && depth > 0 && holders < maxHolders {
		m := p.deepest(prompt[:depth], holders)
		if m.block == nil {
			break
		}
		found[n] = m
		n++
		depth, holders = m.depth-1, m.block.n
	}
	return n
}

// deepest searches for the last block with more holders than given. It takes their number as
// falling with depth, since engines drop the ends of prompts first.
func (p *prefixes) deepest(prompt []uint64, holders uint8) match {
	low, high := 0, len(prompt) // low blocks are held, high is not known to be
	var at *block
	for low < high {
		middle := (low + high + 1) / 2
		if b := p.find(prompt[middle-1]); b != nil && b.n > holders {
			low, at = middle, b
		} else {
			high = middle - 1
		}
	}
	return match{low, at}
}

// mark notes for every holder how many leading blocks it holds; the deepest level comes last.
func mark(depth []int32, levels []match) {
	for i := len(levels) - 1; i >= 0; i-- {
		for _, h := range levels[i].block.holders[:levels[i].block.n] {
			depth[h] = int32(levels[i].depth)
		}
	}
}

// unmark takes the notes away.
func unmark(depth []int32, levels []match) {
	for _, m := range levels {
		for _, h := range m.block.holders[:m.block.n] {
			depth[h] = 0
		}
	}
}
