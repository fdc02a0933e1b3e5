package dispatcher_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/namer"
)

// Guards against a daemon that says that it is ready while its core never finishes a decision, and against a log that
// doesn't show where.
func TestStalledCoreIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		core := &scriptedCore{arrive: func(r decider.Request) []decider.Action {
			<-release
			return dispatch(r)
		}}
		var log bytes.Buffer
		d := &dispatcher.Dispatcher{Core: core, Log: zerolog.New(&log)}
		ctx, stop := context.WithCancel(t.Context())
		go d.Run(ctx)
		time.Sleep(10 * time.Second) // an idle core isn't stalled
		is.True(!d.Stalled())
		ticket, err := d.Submit(ctx, decider.Request{ID: namer.NewStreamID()})
		is.NoErr(err)
		time.Sleep(1500 * time.Millisecond)
		is.True(!d.Stalled()) // it may only be slow
		time.Sleep(time.Second)
		is.True(d.Stalled())
		close(release)
		time.Sleep(500 * time.Millisecond)
		is.True(!d.Stalled())
		is.Equal((<-ticket.Actions()).Kind, decider.ActionDispatch)
		stop()
		<-d.Done()
		synctest.Wait()
		is.True(strings.Contains(log.String(), `"message":"decisions-stalled"`))
		is.True(strings.Contains(log.String(), "TestStalledCoreIsReported")) // the function in which the core waits
		is.True(strings.Contains(log.String(), `"message":"decisions-resumed"`))
	})
}
