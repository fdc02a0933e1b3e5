package estimator

// line learns y = base + slope*x online, where y is a cost relative to a prior and x a load. It uses
// normalised least mean squares, which needs no matrix and stays stable while x hardly changes.
type line struct {
	base, slope float64
	samples     float64
	streak      int // consecutive clipped errors, signed by their direction
}

const (
	// Smallest step after many samples; the estimate then follows a change within about 20 samples.
	minStep = 0.05
	maxStep = 0.4
	// Errors are clipped relative to the prediction, so that one outlier moves it by a few per cent.
	clipUp   = 1.0
	clipDown = -0.5
	// After so many clipped errors on one side the level has changed and the step grows.
	shiftStreak = 4
	minBase     = 0.02
)

func (l *line) at(x float64) float64 { return l.base + l.slope*x }

// learn takes one observation; weight from 0 to 1 scales its influence. Bias from 0 to 1 scales
// corrections upwards: below 1 the line follows a lower quantile, for observations that contain
// delays by unseen work.
func (l *line) learn(x, y, weight, bias float64) {
	predicted := l.at(x)
	step := max(minStep, maxStep/(1+l.samples/4)) * weight
	relative := y/predicted - 1
	switch {
	case relative > clipUp:
		relative = clipUp
		l.streak = max(l.streak, 0) + 1
	case relative < clipDown:
		relative = clipDown
		l.streak = min(l.streak, 0) - 1
	default:
		l.streak = 0
	}
	if l.streak >= shiftStreak || l.streak <= -shiftStreak {
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
