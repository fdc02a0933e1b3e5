package estimator

// linearModel learns y = base + slope*x online, where y is a cost relative to a prior and x is the
// load. It uses normalised least mean squares, which needs no matrix and stays stable while x hardly
// changes.
type linearModel struct {
	base, slope   float64
	samples       float64
	clippedStreak int // number of consecutive clipped errors, negative for errors below the prediction
}

const (
	// minStep is the step after many samples; the estimate then follows a change within about 20.
	minStep = 0.05
	maxStep = 0.4
	// Errors are clipped relative to the prediction, so that an outlier moves it by a few per cent.
	clipUp   = 1.0
	clipDown = -0.5
	// shiftStreak is the number of consecutive clipped errors in one direction that is taken as a change
	// of level; the step is then maxStep.
	shiftStreak = 4
	minBase     = 0.02
)

func (l *linearModel) predict(x float64) float64 { return l.base + l.slope*x }

// learn updates the model with one observation. Weight, from 0 to 1, scales its influence. Bias, from
// 0 to 1, scales upward corrections: below 1 the model follows a lower quantile, for observations that
// include queueing delays.
func (l *linearModel) learn(x, y, weight, bias float64) {
	predicted := l.predict(x)
	step := max(minStep, maxStep/(1+l.samples/4)) * weight
	relative := y/predicted - 1
	switch {
	case relative > clipUp:
		relative = clipUp
		l.clippedStreak = max(l.clippedStreak, 0) + 1
	case relative < clipDown:
		relative = clipDown
		l.clippedStreak = min(l.clippedStreak, 0) - 1
	default:
		l.clippedStreak = 0
	}
	if l.clippedStreak >= shiftStreak || l.clippedStreak <= -shiftStreak {
		step = max(step, maxStep*weight)
	}
	if relative > 0 {
		step *= bias
	}
	gain := step * relative * predicted / (1 + x*x)
	l.base = max(minBase, l.base+gain)
	l.slope = max(0, l.slope+gain*x)
	l.samples += weight
}
