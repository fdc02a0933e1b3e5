package placer

import (
	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
)

// A placement is the search for an endpoint for one attempt, from place or dispatchDecode to the dispatch or the refusal.
// It advances in turns: in a loop, or by a response to a reservation request or its time-out. Each turn removes one
// possibility, so that a placement ends:
//   - an endpoint that declines is not asked again. When maxReserveRequests have declined, they may be asked once more for
//     late work, but for long streams; request.late doesn't return to false within a placement
//   - an endpoint without room in its rate limit is not asked for a while
//   - a daemon that doesn't respond owns no ledgers for a while

// maxTurns returns a number of turns that a placement can't exceed while each turn removes a possibility.
func (c *Core) maxTurns(q *request) int {
	return 2*maxReserveRequests + 2*len(q.pool.endpoints) + len(c.members) + 1
}

// nextTurn counts a turn of a placement. One that makes no progress would keep the core from all other requests: the
// request is refused then, and nextTurn returns false.
func (c *Core) nextTurn(now namer.Seconds, q *request) bool {
	q.turns++
	if q.turns <= c.maxTurns(q) {
		return true
	}
	c.actions = append(c.actions, decider.Action{
		Kind: decider.ActionReport, Report: decider.PlacementStalled, Request: q.ID,
		Basis: decider.Basis{Declined: len(q.declined), Usable: c.usable(now, q), Late: q.late},
	})
	c.refuseUnlessBegun(now, q, classifier.PlacementStalled)
	return false
}

// endPlacement is called when an endpoint has been chosen. The next attempt has a placement of its own.
func (q *request) endPlacement() { q.turns, q.declined = 0, nil }
