package recorder_test

import (
	"bytes"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/recorder"
)

// Guards against events that span several lines, and against values that break key=value parsing.
func TestEventsAreSingleKeyValueLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := recorder.NewLogger(&out)
	log.Info().Str("endpoint", "engine-1").Str("reason", "two words\nand \"quotes\"").Int("n", 3).Msg("attempt-failed")
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(regexp.MustCompile(`^time=\S+ level=info event=attempt-failed endpoint=engine-1 n=3 reason="two words\\nand \\"quotes\\""\n$`).MatchString(out.String()))
}

// Guards against an outcome or retry reason without a counter.
func TestEveryReasonHasACounter(t *testing.T) {
	is := is.New(t)
	m := recorder.NewMetrics()
	m.Outcome(classifier.QueueFull)
	var out bytes.Buffer
	m.Write(&out)
	for _, o := range classifier.Outcomes() {
		is.True(strings.Contains(out.String(), `apricotspool_outcomes_total{outcome="`+string(o)+`"}`))
	}
	for _, r := range classifier.RetryReasons() {
		is.True(strings.Contains(out.String(), `apricotspool_retries_total{reason="`+string(r)+`"} 0`))
	}
	is.True(strings.Contains(out.String(), `apricotspool_outcomes_total{outcome="queue-full"} 1`))
}
