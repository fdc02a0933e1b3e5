package modeler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"apricotspool/namer"
)

// Workload describes one kind of requests and its latency targets. Lengths are sampled log-uniformly,
// since prompts of one kind differ by factors rather than by amounts.
type Workload struct {
	Rank          namer.Rank
	PromptMin     namer.Tokens
	PromptMax     namer.Tokens
	OutputMin     namer.Tokens
	OutputMax     namer.Tokens
	Priority      int
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Draw samples the prompt and output lengths of one request.
func (w Workload) Draw(random *rand.Rand) (prompt, output namer.Tokens) {
	return logUniform(random, w.PromptMin, w.PromptMax), logUniform(random, w.OutputMin, w.OutputMax)
}

func logUniform(random *rand.Rand, low, high namer.Tokens) namer.Tokens {
	ratio := float64(high) / float64(low)
	return namer.Tokens(math.Round(float64(low) * math.Pow(ratio, random.Float64())))
}

// Met reports whether a request met the workload's targets: the time to its first token and the mean
// time between its tokens.
func (w Workload) Met(first, last time.Duration, output namer.Tokens) bool {
	if first > w.FirstToken {
		return false
	}
	return output < 2 || (last-first)/time.Duration(output-1) <= w.BetweenTokens
}

// Share is the relative weight of a workload in a mix, by number of requests.
type Share struct {
	Workload Workload
	Part     float64
}

const (
	// minCalibrationTime is long enough for a hundred requests of the slowest workload.
	minCalibrationTime = 10 * time.Minute
	// calibrationTargetMultiple is the minimum length of a calibration as a multiple of the longest
	// target. An overloaded engine meets a target until its backlog is as long as the target, so the
	// resulting rate is too high by at most the reciprocal of this number.
	calibrationTargetMultiple = 50
	// calibrationSteps is the number of bisection steps, which give a precision of about 0.1%.
	calibrationSteps = 10
	// requiredOnTimeRatio is the fraction of requests that meet their targets at capacity, as in T1.
	requiredOnTimeRatio = 0.95
)

// Capacity returns the highest rate in requests per second at which 95% of the requests of each
// workload in the mix meet their targets on one engine with Poisson arrivals.
func Capacity(class Class, mix []Share, seed uint64) float64 {
	low, high := 0.0, 1.0
	for sustains(class, mix, high, seed) {
		low, high = high, 2*high
	}
	for range calibrationSteps {
		middle := (low + high) / 2
		if sustains(class, mix, middle, seed) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// Throughput returns the requests per second that one saturated engine completes when all requests
// are of one workload, regardless of its targets.
func Throughput(class Class, w Workload, seed uint64) float64 {
	const requests = 200 // the mean of their lengths is within about 4% of the workload's
	random := rand.New(rand.NewPCG(seed, 1))
	engine := &Engine{Name: "calibrated", Class: class, Role: namer.RoleMixed}
	for n := range requests {
		prompt, output := w.Draw(random)
		engine.Submit(0, Job{Stream: namer.StreamID(fmt.Sprint(n)), Prompt: prompt, Output: output})
	}
	events := engine.Advance(24 * time.Hour)
	return requests / events[len(events)-1].At.Seconds()
}

// sustains reports whether one engine meets the targets of a mix at the given rate.
func sustains(class Class, mix []Share, rate float64, seed uint64) bool {
	random := rand.New(rand.NewPCG(seed, 0))
	engine := &Engine{Name: "calibrated", Class: class, Role: namer.RoleMixed}
	jobs := map[namer.StreamID]*calibrationRequest{}
	count := func(events []Event) {
		for _, event := range events {
			jobs[event.Stream].observe(event)
		}
	}
	length := minCalibrationTime
	for _, share := range mix {
		length = max(length, calibrationTargetMultiple*share.Workload.FirstToken)
	}
	now := time.Duration(0)
	for n := 0; ; n++ {
		now += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if now > length {
			break
		}
		kind := pickWorkload(random, mix)
		prompt, output := mix[kind].Workload.Draw(random)
		stream := namer.StreamID(fmt.Sprint(n))
		jobs[stream] = &calibrationRequest{kind: kind, arrived: now}
		engine.Submit(now, Job{Stream: stream, Attempt: 1, Prompt: prompt, Output: output, Priority: mix[kind].Workload.Priority})
		count(engine.Advance(now))
	}
	// Requests that have not finished one minute after the last arrival have missed their targets.
	count(engine.Advance(length + time.Minute))
	return allMet(mix, jobs)
}

func allMet(mix []Share, jobs map[namer.StreamID]*calibrationRequest) bool {
	total := make([]int, len(mix))
	met := make([]int, len(mix))
	for _, j := range jobs {
		total[j.kind]++
		if j.output > 0 && mix[j.kind].Workload.Met(j.first-j.arrived, j.last-j.arrived, j.output) {
			met[j.kind]++
		}
	}
	for kind := range mix {
		if float64(met[kind]) < requiredOnTimeRatio*float64(total[kind]) {
			return false
		}
	}
	return true
}

// calibrationRequest is one request of a calibration.
type calibrationRequest struct {
	kind                 int
	arrived, first, last time.Duration
	output               namer.Tokens
}

func (r *calibrationRequest) observe(e Event) {
	switch e.Kind {
	case JobStarted:
		r.first = e.At
	case JobFinished:
		r.last, r.output = e.At, e.Output
	}
}

func pickWorkload(random *rand.Rand, mix []Share) int {
	total := 0.0
	for _, share := range mix {
		total += share.Part
	}
	at := random.Float64() * total
	for kind, share := range mix {
		if at < share.Part {
			return kind
		}
		at -= share.Part
	}
	return len(mix) - 1
}
