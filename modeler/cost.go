package modeler

import "apricotspool/namer"

// LeastCost returns a lower bound in engine seconds on the cost of a request on an engine in any role,
// when the first cached tokens of the prompt need no processing. The least costs of all requests that
// one engine processes in a period never add up to more than the period.
//
// Matrix products, attention and KV cache reads are charged to each request. The base cost of a step is
// shared by its tokens: a prompt token is charged 1/PrefillStepTokens of it, and decode tokens are
// charged what then remains of it in a step with MaxSequences decode tokens and otherwise prompt
// tokens. A step has at most MaxSequences decode tokens, whose contexts fit into the KV memory. A decode
// token may therefore be charged by any fixed mixture of its share of the sequences and its share of
// the memory; memory, in [0, 1], is the weight of the latter.
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
