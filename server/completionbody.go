package server

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"

	"apricotspool/decider"
	"apricotspool/generator"
	"apricotspool/namer"
)

// bytesPerToken is the usual estimate for English text. Package estimator corrects the resulting error.
const bytesPerToken = 4

// completionRequest holds what the daemon needs from a request body of the OpenAI-compatible API.
type completionRequest struct {
	Service      namer.Service // empty unless the request names "service/model"
	Model        namer.Model
	Stream       bool
	IncludeUsage bool // whether the caller wants usage in the stream
	MaxTokens    namer.Tokens
	PromptTokens namer.Tokens
	Prefix       []uint64
	Body         []byte // the body for the engine; it always requests a stream
}

// completionFields holds the members that are interpreted after the whole body has been read. Members that the
// daemon does not know are copied to the engine's body without interpretation.
type completionFields struct {
	model, prompt, messages, options jsontext.Value
}

// parseCompletion validates and decodes a body. It accepts unknown members and rejects duplicate ones.
func parseCompletion(operation generator.Operation, body []byte) (*completionRequest, error) {
	c := &completionRequest{Body: make([]byte, 0, len(body)+64)}
	var fields completionFields
	if err := c.parseObject(body, &fields); err != nil {
		return nil, err
	}
	if len(fields.model) == 0 {
		return nil, errors.New("/model: a model is required")
	}
	prompt, name := fields.messages, "/messages"
	if operation == generator.Completions {
		prompt, name = fields.prompt, "/prompt"
	}
	if len(prompt) == 0 {
		return nil, errors.Errorf("%s: a prompt is required", name)
	}
	if operation == generator.ChatCompletions && prompt.Kind() != '[' {
		return nil, errors.New("/messages: expected an array")
	}
	if err := c.finishBody(fields.options); err != nil {
		return nil, err
	}
	c.PromptTokens = namer.Tokens(len(prompt)/bytesPerToken + 1)
	c.Prefix = prefixHashes(c.Model, prompt)
	return c, nil
}

// parseObject reads the top-level object and copies it to the engine's body, except for the members that the
// daemon sets itself.
func (c *completionRequest) parseObject(body []byte, fields *completionFields) error {
	in := jsontext.NewDecoder(bytes.NewReader(body))
	if token, err := in.ReadToken(); err != nil || token.Kind() != '{' {
		return errors.New("body: expected a JSON object")
	}
	c.Body = append(c.Body, '{')
	for in.PeekKind() != '}' {
		token, err := in.ReadToken()
		if err != nil {
			return errors.Wrap(err, "body")
		}
		name := token.String()
		value, err := in.ReadValue()
		if err != nil {
			return errors.Wrap(err, "body")
		}
		if err := c.parseMember(name, value.Clone(), fields); err != nil {
			return err
		}
	}
	if _, err := in.ReadToken(); err != nil {
		return errors.Wrap(err, "body")
	}
	if len(bytes.TrimSpace(body[in.InputOffset():])) > 0 {
		return errors.New("body: unexpected data after the JSON object")
	}
	return nil
}

func (c *completionRequest) parseMember(name string, value jsontext.Value, fields *completionFields) error {
	var err error
	switch name {
	case "model":
		fields.model = value
		return c.setModel(value)
	case "prompt":
		fields.prompt = value
	case "messages":
		fields.messages = value
	case "stream_options":
		fields.options = value
		return nil
	case "stream":
		if value.Kind() != 'n' {
			err = json.Unmarshal(value, &c.Stream)
		}
		return errors.Wrap(withoutDetail(err), "/stream: expected true or false")
	case "max_tokens", "max_completion_tokens":
		if value.Kind() != 'n' {
			err = json.Unmarshal(value, &c.MaxTokens)
		}
		if err != nil || c.MaxTokens < 0 {
			return errors.Errorf("/%s: expected a non-negative integer", name)
		}
	case "n", "best_of":
		if string(value) != "1" && value.Kind() != 'n' {
			return errors.Errorf("/%s: only 1 is supported, because a stream carries a single choice", name)
		}
	case generator.ContinuationField:
		return errors.Errorf("/%s: reserved member", name)
	}
	c.Body = appendMember(c.Body, name, value)
	return nil
}

// setModel parses "model" or "service/model". Only the model is sent to the engine.
func (c *completionRequest) setModel(value jsontext.Value) error {
	var name string
	if json.Unmarshal(value, &name) != nil {
		return errors.New("/model: expected the name of a model")
	}
	service, model, split := strings.Cut(name, "/")
	if !split {
		service, model = "", name
	}
	if split && c.Service.UnmarshalText([]byte(service)) != nil || c.Model.UnmarshalText([]byte(model)) != nil {
		return errors.New("/model: expected model or service/model")
	}
	c.Body = append(appendMember(c.Body, "model", nil), strconv.Quote(model)...)
	return nil
}

// withoutDetail replaces an error of the JSON decoder, whose text is not meant for callers.
func withoutDetail(err error) error {
	if err != nil {
		return errors.New("invalid value")
	}
	return nil
}

func appendMember(to []byte, name string, value []byte) []byte {
	if len(to) > 1 {
		to = append(to, ',')
	}
	to, _ = jsontext.AppendQuote(to, name) // can't fail: the decoder has validated the name
	return append(append(to, ':'), value...)
}

// finishBody appends the stream options to the engine's body and closes it. Usage is always requested for a
// caller that does not stream.
func (c *completionRequest) finishBody(value jsontext.Value) error {
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if len(value) > 0 && value.Kind() != 'n' {
		if err := json.Unmarshal(value, &options); err != nil {
			return errors.New("/stream_options: expected an object with include_usage")
		}
	}
	c.IncludeUsage = options.IncludeUsage
	c.Body = append(c.Body, `,"stream":true`...)
	if c.IncludeUsage || !c.Stream {
		c.Body = append(c.Body, `,"stream_options":{"include_usage":true}`...)
	}
	c.Body = append(c.Body, '}')
	return nil
}

// prefixHashes returns the hash of the prompt's JSON text up to the end of each complete block. Requests of a
// conversation share the text of its earlier turns, so equal text is used as an approximation of equal tokens.
func prefixHashes(model namer.Model, prompt []byte) []uint64 {
	const block = int(decider.PrefixBlock) * bytesPerToken
	digest := xxhash.New()
	digest.WriteString(string(model) + "\n")
	hashes := make([]uint64, 0, len(prompt)/block)
	for ; len(prompt) >= block; prompt = prompt[block:] {
		digest.Write(prompt[:block])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
