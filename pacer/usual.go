package pacer

import "apricotspool/namer"

const (
	// usualQuantile is the part of the answers that take the usual time or less.
	usualQuantile = 0.9
	// usualStep is the change of the usual time with an answer, relative to it.
	usualStep = 0.1
	// lateFactor is the multiple of the time that the kind takes at which an answer is late. Sound endpoints of one kind
	// differ by a factor of two in speed.
	lateFactor = 2
	// enoughAnswers is the number of answers that tell what is usual.
	enoughAnswers = 8
)

// Usual tells how long endpoints of a kind take until the first event, beyond the time that is expected from their work. It
// is learned from endpoints without a bound.
type Usual struct {
	beyond  namer.Seconds
	answers int
}

// Observe learns from the time that an answer took.
func (u *Usual) Observe(took, expected namer.Seconds) {
	beyond := max(0, took-expected)
	if u.answers++; u.answers == 1 || (u.beyond == 0 && beyond > 0) {
		u.beyond = beyond
		return
	}
	if beyond > u.beyond {
		u.beyond += usualQuantile * usualStep * u.beyond
		return
	}
	u.beyond -= (1 - usualQuantile) * usualStep * u.beyond
}

// Known reports whether there were enough answers.
func (u *Usual) Known() bool { return u.answers >= enoughAnswers }

// Time returns how long an answer takes beyond the expected time.
func (u *Usual) Time() namer.Seconds { return u.beyond }

// Late reports whether an answer took, or has taken, much longer than one of the kind.
func (u *Usual) Late(took, expected namer.Seconds) bool {
	return u.Known() && took > lateFactor*(expected+u.beyond)
}
