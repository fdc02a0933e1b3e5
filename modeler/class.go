// Package modeler models engines and plain services in virtual time, for measurements of decisions.
// A model is a plain value driven by one caller: times are durations since the start of the run,
// Advance carries the model forward and returns what happened. It starts no goroutine and reads no clock.
package modeler

import (
	"time"

	"apricotspool/namer"
)

// Class holds the constants of one kind of engine: a model on its accelerators with its settings.
type Class struct {
	// StepBase is the cost of a step without any token: reading the weights and launching kernels.
	StepBase time.Duration
	// PrefillToken is the cost of the matrix products of one prompt token.
	PrefillToken time.Duration
	// Attention is the cost in seconds of one prompt token for each token before it.
	Attention float64
	// Sequence is the cost of one decoding sequence in a step: sampling and its matrix products.
	Sequence time.Duration
	// KVRead is the cost in seconds of reading the KV cache of one token in a decoding step.
	KVRead float64
	// KVTokens is the size of the KV memory.
	KVTokens namer.Tokens
	// MaxSequences bounds the sequences that hold KV memory.
	MaxSequences int
	// StepTokens is the token budget of one step of an engine that decodes.
	StepTokens namer.Tokens
	// PrefillStepTokens is the token budget of one step of an engine with the prefill role.
	PrefillStepTokens namer.Tokens
	// CacheTokens is the size of the prefix cache.
	CacheTokens namer.Tokens
	// ExportRate is the rate in tokens a second at which KV caches leave the engine.
	ExportRate float64
}

// Large70B is a model of 70 billion parameters with 8-bit weights on four accelerators of 80 GB.
//
// Weights: 70 GB at 4 x 2 TB/s effective are 9 ms, and 2 ms of launches make StepBase 11 ms.
// Prefill: 140 GFLOP for each token at 1.9 PFLOP/s effective are 75 us.
// Attention: 80 layers x 4 x 8192 are 2.6 MFLOP for each pair of tokens, about 1 ns at a high utilisation.
// KV: 320 kB for each token; the 128 GB left by weights and activations hold 400,000 tokens, and
// 8 TB/s read one token in 40 ns.
// StepTokens: 256 prompt tokens with 20,000 tokens before them make a step of 35 ms, which keeps the
// time between tokens under 44 ms with a few dozen sequences; 512 would take 60 ms.
// PrefillStepTokens: nothing decodes on an engine with the prefill role; 2,048 prompt tokens bring the
// base to under 7% of a step and let an urgent prompt in after about 0.2 s.
// CacheTokens: 32 GB of host memory beside the KV memory hold 100,000 tokens.
// ExportRate: a link of 200 Gbit/s carries 78,000 tokens of 320 kB a second.
var Large70B = Class{
	StepBase:     11 * time.Millisecond,
	PrefillToken: 75 * time.Microsecond,
	Attention:    1e-9,
	Sequence:     30 * time.Microsecond,
	KVRead:       40e-9,
	KVTokens:     400_000,
	MaxSequences: 128,
	StepTokens:   256,

	PrefillStepTokens: 2048,
	CacheTokens:       100_000,
	ExportRate:        78_000,
}

// Large70B16 is the same model with 16-bit weights. Reading 140 GB takes 17.5 ms, which makes StepBase
// 19.5 ms, so that only 128 tokens fit into a step beside a few dozen sequences within 44 ms. The
// base is then most of a mixed step, and engines with the prefill role gain a factor of three.
var Large70B16 = large70B16()

func large70B16() Class {
	class := Large70B
	class.StepBase, class.StepTokens = 19500*time.Microsecond, 128
	return class
}

// Medium13B is a model of 13 billion parameters with 8-bit weights on one accelerator of 80 GB.
//
// The constants follow from those of Large70B: 13 GB at 2 TB/s are 6.5 ms and 1 ms of launches; 26
// GFLOP for each token at 0.48 PFLOP/s are 55 us; 40 layers of 5,120 on one accelerator take 1.3 ns
// for each pair of tokens; 200 kB of KV cache for each token, of which 55 GB hold 275,000, are read in
// 100 ns and leave over 200 Gbit/s at 125,000 a second.
var Medium13B = Class{
	StepBase:     7500 * time.Microsecond,
	PrefillToken: 55 * time.Microsecond,
	Attention:    1.3e-9,
	Sequence:     30 * time.Microsecond,
	KVRead:       100e-9,
	KVTokens:     275_000,
	MaxSequences: 128,
	StepTokens:   256,

	PrefillStepTokens: 2048,
	CacheTokens:       100_000,
	ExportRate:        125_000,
}

// PrefillRate is the rate in tokens a second at which an idle engine processes a short prompt.
func (c Class) PrefillRate() float64 {
	step := c.StepBase + time.Duration(c.StepTokens)*c.PrefillToken
	return float64(c.StepTokens) / step.Seconds()
}

// DecodeRate is the rate in tokens a second of a single stream with a short context.
func (c Class) DecodeRate() float64 {
	return 1 / (c.StepBase + c.Sequence).Seconds()
}
