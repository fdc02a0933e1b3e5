package quarantiner_test

import (
	"testing"

	"github.com/matryer/is"

	"apricotspool/namer"
	"apricotspool/quarantiner"
)

// Guards against a caller that blocks another one's request by naming its fingerprint as a part of a prompt.
func TestPromptPartsAreNoRequests(t *testing.T) {
	is := is.New(t)
	for _, id := range []uint64{0, 7, 1 << 62, 1<<63 + 7} {
		is.True(!quarantiner.PromptPart(id).Whole())
		is.True(quarantiner.WholeRequest(id).Whole())
		is.True(quarantiner.PromptPart(id) != quarantiner.WholeRequest(id))
		is.Equal(quarantiner.PromptPart(id).ID(), quarantiner.WholeRequest(id).ID())
	}
}

var whole = quarantiner.WholeRequest(9)

// tableWith returns a table with endings under one request that comes again at the given times, each dispatched before
// the ending by the given time.
func tableWith(before namer.Seconds, at ...namer.Seconds) *quarantiner.Table {
	var table quarantiner.Table
	for i, now := range at {
		e := ending(now, i, 9, 3, whole)
		e.Suspects[0].DispatchedAt = now - before
		table.RecordEnding(now, e)
	}
	return &table
}

// Guards against a request that comes again and isn't held back after its second ending, against holding back one after a
// success or one that was at several endpoints which failed together, and against blame on the prompt part that it
// shares with others.
func TestRepeatedRequestIsHeldBack(t *testing.T) {
	is := is.New(t)
	table := tableWith(0.02, 10)
	is.Equal(table.Due(10), nil)
	is.True(!table.Undecided(10, whole))

	table = tableWith(0.02, 10, 10.05, 10.1)
	is.Equal(table.Due(10.1), []quarantiner.Part{whole})
	is.True(table.Undecided(10.1, whole))
	is.True(!table.Undecided(12, whole)) // nobody has decided
	is.Equal(table.Judge(whole, 0, 0), quarantiner.Probable)

	table = tableWith(0.02, 10, 10.05)
	table.RecordSuccess(10.06, service, []quarantiner.Part{whole})
	is.Equal(table.Due(10.1), nil)
	is.True(!table.Undecided(10.1, whole))

	table = tableWith(0.5, 10, 10.01, 10.02) // failed together
	is.Equal(table.Due(10.1), nil)
	table = tableWith(0.02, 10, 10.015) // sent again before the notice of the first ending
	is.Equal(table.Due(10.1), []quarantiner.Part{whole})
}

// Guards against more than one request at a time while a request that comes again is tried, and against waiting for a
// trial whose daemon is lost.
func TestHeldRequestIsTriedAlone(t *testing.T) {
	is := is.New(t)
	table, other := tableWith(0.02, 10, 10.1), tableWith(0.02, 10, 10.1)
	held := table.BlockBriefly(10.2, whole)
	is.Equal(held.Until, namer.Seconds(10.2))
	is.True(other.Merge(10.2, held))
	is.True(table.Held(whole))
	is.True(other.Held(whole))
	is.True(other.BeginTrial(10.2, whole, 8)) // at once, whatever the rank
	is.True(!other.BeginTrial(10.2, whole, 0))
	table.AwaitTrial(10.2, whole)
	is.True(!table.BeginTrial(11, whole, 0))
	is.True(table.BeginTrial(12.3, whole, 0))

	block := other.FailTrial(10.3, whole, 0.05, 4)
	is.Equal(block.Level, 1)
	is.Equal(block.Until, namer.Seconds(70.3))
	is.True(table.Merge(10.3, block))
	is.True(!table.Held(whole))
	is.True(!table.BeginTrial(60, whole, 0))
	is.Equal(table.FailTrial(80, whole, 0.05, 4).Level, 2)
}

// Guards against a long block of a sound request whose trial's endpoint ends for another reason, on a day on which that
// happens often.
func TestTrialAmongOtherEndings(t *testing.T) {
	is := is.New(t)
	table := tableWith(0.02, 10, 10.1)
	for i := range 30 {
		table.RecordEnding(11+namer.Seconds(i), ending(11+namer.Seconds(i), 10+i, quarantiner.Request(100+i), quarantiner.WholeRequest(uint64(100+i))))
	}
	table.BlockBriefly(41, whole)
	is.Equal(table.FailTrial(41, whole, 0.3, 5).Level, 0) // one of 17 trials ends like that
	is.True(table.Held(whole))
	is.Equal(table.FailTrial(41.5, whole, 0.3, 5).Level, 0)
	is.Equal(table.FailTrial(42, whole, 0.3, 5).Level, 1)
}

// Guards against a request that stays in use because a sound one, which was running beside it, is held back first.
func TestNeighbourDoesNotExplainRequest(t *testing.T) {
	is := is.New(t)
	neighbour := quarantiner.WholeRequest(4)
	var table quarantiner.Table
	for i, now := range []namer.Seconds{10, 10.1} {
		e := ending(now, i, 9, whole)
		e.Suspects[0].DispatchedAt = now - 0.02
		e.Suspects = append(e.Suspects, quarantiner.Suspect{Request: 4, DispatchedAt: now - 0.02, Parts: []quarantiner.Part{neighbour}})
		table.RecordEnding(now, e)
	}
	is.Equal(len(table.Due(10.2)), 2)
	table.BlockBriefly(10.2, neighbour)
	is.Equal(table.Due(10.2), []quarantiner.Part{whole})
}
