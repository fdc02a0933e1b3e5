package recorder_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"apricotspool/recorder"
)

// blockedWriter is an output that blocks until unblock is closed, like one whose reader has stopped.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	lines   bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines.Write(p)
}

func (s *blockedWriter) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines.String()
}

// Guards against a daemon that blocks while nobody reads its log.
func TestWritersDoNotBlockOnLogReader(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{unblock: make(chan struct{})}
	log := recorder.NewAsyncLogger(out, zerolog.InfoLevel)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range 10_000 {
			log.Events.Info().Int("n", i).Msg("event")
		}
	}()
	select {
	case <-written:
	case <-time.After(30 * time.Second):
		t.Fatal("writing a log line blocked on the log reader for 30 s")
	}
	close(out.unblock)
	is.NoErr(log.Close())
	is.True(log.Dropped() > 0)
}

// Guards against a log that grows with the load, and against dropped lines that are not reported. Events of
// the daemon are kept regardless of the number of requests.
func TestRequestLinesAreRateLimited(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{unblock: make(chan struct{})}
	close(out.unblock)
	log := recorder.NewAsyncLogger(out, zerolog.InfoLevel)
	ctx, stop := context.WithCancel(t.Context())
	go log.Run(ctx)
	const sent = 10_000
	for i := range sent {
		log.Requests.Info().Int("n", i).Msg("request-ended")
	}
	log.Events.Info().Msg("configuration-in-force")
	log.Requests.Warn().Msg("attempt-failed")
	for limit := time.Now().Add(30 * time.Second); !strings.Contains(out.text(), "log-lines-dropped"); {
		if time.Now().After(limit) {
			t.Fatal("no log-lines-dropped event within 30 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
	stop()
	<-log.Done()
	is.NoErr(log.Close())
	text := out.text()
	is.Equal(strings.Count(text, "request-ended"), sent-int(log.Dropped()))
	is.True(log.Dropped() > 0)
	for _, event := range []string{"configuration-in-force", "attempt-failed", "log-lines-dropped"} {
		is.True(strings.Contains(text, event))
	}
	for line := range strings.Lines(text) {
		var fields map[string]any
		is.NoErr(json.Unmarshal([]byte(line), &fields))
	}
}
