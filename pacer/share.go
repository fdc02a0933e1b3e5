package pacer

import (
	"apricotspool/namer"
	"apricotspool/throttler"
)

// Share is one daemon's part of a window where each daemon decides for itself. Set Phase before the first use.
type Share struct {
	Phase float64 // from 0 to 1, spreads the turns of the daemons
	turns throttler.Share
}

// Take takes a place in the window of p, which so many daemons share. Where the window has a place for each, this daemon's
// part is all that counts. Otherwise it has one place at a time and takes turns with the others, in the time in which the
// endpoint answers. unanswered are the requests of this daemon.
func (s *Share) Take(now namer.Seconds, p *Pace, usual namer.Seconds, daemons, unanswered int) bool {
	daemons = max(1, daemons)
	part := p.window / float64(daemons)
	switch {
	case p.window == 0:
		return true
	case part >= 1:
		return float64(unanswered+1) <= part
	case unanswered > 0:
		return false
	}
	s.turns.Phase = s.Phase
	// The shares of a throttler leave half of the rate to its bucket, which isn't used here.
	rate := namer.Rate(2 * p.window / max(float64(max(usual, p.slow)), minTime))
	return s.turns.Take(now, throttler.Statement{Limited: true, Rate: rate}, daemons) == 0
}

// minTime avoids a division by zero.
const minTime = 1e-6
