package matcher

import (
	"fmt"
	"io"

	"apricotspool/namer"
)

// Workspace is an owner of API keys.
type Workspace struct {
	Name namer.Caller
	Keys []Key
	// Priority replaces that of the route if HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
}

// Key is an API key. Formatting and encoding hide its text, so that it gets into no log line and no error.
type Key string

const hiddenKey = "[key]"

// Format implements fmt.Formatter for all verbs.
func (Key) Format(f fmt.State, _ rune) { io.WriteString(f, hiddenKey) }

// MarshalText hides the key from encoders.
func (Key) MarshalText() ([]byte, error) { return []byte(hiddenKey), nil }
