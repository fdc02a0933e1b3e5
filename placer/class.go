package placer

import "apricotspool/namer"

// A class is the priority of a request at its engine; 0 is the first. Requests that can meet their target
// have the classes of their rank. Within a rank, shorter prompts go first, since engines finish what they
// have begun.
const (
	// classes is the number of classes.
	classes = 10
	// lateClass is the class of requests that can't meet their target. They only use capacity that the others
	// leave.
	lateClass = classes - 1
	// classesPerRank is the number of classes of a rank. Ranks after maxRank share its classes.
	classesPerRank = 3
	maxRank        = lateClass/classesPerRank - 1
)

// Processing times at which a prompt counts as medium and as long, relative to its target.
const (
	mediumPromptShare = 1.0 / 8
	longPromptShare   = 1.0 / 3
)

func (q *request) class() int {
	if q.late {
		return lateClass
	}
	return min(max(q.Priority, 0), maxRank)*classesPerRank + q.size()
}

// size returns 0 for a short prompt, 1 for a medium and 2 for a long one.
func (q *request) size() int {
	tokens := max(1, float64(q.PromptTokens)-q.prefixTokens())
	took, target := namer.Seconds(tokens/q.pool.prefillRate(namer.RolePrefill)), namer.SecondsOf(q.Target)
	switch {
	case target <= 0 || took <= mediumPromptShare*target:
		return 0
	case took <= longPromptShare*target:
		return 1
	}
	return 2
}
