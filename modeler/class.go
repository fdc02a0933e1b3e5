// Package modeler simulates engines and plain services in virtual time, to evaluate scheduling
// decisions. A model is a plain value driven by one caller. Times are durations since the start of the
// run; Advance moves the model forward and returns its events. A model starts no goroutines and reads
// no clock.
package modeler

import (
	"time"

	"apricotspool/namer"
)

// Class holds the cost constants and limits of one kind of engine: a model, its accelerators and its
// settings.
type Class struct {
	// StepBase is the fixed cost of a step: reading the weights and launching kernels.
	StepBase time.Duration
	// PrefillToken is the cost of the matrix products of one prompt token.
	PrefillToken time.Duration
	// Attention is the cost in seconds of one prompt token per preceding token.
	Attention float64
	// Sequence is the cost of one decoding sequence in a step: sampling and matrix products.
	Sequence time.Duration
	// KVRead is the cost in seconds of reading the KV cache of one token in a decode step.
	KVRead float64
	// KVTokens is the size of the KV memory in tokens.
	KVTokens namer.Tokens
	// MaxSequences is the maximum number of sequences that hold KV memory.
	MaxSequences int
	// StepTokens is the token budget per step of an engine that decodes.
	StepTokens namer.Tokens
	// PrefillStepTokens is the token budget per step of an engine with the prefill role.
	PrefillStepTokens namer.Tokens
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens namer.Tokens
	// ExportRate is the bandwidth of KV cache exports in tokens per second.
	ExportRate float64
}

// Large70B is a model of 70 billion parameters with 8-bit weights on four accelerators of 80 GB.
//
// StepBase: reading 70 GB of weights at 4 x 2 TB/s effective takes 9 ms, plus 2 ms of kernel launches.
// PrefillToken: 140 GFLOP per token at 1.9 PFLOP/s effective take 75 us.
// Attention: 80 layers x 4 x 8192 are 2.6 MFLOP per pair of tokens, about 1 ns at high utilisation.
// KVTokens and KVRead: 320 kB per token; the 128 GB left by weights and activations hold 400,000
// tokens, and 8 TB/s read one token in 40 ns.
// StepTokens: 256 prompt tokens preceded by 20,000 tokens take a step of 35 ms, which keeps the time
// between tokens under 44 ms with a few dozen sequences; 512 would take 60 ms.
// PrefillStepTokens: an engine with the prefill role decodes nothing; with 2,048 prompt tokens the base
// is under 7% of a step, and an urgent prompt waits about 0.2 s for its first step.
// CacheTokens: 32 GB of host memory in addition to the KV memory hold 100,000 tokens.
// ExportRate: a link of 200 Gbit/s carries 78,000 tokens of 320 kB per second.
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

// Large70B16 is Large70B with 16-bit weights. Reading 140 GB takes 17.5 ms, so StepBase is 19.5 ms and
// only 128 prompt tokens fit into a 44 ms step with a few dozen sequences. Most of a mixed step is then
// base cost, and the prefill role speeds prefill up by a factor of three.
var Large70B16 = large70B16()

func large70B16() Class {
	class := Large70B
	class.StepBase, class.StepTokens = 19500*time.Microsecond, 128
	return class
}

// Medium13B is a model of 13 billion parameters with 8-bit weights on one accelerator of 80 GB.
//
// The constants are derived as for Large70B: 13 GB at 2 TB/s take 6.5 ms, plus 1 ms of kernel launches;
// 26 GFLOP per token at 0.48 PFLOP/s take 55 us; 40 layers of 5,120 on one accelerator take 1.3 ns per
// pair of tokens; with 200 kB of KV cache per token, 55 GB hold 275,000 tokens, one is read in 100 ns,
// and 200 Gbit/s carry 125,000 per second.
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

// PrefillRate returns the tokens per second at which an idle engine processes a short prompt.
func (c Class) PrefillRate() float64 {
	step := c.StepBase + time.Duration(c.StepTokens)*c.PrefillToken
	return float64(c.StepTokens) / step.Seconds()
}

// DecodeRate returns the tokens per second of a single stream with a short context.
func (c Class) DecodeRate() float64 {
	return 1 / (c.StepBase + c.Sequence).Seconds()
}
