// Package recorder provides logging and metrics. Logs have one line per event, with key=value pairs or as
// JSON.
package recorder

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Nanoseconds, since events of one request are less than 1 ms apart.
func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// NewLogger returns a logger that writes key=value lines to w.
func NewLogger(w io.Writer) zerolog.Logger {
	console := zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: time.RFC3339Nano}
	console.FormatTimestamp = func(v any) string { return formatPair("time", v) }
	console.FormatLevel = func(v any) string { return formatPair("level", v) }
	console.FormatMessage = func(v any) string { return formatPair("event", v) }
	return zerolog.New(console).With().Timestamp().Logger()
}
