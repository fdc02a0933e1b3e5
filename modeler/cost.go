package modeler

import "apricotspool/namer"

// LeastCost returns engine seconds that a request takes at least on an engine in any role, when the
// first cached tokens of the prompt need no work. Over all work that one engine does in a time, these
// costs never add up to more than that time.
//
// The matrix products, the attention and the reading of the KV cache are paid by each request on its
// own. The base of a step is shared by the tokens in it: a prompt token pays 1/PrefillStepTokens, and
// a decode token pays the rest of a step that decodes with the fewest prompt tokens left to pay. A
// step has at most MaxSequences decode tokens, whose contexts fit into the KV memory; so a decode
// token may be charged by any fixed mixture of its part of the sequences and its part of the memory,
// and memory in [0, 1] is the weight of the second.
func (c Class) LeastCost(prompt, cached, output namer.Tokens, memory float64) float64 {
	fresh := float64(prompt - cached)
	base := c.StepBase.Seconds()
	perPrompt := c.PrefillToken.Seconds() + base/float64(c.PrefillStepTokens)
	cost := fresh * (perPrompt + c.Attention*(float64(cached)+fresh/2))
	decodes := float64(output - 1)
	context := float64(prompt) + float64(output)/2
	rest := base * (1 - float64(max(0, c.StepTokens-namer.Tokens(c.MaxSequences)))/float64(c.PrefillStepTokens))
	share := (1-memory)/float64(c.MaxSequences) + memory*context/float64(c.KVTokens)
	return cost + decodes*(c.Sequence.Seconds()+c.KVRead*context+rest*share)
}
