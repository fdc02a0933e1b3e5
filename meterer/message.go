package meterer

import (
	"slices"

	"github.com/pkg/errors"

	"apricotspool/namer"
)

const (
	// maxMessageBytes bounds the content of a message, so that it fits into a datagram with its envelope.
	maxMessageBytes = 1200
	// maxWindows bounds the windows of a message.
	maxWindows = 16
	// sentWindows is the number of windows whose counts a daemon sends: the current one and those before it.
	sentWindows = 3
)

// Message holds cumulative counts of a daemon. A message may hold some of the workspaces of a window.
type Message struct {
	Incarnation namer.Incarnation
	Windows     []WindowCounts
}

// WindowCounts holds counts of one window.
type WindowCounts struct {
	_      struct{} `cbor:",toarray"`
	Window Window
	Counts Counts
}

// Check returns an error if the message isn't valid.
func (m *Message) Check() error {
	if len(m.Windows) > maxWindows {
		return errors.Errorf("%d windows in a message of counts; at most %d are allowed", len(m.Windows), maxWindows)
	}
	for _, w := range m.Windows {
		if w.Window < 0 {
			return errors.Errorf("window %d is negative", w.Window)
		}
	}
	return nil
}

// split divides the counts of windows among messages. A window without counts is sent too: it shows that its daemon counts.
func split(incarnation namer.Incarnation, windows []WindowCounts) []Message {
	var messages []Message
	current, size := Message{Incarnation: incarnation}, 0
	for _, w := range windows {
		part := WindowCounts{Window: w.Window, Counts: Counts{}}
		size += 16
		for _, workspace := range sortedKeys(w.Counts) {
			bytes := len(workspace) + 2 + 9 // text header and the longest number
			if size+bytes > maxMessageBytes {
				current.Windows = append(current.Windows, part)
				messages = append(messages, current)
				current, part, size = Message{Incarnation: incarnation}, WindowCounts{Window: w.Window, Counts: Counts{}}, 16
			}
			part.Counts[workspace] = w.Counts[workspace]
			size += bytes
		}
		current.Windows = append(current.Windows, part)
	}
	return append(messages, current)
}

func sortedKeys(counts Counts) []namer.Caller {
	keys := make([]namer.Caller, 0, len(counts))
	for workspace := range counts {
		keys = append(keys, workspace)
	}
	slices.Sort(keys)
	return keys
}
