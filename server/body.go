package server

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"apricotspool/decider"
	"apricotspool/namer"
)

// bytesPerToken estimates the length of a prompt before an engine has counted it; English text has
// about four characters a token.
const bytesPerToken = 4

// maxPrefixBlocks bounds the blocks that are hashed for prefix affinity: 64 blocks of 256 tokens.
const maxPrefixBlocks = 64

// completionBody holds the fields of a completion request that decisions need. The engine gets the
// whole body.
type completionBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

// readBody reads at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	return body, errors.Wrap(err, "read request body")
}

func parseCompletion(body []byte) (completionBody, error) {
	var parsed completionBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return parsed, errors.Wrap(err, "request body is not valid JSON")
	}
	if parsed.Model == "" {
		return parsed, errors.New("field \"model\" is required")
	}
	if parsed.MaxTokens < 0 || parsed.MaxCompletionTokens < 0 {
		return parsed, errors.New("field \"max_tokens\" must not be negative")
	}
	return parsed, nil
}

// prompt returns the bytes that the engine processes before the first token.
func (b completionBody) prompt() []byte {
	if len(b.Messages) > 0 {
		return b.Messages
	}
	return b.Prompt
}

func (b completionBody) maxTokens() namer.Tokens {
	return namer.Tokens(max(b.MaxTokens, b.MaxCompletionTokens))
}

func (b completionBody) promptTokens() namer.Tokens {
	return namer.Tokens(len(b.prompt())/bytesPerToken + 1)
}

// prefixHashes hashes the leading blocks of the prompt, each together with all before it.
func (b completionBody) prefixHashes() []uint64 {
	block := int(decider.PrefixBlock) * bytesPerToken
	prompt := b.prompt()
	var hashes []uint64
	digest := xxhash.New()
	for len(prompt) >= block && len(hashes) < maxPrefixBlocks {
		digest.Write(prompt[:block])
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[block:]
	}
	return hashes
}

// splitModel separates "service/model" into its parts; without a slash the service is empty.
func splitModel(name string) (namer.Service, namer.Model) {
	if service, model, ok := strings.Cut(name, "/"); ok {
		return namer.Service(service), namer.Model(model)
	}
	return "", namer.Model(name)
}
