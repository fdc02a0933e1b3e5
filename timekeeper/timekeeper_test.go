package timekeeper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/timekeeper"
)

// Guards against a clock that doesn't advance.
func TestNow(t *testing.T) {
	is := is.New(t)
	before, steady := timekeeper.Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed := timekeeper.Now().Sub(before)
	is.True(elapsed >= 20*time.Millisecond)
	is.True(elapsed <= time.Since(steady)+time.Millisecond)
	is.Equal(before.Add(elapsed).Sub(before), elapsed)
}
