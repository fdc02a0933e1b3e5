package quarantiner

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/pkg/errors"

	"apricotspool/namer"
)

// MarshalText returns the part as in requests, in hexadecimal digits.
func (p Part) MarshalText() ([]byte, error) { return []byte(strconv.FormatUint(uint64(p), 16)), nil }

// UnmarshalText decodes hexadecimal digits.
func (p *Part) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*p = Part(n)
	return errors.Wrapf(err, "part %q", text)
}

// Block is a blocked part.
type Block struct {
	Part    Part
	Level   int // 0 for a brief one, then one more with each failed trial
	Since   namer.Seconds
	Until   namer.Seconds // then the part is tried again
	Endings []Process     // that counted against it
}

// block is the state of a blocked part.
type block struct {
	since  namer.Seconds // of the last ending that it rests on
	until  namer.Seconds
	level  int
	trying bool // a request with the part is on its way
	failed int  // trials at level 0
	// triedUntil is the time until which another daemon's trial is awaited.
	triedUntil namer.Seconds
}

const (
	// briefBlock is the length of a block on weak evidence. The trial after it tells a part that ends engines from a
	// sound one that was there by chance.
	briefBlock namer.Seconds = 0.5
	// minBlock is the length of the first other block. It becomes longer by blockGrowth with each failed trial, which
	// costs an engine.
	minBlock    namer.Seconds = 60
	maxBlock    namer.Seconds = 1800
	blockGrowth               = 4
	// blockTTL is the time after which a blocked part is forgotten that no request tries.
	blockTTL namer.Seconds = 3600
	// MaxLevel limits the levels of blocks.
	MaxLevel = 16
)

func blockLength(level int) namer.Seconds {
	if level <= 0 {
		return briefBlock
	}
	length := minBlock
	for range level - 1 {
		length = min(blockGrowth*length, maxBlock)
	}
	return length
}

// BlockBriefly blocks a part until a trial.
func (t *Table) BlockBriefly(now namer.Seconds, part Part) Block { return t.blockAt(now, part, 0) }

// length returns the length of a block. A request that comes again is tried at once, alone.
func (p Part) length(level int) namer.Seconds {
	if p.Whole() && level == 0 {
		return 0
	}
	return blockLength(level)
}

// FailTrial blocks a part under whose trial an endpoint has ended, after a time. On a day on which endpoints of the
// service end for other reasons, a request that comes again is tried once more until its trials prove something.
func (t *Table) FailTrial(now namer.Seconds, part Part, took namer.Seconds, endpoints int) Block {
	r := t.record(now, part)
	if !part.Whole() || r.block == nil || r.block.level > 0 {
		return t.Block(now, part)
	}
	failed := r.block.failed + 1
	chance := float64(took) * t.otherEndings(now, r) / float64(max(1, endpoints))
	if math.Pow(chance, float64(failed)) <= significance {
		return t.Block(now, part)
	}
	t.setBlock(now, r, block{since: now, until: now, failed: failed})
	return r.export()
}

// otherEndings returns the rate at which endpoints of the part's service have ended without it, per second.
func (t *Table) otherEndings(now namer.Seconds, r *record) float64 {
	n, oldest := 0, now-minRateTime
	for _, e := range t.ended {
		if e.service == r.service && now-e.at <= maxRateTime && !slices.Contains(r.present, e.process) {
			n, oldest = n+1, min(oldest, e.at)
		}
	}
	return float64(n) / float64(now-oldest)
}

// The rate of other endings is taken over the time since the first one, within these bounds.
const (
	minRateTime namer.Seconds = 5
	maxRateTime namer.Seconds = 30
)

// Block blocks a part that is due, or whose trial has failed.
func (t *Table) Block(now namer.Seconds, part Part) Block {
	level := 1
	if r := t.record(now, part); r.block != nil {
		level = min(r.block.level+1, MaxLevel)
	}
	return t.blockAt(now, part, level)
}

func (t *Table) blockAt(now namer.Seconds, part Part, level int) Block {
	r := t.record(now, part)
	t.setBlock(now, r, block{since: now, until: now + part.length(level), level: level})
	return r.export()
}

