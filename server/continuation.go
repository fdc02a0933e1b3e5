package server

import (
	"encoding/binary"
	"encoding/json"
	"strings"
)

// continuation records the chunks delivered to a caller, so that another engine can continue after them.
// The chunks of a stream are similar except for their text, so each is delta-encoded against an earlier
// one. They are decoded only when an attempt fails.
type continuation struct {
	encoded        []byte // per chunk: lengths of the common prefix, the common suffix and the rest, followed by the rest
	base           []byte // chunk that the next one is encoded against
	text           strings.Builder
	finished       bool // whether a finish reason was delivered
	notContinuable bool // whether output other than text was delivered, after which no engine can continue
}

// add records a delivered chunk.
func (c *continuation) add(data []byte) {
	start := commonPrefixLen(c.base, data)
	end := commonSuffixLen(c.base[start:], data[start:])
	rest := data[start : len(data)-end]
	c.encoded = binary.AppendUvarint(c.encoded, uint64(start))
	c.encoded = binary.AppendUvarint(c.encoded, uint64(end))
	c.encoded = binary.AppendUvarint(c.encoded, uint64(len(rest)))
	c.encoded = append(c.encoded, rest...)
	c.updateBase(data, len(rest))
}

// updateBase makes a chunk the new base if it shares little with the current one. add and decode both call it,
// so that they use the same base.
func (c *continuation) updateBase(data []byte, restLen int) {
	if restLen > len(data)/2 {
		c.base = append(c.base[:0], data...)
	}
}

func commonPrefixLen(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func commonSuffixLen(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}

// decode sets text, finished and notContinuable from all recorded chunks.
func (c *continuation) decode() {
	c.text.Reset()
	c.base, c.finished, c.notContinuable = nil, false, false
	var data []byte
	for rest := c.encoded; len(rest) > 0; {
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
		c.parseChunk(data)
		c.updateBase(data, int(size))
	}
}

func (c *continuation) parseChunk(data []byte) {
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
		c.notContinuable = true
		return
	}
	for _, choice := range chunk.Choices {
		c.text.WriteString(choice.Text)
		c.text.WriteString(choice.Delta.Content)
		c.finished = c.finished || choice.FinishReason != nil
		c.notContinuable = c.notContinuable || choice.Delta.Reasoning != "" || (len(choice.Delta.ToolCalls) > 0 && string(choice.Delta.ToolCalls) != "null")
	}
}
