package imitator

import (
	"encoding/json"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"apricotspool/generator"
	"apricotspool/namer"
)

// DefaultTokens is the number of output tokens when the request sets no limit.
const DefaultTokens = 16

// bytesPerToken is the usual estimate for English text.
const bytesPerToken = 4

var words = strings.Fields("belt mat width cover core fitter edge roll yard seam tooth pulley carpet weave drive hotel")

// Completion is the complete output of a fake engine for one request. It depends only on the request,
// so that all engines produce the same output and tests can predict it.
type Completion struct {
	PromptTokens namer.Tokens
	Tokens       int // output tokens

	operation    generator.Operation
	model        string
	seed         uint64
	usage        bool
	finish       string
	continuation string
}

type completionRequest struct {
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	Continuation        string `json:"continuation"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// NewCompletion returns the completion for a request body. It has limit tokens when the request sets no
// limit; 0 means DefaultTokens.
func NewCompletion(operation generator.Operation, body []byte, limit int) (*Completion, error) {
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, errors.Wrapf(generator.ErrRejected, "request body: %v", err)
	}
	prompt := request.Prompt
	for _, m := range request.Messages {
		prompt += m.Content + "\n"
	}
	sum := fnv.New64a()
	sum.Write([]byte(prompt))
	c := &Completion{
		PromptTokens: namer.Tokens(len(prompt)/bytesPerToken + 1),
		Tokens:       max(request.MaxTokens, request.MaxCompletionTokens),
		operation:    operation,
		model:        request.Model,
		seed:         sum.Sum64(),
		usage:        request.StreamOptions.IncludeUsage,
		finish:       "length",
		continuation: request.Continuation,
	}
	if c.Tokens == 0 {
		c.Tokens, c.finish = max(limit, 0), "stop"
	}
	if c.Tokens == 0 {
		c.Tokens = DefaultTokens
	}
	return c, nil
}

// Text returns the text of the first n tokens.
func (c *Completion) Text(n int) string {
	var text strings.Builder
	for i := range n {
		text.WriteString(c.token(i))
	}
	return text.String()
}

func (c *Completion) token(i int) string {
	mixed := (c.seed + uint64(i)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return words[mixed>>60] + " "
}

// Chunks returns the number of chunks of the complete output.
func (c *Completion) Chunks() int {
	n := c.leadingChunks() + c.Tokens + 1
	if c.usage {
		n++
	}
	return n
}

// leadingChunks is the number of chunks before the first token: a chat starts with a role chunk.
func (c *Completion) leadingChunks() int {
	if c.operation == generator.ChatCompletions {
		return 1
	}
	return 0
}

// checkContinuation checks that the continuation equals the text of the chunks before index from.
func (c *Completion) checkContinuation(from int) error {
	delivered := min(max(from-c.leadingChunks(), 0), c.Tokens)
	if want := c.Text(delivered); c.continuation != want {
		return errors.Wrapf(generator.ErrRejected, "continuation %q at index %d differs from the output so far, %q", c.continuation, from, want)
	}
	return nil
}

// appendChunk appends the JSON object of one chunk. The protocol requires the stream id to be its
// first member.
func (c *Completion) appendChunk(to []byte, stream namer.StreamID, index int) []byte {
	to = append(append(append(to, `{"id":"`...), stream...), `","object":"`...)
	if c.operation == generator.ChatCompletions {
		to = append(to, `chat.completion.chunk`...)
	} else {
		to = append(to, `text_completion`...)
	}
	to = append(to, `","created":1700000000,"model":`...)
	to = strconv.AppendQuote(to, c.model)
	if index >= c.leadingChunks()+c.Tokens+1 {
		return c.appendUsage(to)
	}
	to = append(to, `,"choices":[{"index":0,`...)
	token := index - c.leadingChunks()
	switch {
	case token >= c.Tokens:
		return append(append(append(to, c.finishDelta()...), c.finish...), `"}]}`...)
	case token < 0:
		to = append(to, `"delta":{"role":"assistant","content":""}`...)
	case c.operation == generator.ChatCompletions:
		to = append(append(append(to, `"delta":{"content":"`...), c.token(token)...), `"}`...)
	default:
		to = append(append(append(to, `"text":"`...), c.token(token)...), '"')
	}
	return append(to, `,"finish_reason":null}]}`...)
}

func (c *Completion) finishDelta() string {
	if c.operation == generator.ChatCompletions {
		return `"delta":{},"finish_reason":"`
	}
	return `"text":"","finish_reason":"`
}

func (c *Completion) appendUsage(to []byte) []byte {
	to = append(to, `,"choices":[],"usage":{"prompt_tokens":`...)
	to = strconv.AppendInt(to, int64(c.PromptTokens), 10)
	to = append(to, `,"completion_tokens":`...)
	to = strconv.AppendInt(to, int64(c.Tokens), 10)
	to = append(to, `,"total_tokens":`...)
	to = strconv.AppendInt(to, int64(c.PromptTokens)+int64(c.Tokens), 10)
	return append(to, `}}`...)
}
