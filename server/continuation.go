package server

import (
	"encoding/binary"
	"encoding/json"
	"strings"
)

// compactBytes is the size at which delivered chunks are reduced to their text. It keeps the memory
// of a long stream near its text's and the parsing away from streams that end before.
const compactBytes = 64 << 10

// continuation keeps what a caller has got of an answer, so that another engine can go on after it.
// Chunks are only copied; they are parsed when an engine fails or their sum reaches compactBytes.
type continuation struct {
	chunks   []byte // each with its length before it
	text     strings.Builder
	finished bool // a finish reason was delivered
	opaque   bool // more than text was delivered, which no engine can go on after
}

// add notes a delivered chunk.
func (c *continuation) add(data []byte) {
	c.chunks = binary.AppendUvarint(c.chunks, uint64(len(data)))
	c.chunks = append(c.chunks, data...)
	if len(c.chunks) >= compactBytes {
		c.compact()
	}
}

func (c *continuation) compact() {
	for rest := c.chunks; len(rest) > 0; {
		size, n := binary.Uvarint(rest)
		c.read(rest[n : n+int(size)])
		rest = rest[n+int(size):]
	}
	c.chunks = c.chunks[:0]
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
