package supervisor_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"apricotspool/supervisor"
)

// Guards against a failed component that is not restarted or is restarted without backoff, and against a
// supervisor that returns before its components.
func TestFailedPartsAreRestartedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var starts []time.Duration
		start := time.Now()
		failing := supervisor.RunFunc(func(context.Context) error {
			starts = append(starts, time.Since(start))
			return errors.New("component failed")
		})
		cleaned := false
		steady := supervisor.RunFunc(func(ctx context.Context) error {
			<-ctx.Done()
			time.Sleep(time.Second)
			cleaned = true
			return ctx.Err()
		})
		s := &supervisor.Supervisor{Children: []supervisor.Child{{Name: "failing", Part: failing}, {Name: "steady", Part: steady}}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		is.True(s.Run(ctx) != nil)
		<-s.Done()
		is.True(cleaned)
		is.True(len(starts) > 10) // after the first few restarts the delay is up to 5 s
		is.True(len(starts) < 40)
		is.True(starts[1] >= supervisor.DefaultMinDelay/2)
		is.True(starts[len(starts)-1]-starts[len(starts)-2] <= supervisor.DefaultMaxDelay)
	})
}
