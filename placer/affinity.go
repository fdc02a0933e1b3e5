package placer

import (
	"github.com/cespare/xxhash/v2"

	"apricotspool/namer"
)

// affinityRanks is the number of engines per role that are ranked for prompts with the same prefix.
const affinityRanks = 2

// prefixAffinity holds the engines that all daemons prefer for prompts with the same prefix, ranked by
// rendezvous hashing. The first of each role is the affinity engine; the next one takes its overflow.
type prefixAffinity struct {
	prefill [affinityRanks]*endpoint
	decode  [affinityRanks]*endpoint
	// holder is the engine with the greatest weight of those that offer the prefix; nil if none is known. It may
	// be unranked, for example after its role has changed.
	holder *endpoint
}

func (p *pool) prefixAffinity(now namer.Seconds, q *request) prefixAffinity {
	var a prefixAffinity
	prefix := q.prefix()
	if prefix == 0 {
		return a
	}
	var prefill, decode [affinityRanks]uint64
	var held uint64
	for _, e := range p.endpoints {
		if e.leaving() {
			continue
		}
		weight := rendezvous(prefix, string(e.view.Name))
		if weight > held && e.offers(now, prefix) {
			a.holder, held = e, weight
		}
		if e.view.Role == namer.RolePrefill {
			insertByWeight(&a.prefill, &prefill, e, weight)
		} else {
			insertByWeight(&a.decode, &decode, e, weight)
		}
	}
	return a
}

// insertByWeight inserts an engine into the list of those with the greatest weights.
func insertByWeight(best *[affinityRanks]*endpoint, weights *[affinityRanks]uint64, e *endpoint, weight uint64) {
	for i := range best {
		if best[i] == nil || weight > weights[i] {
			best[i], e = e, best[i]
			weights[i], weight = weight, weights[i]
		}
		if e == nil {
			return
		}
	}
}

// rank returns the rank of an engine in its role; 0 is the affinity engine, affinityRanks is unranked.
func (a *prefixAffinity) rank(e *endpoint) int {
	for i := range affinityRanks {
		if e == a.prefill[i] || e == a.decode[i] {
			return i
		}
	}
	return affinityRanks
}

// fetchSource returns the engine from which an engine fetches a prefix that it has not cached: an affinity
// engine that holds the prefix, another holder, or else the one that most probably holds it. It reports whether the source
// holds it.
func (a *prefixAffinity) fetchSource(now namer.Seconds, e *endpoint, prefix uint64) (*endpoint, bool) {
	for _, source := range []*endpoint{a.decode[0], a.prefill[0], a.decode[1], a.prefill[1], a.holder} {
		if source != nil && source != e && source.offers(now, prefix) {
			return source, true
		}
	}
	if e == a.decode[0] {
		return a.prefill[0], false
	}
	return a.decode[0], false
}

// held reports whether one of the engines has cached the prefix or is processing it.
func (a *prefixAffinity) held(now namer.Seconds, prefix uint64) bool {
	for i := range affinityRanks {
		for _, e := range []*endpoint{a.prefill[i], a.decode[i]} {
			if e != nil && e.holds(now, prefix) {
				return true
			}
		}
	}
	return false
}

func rendezvous(seed uint64, name string) uint64 {
	h := xxhash.NewWithSeed(seed)
	h.WriteString(name) // never fails
	return h.Sum64()
}
