// Package recorder writes logs as one line of key=value pairs for each event and keeps the metrics.
// It owns the process' metric set.
package recorder

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Decisions of one request are less than a millisecond apart.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// NewLogger returns a logger that writes key=value lines to w.
func NewLogger(w io.Writer) zerolog.Logger {
	console := zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: time.RFC3339Nano}
	console.FormatTimestamp = func(v any) string { return pair("time", v) }
	console.FormatLevel = func(v any) string { return pair("level", v) }
	console.FormatMessage = func(v any) string { return pair("event", v) }
	return zerolog.New(console).With().Timestamp().Logger()
}
