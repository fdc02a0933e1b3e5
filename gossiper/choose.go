package gossiper

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Choose returns the n highest-ranked peers for a key by rendezvous hashing. When a peer joins or
// leaves, only the keys assigned to it move.
func Choose(key string, peers []Peer, n int) []Peer {
	type ranked struct {
		score uint64
		peer  Peer
	}
	all := make([]ranked, len(peers))
	for i, p := range peers {
		all[i] = ranked{xxhash.Sum64String(key + "\x00" + string(p.Host)), p}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.peer.Host, b.peer.Host))
	})
	chosen := make([]Peer, 0, n)
	for _, r := range all[:min(n, len(all))] {
		chosen = append(chosen, r.peer)
	}
	return chosen
}

// chooseFirst is Choose for a single peer. It doesn't allocate, because it runs for every endpoint
// in every poll period.
func chooseFirst(key string, peers []Peer) (Peer, bool) {
	var best Peer
	var bestScore uint64
	for i, p := range peers {
		var h xxhash.Digest
		h.Reset()
		h.WriteString(key)
		h.WriteString("\x00")
		h.WriteString(string(p.Host))
		if score := h.Sum64(); i == 0 || score > bestScore || (score == bestScore && p.Host < best.Host) {
			best, bestScore = p, score
		}
	}
	return best, len(peers) > 0
}