func (t *Table) setBlock(now namer.Seconds, r *record, b block) {
	if r.block == nil {
		t.dropBlocks(now)
		t.blocked++
	}
	r.block = &b
}

// dropBlocks makes room for another block.
func (t *Table) dropBlocks(now namer.Seconds) {
	var oldest *record
	for _, r := range t.records {
		if r.block == nil {
			continue
		}
		if now > r.block.until+blockTTL {
			t.forget(r)
		} else if oldest == nil || r.usedAt < oldest.usedAt {
			oldest = r
		}
	}
	if t.blocked >= MaxBlocked {
		t.forget(oldest)
	}
}

// forget unblocks a part and drops what speaks against it.
func (t *Table) forget(r *record) {
	t.unblock(r)
	r.endings, r.present, r.carriers = nil, nil, nil
}

func (t *Table) unblock(r *record) {
	if r.block != nil {
		r.block = nil
		t.blocked--
	}
}

// Blocking reports whether any part is blocked.
func (t *Table) Blocking() bool { return t.blocked > 0 }

// Blocked reports whether a part is blocked, and returns for how long; 0 if a trial is due.
func (t *Table) Blocked(now namer.Seconds, part Part) (namer.Seconds, bool) {
	r := t.records[part]
	if r == nil || r.block == nil {
		return 0, false
	}
	r.usedAt = now
	return max(0, r.block.until-now), true
}

// trialDelay is the delay per rank after which a daemon sends a trial if those before it have no request. It is at
// most half of the block.
const trialDelay namer.Seconds = 10

// BeginTrial reports whether a request with a blocked part may be sent as a trial: one at a time, after the block's
// length and the delay for the daemon's rank. The trial ends with a success, Block or EndTrial.
func (t *Table) BeginTrial(now namer.Seconds, part Part, rank int) bool {
	r := t.records[part]
	if r == nil || r.block == nil || r.block.trying || now < r.block.triedUntil {
		return false
	}
	if now < r.block.until+namer.Seconds(rank)*min(trialDelay, part.length(r.block.level)/2) {
		return false
	}
	r.block.trying = true
	return true
}

// trialTTL is the time in which the trial of another daemon has a result, unless it is lost.
const trialTTL namer.Seconds = 2

// AwaitTrial records that another daemon tries a blocked part.
func (t *Table) AwaitTrial(now namer.Seconds, part Part) {
	if r := t.records[part]; r != nil && r.block != nil {
		r.block.triedUntil = now + trialTTL
	}
}

// Held reports whether a part is blocked only until its first trial.
func (t *Table) Held(part Part) bool {
	r := t.records[part]
	return r != nil && r.block != nil && r.block.level == 0
}

// EndTrial ends a trial that had no result.
func (t *Table) EndTrial(part Part) {
	if r := t.records[part]; r != nil && r.block != nil {
		r.block.trying = false
	}
}

// Blocks returns the blocked parts in the order of their IDs.
func (t *Table) Blocks() []Block {
	var blocks []Block
	for _, r := range t.records {
		if r.block != nil {
			blocks = append(blocks, r.export())
		}
	}
	slices.SortFunc(blocks, func(a, b Block) int { return cmp.Compare(a.Part, b.Part) })
	return blocks
}

func (r *record) export() Block {
	b := Block{Part: r.part, Level: r.block.level, Since: r.block.since, Until: r.block.until}
	for _, c := range r.endings {
		b.Endings = append(b.Endings, c.process)
	}
	return b
}

// Merge applies a block that another daemon has decided, or an earlier run of this one. It reports whether the
// part was not blocked before, or at a lower level.
func (t *Table) Merge(now namer.Seconds, b Block) bool {
	r := t.record(now, b.Part)
	if b.Since <= r.soundAt || now > b.Until+blockTTL {
		return false
	}
	for _, p := range b.Endings {
		r.meet(p, b.Since)
		r.add(counted{process: p, at: b.Since})
	}
	if r.block != nil && r.block.level >= b.Level {
		return false
	}
	level := min(max(b.Level, 0), MaxLevel)
	t.setBlock(now, r, block{since: b.Since, until: min(b.Until, now+b.Part.length(level)), level: level})
	return true
}
