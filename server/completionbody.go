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

// bytesPerToken is the usual estimate for English text; the estimator corrects what follows from it.
const bytesPerToken = 4

// completion is a decoded body of the OpenAI-compatible API, as far as the daemon needs it.
type completion struct {
	Service   namer.Service // empty unless the model is named as "service/model"
	Model     namer.Model
	Stream    bool
	Usage     bool // the caller wants usage in the stream
	MaxTokens namer.Tokens
	Prompt    namer.Tokens
	Prefix    []uint64
	Body      []byte // the body for the engine, which always streams
}

// completionFields are the members that the daemon reads; all others pass through unread.
type completionFields struct {
	model, prompt, messages, options jsontext.Value
}

// parseCompletion checks and decodes a body. It accepts unknown members and refuses doubled ones.
func parseCompletion(operation generator.Operation, body []byte) (*completion, error) {
	c := &completion{Body: make([]byte, 0, len(body)+64)}
	var fields completionFields
	if err := c.members(body, &fields); err != nil {
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
	if err := c.options(fields.options); err != nil {
		return nil, err
	}
	c.Prompt = namer.Tokens(len(prompt)/bytesPerToken + 1)
	c.Prefix = prefixHashes(c.Model, prompt)
	return c, nil
}

// members reads the top-level object and copies it to the engine's body without the members that
// the daemon sets itself.
func (c *completion) members(body []byte, fields *completionFields) error {
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
		if err := c.member(name, value.Clone(), fields); err != nil {
			return err
		}
	}
	if _, err := in.ReadToken(); err != nil {
		return errors.Wrap(err, "body")
	}
	if len(bytes.TrimSpace(body[in.InputOffset():])) > 0 {
		return errors.New("body: data follows the JSON object")
	}
	return nil
}

func (c *completion) member(name string, value jsontext.Value, fields *completionFields) error {
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
		return errors.Wrap(plain(err), "/stream: expected true or false")
	case "max_tokens", "max_completion_tokens":
		if value.Kind() != 'n' {
			err = json.Unmarshal(value, &c.MaxTokens)
		}
		if err != nil || c.MaxTokens < 0 {
			return errors.Errorf("/%s: expected a whole number that is not negative", name)
		}
	case "n", "best_of":
		if string(value) != "1" && value.Kind() != 'n' {
			return errors.Errorf("/%s: only 1 is allowed, because a stream carries one answer", name)
		}
	case generator.ContinuationField:
		return errors.Errorf("/%s: this member is reserved", name)
	}
	c.Body = appendMember(c.Body, name, value)
	return nil
}

// setModel splits "service/model"; the engine knows only the model.
func (c *completion) setModel(value jsontext.Value) error {
	var name string
	if json.Unmarshal(value, &name) != nil {
		return errors.New("/model: expected the name of a model")
	}
	service, model, split := strings.Cut(name, "/")
	if !split {
		service, model = "", name
	}
	if split && c.Service.UnmarshalText([]byte(service)) != nil || c.Model.UnmarshalText([]byte(model)) != nil {
		return errors.New("/model: expected the name of a model, or of a service and a model with a slash between them")
	}
	c.Body = append(appendMember(c.Body, "model", nil), strconv.Quote(model)...)
	return nil
}

func plain(err error) error {
	if err != nil {
		return errors.New("value is not valid")
	}
	return nil
}

func appendMember(to []byte, name string, value []byte) []byte {
	if len(to) > 1 {
		to = append(to, ',')
	}
	to, _ = jsontext.AppendQuote(to, name) // the decoder has checked the name
	return append(append(to, ':'), value...)
}

// options completes the engine's body. A caller that does not stream gets the usage in any case.
func (c *completion) options(value jsontext.Value) error {
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if len(value) > 0 && value.Kind() != 'n' {
		if err := json.Unmarshal(value, &options); err != nil {
			return errors.New("/stream_options: expected an object with include_usage")
		}
	}
	c.Usage = options.IncludeUsage
	c.Body = append(c.Body, `,"stream":true`...)
	if c.Usage || !c.Stream {
		c.Body = append(c.Body, `,"stream_options":{"include_usage":true}`...)
	}
	c.Body = append(c.Body, '}')
	return nil
}

// prefixHashes hashes the leading blocks of a prompt's JSON text. A conversation that goes on shares
// the text of its earlier turns, so equal texts stand for equal tokens.
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
