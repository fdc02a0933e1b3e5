package throttler_test

import (
	"testing"

	"github.com/matryer/is"

	"apricotspool/namer"
	"apricotspool/throttler"
)

func stated(rate namer.Rate, requested, received namer.Seconds) throttler.Statement {
	return throttler.Statement{Limited: true, Rate: rate, RequestedAt: requested, ReceivedAt: received}
}

func unlimited(requested, received namer.Seconds) throttler.Statement {
	return throttler.Statement{RequestedAt: requested, ReceivedAt: received}
}

// Guards against an old response that undoes a newer statement, and against a limit that is never lifted or raised.
func TestLaterStatementHolds(t *testing.T) {
	for name, c := range map[string]struct {
		statements []throttler.Statement
		want       throttler.Statement
	}{
		"none":                    {nil, throttler.Statement{}},
		"first":                   {[]throttler.Statement{stated(5, 1, 2)}, stated(5, 1, 2)},
		"lowered":                 {[]throttler.Statement{stated(5, 1, 2), stated(3, 2, 3)}, stated(3, 2, 3)},
		"raised":                  {[]throttler.Statement{stated(5, 1, 2), stated(8, 2, 3)}, stated(8, 2, 3)},
		"lifted":                  {[]throttler.Statement{stated(5, 1, 2), unlimited(2, 3)}, unlimited(2, 3)},
		"lifted by an overlap":    {[]throttler.Statement{stated(5, 1, 3), unlimited(2, 4)}, stated(5, 1, 3)},
		"raised by an overlap":    {[]throttler.Statement{stated(5, 1, 3), stated(8, 2, 4)}, stated(5, 1, 3)},
		"lowered by an overlap":   {[]throttler.Statement{stated(5, 1, 3), stated(4, 2, 4)}, stated(4, 2, 4)},
		"set again by an overlap": {[]throttler.Statement{stated(5, 1, 2), unlimited(3, 5), stated(5, 4, 6)}, stated(5, 4, 6)},
		"older, through a peer":   {[]throttler.Statement{stated(5, 4, 5), unlimited(1, 2)}, stated(5, 4, 5)},
		"older and stricter":      {[]throttler.Statement{stated(5, 4, 5), stated(1, 1, 2)}, stated(5, 4, 5)},
		"lifted, then older":      {[]throttler.Statement{stated(5, 1, 2), unlimited(3, 4), stated(5, 1, 2)}, unlimited(3, 4)},
	} {
		t.Run(name, func(t *testing.T) {
			var l throttler.Limit
			for _, s := range c.statements {
				l.Update(s)
			}
			is.New(t).Equal(l.Statement(), c.want)
		})
	}
}

// Guards against statements that change nothing and are told to all daemons.
func TestUpdateReportsChanges(t *testing.T) {
	is := is.New(t)
	var l throttler.Limit
	is.True(!l.Update(unlimited(0, 1)))
	is.True(l.Update(stated(5, 1, 2)))
	is.True(!l.Update(stated(5, 2, 3)))
	is.True(l.Update(unlimited(3, 4)))
	is.True(!l.Update(unlimited(4, 5)))
	is.True(l.Known())
	is.True(!l.Limited())
}
