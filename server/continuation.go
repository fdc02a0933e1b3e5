package server

import (
	"encoding/binary"
	"encoding/json"
	"strings"
)

// continuation keeps what a caller has got of an answer, so that another engine can go on after it.
// The chunks of a stream differ in little but their text, so each is kept as its difference from an
// earlier one. They are parsed only when an engine fails.
type continuation struct {
	packed   []byte // for each chunk: lengths of the shared start, the shared end and the rest, and the rest
	base     []byte // chunk that the next one is compared with
	text     strings.Builder
	finished bool // a finish reason was delivered
	opaque   bool // more than text was delivered, which no engine can go on after
}

// add notes a delivered chunk.
func (c *continuation) add(data []byte) {
	start := commonStart(c.base, data)
	end := commonEnd(c.base[start:], data[start:])
	rest := data[start : len(data)-end]
	c.packed = binary.AppendUvarint(c.packed, uint64(start))
	c.packed = binary.AppendUvarint(c.packed, uint64(end))
	c.packed = binary.AppendUvarint(c.packed, uint64(len(rest)))
	c.packed = append(c.packed, rest...)
	c.rebase(data, len(rest))
}

// rebase compares the next chunks with this one when it shares little with the base. Both add and
// parse follow it, so that they agree on the base.
func (c *continuation) rebase(data []byte, different int) {
	if different > len(data)/2 {
		c.base = append(c.base[:0], data...)
	}
}

func commonStart(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonEnd(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}

// parse reads all chunks that were added.
func (c *continuation) parse() {
	c.text.Reset()
	c.base, c.finished, c.opaque = nil, false, false
	var data []byte
	for rest := c.packed; len(rest) > 0; {
		start, n := binary.Uvarint(rest)
		rest = rest[n:]
		end, n := binary.Uvarint(rest)
		rest = rest[n:]
		size, n := binary.Uvarint(rest)
		rest = rest[n:]
		data = append(data[:0], c.base[:start]...)
		data = append(data, rest[:size]...)
		data = append(data, c.base[len(c.base)-int(end):]...)
		rest = rest[size:]
		c.read(data)
		c.rebase(data, int(size))
	}
}

func (c *continuation) read(data []byte) {
	var chunk struct {
		Choices []struct {
			Text         string  `json:"text"`
			FinishReason *string `json:"finish_reason"`
			Delta        struct {
				Content   string          `json:"content"`
				Reasoning string          `json:"reasoning_content"`
				ToolCalls json.RawMessage `json:"tool_calls"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &chunk) != nil {
		c.opaque = true
		return
	}
	for _, choice := range chunk.Choices {
		c.text.WriteString(choice.Text)
		c.text.WriteString(choice.Delta.Content)
		c.finished = c.finished || choice.FinishReason != nil
		c.opaque = c.opaque || choice.Delta.Reasoning != "" || (len(choice.Delta.ToolCalls) > 0 && string(choice.Delta.ToolCalls) != "null")
	}
}
