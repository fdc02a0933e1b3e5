package server

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"apricotspool/generator"
)

// aggregate builds the answer of a request that does not stream out of the chunks of a stream.
type aggregate struct {
	chunk  map[string]any // members of the first chunk
	choice map[string]any
	usage  any
}

// add merges one chunk.
func (a *aggregate) add(data []byte) error {
	in := json.NewDecoder(bytes.NewReader(data))
	in.UseNumber()
	var chunk map[string]any
	if err := in.Decode(&chunk); err != nil {
		return errors.Wrap(err, "chunk")
	}
	if usage := chunk["usage"]; usage != nil {
		a.usage = usage
	}
	choices, _ := chunk["choices"].([]any)
	delete(chunk, "choices")
	delete(chunk, "usage")
	if a.chunk == nil {
		a.chunk = chunk
	}
	if len(choices) > 0 {
		choice, _ := choices[0].(map[string]any)
		a.choice = mergeObject(a.choice, choice)
	}
	return nil
}

// answer returns the JSON body for the caller.
func (a *aggregate) answer(operation generator.Operation) ([]byte, error) {
	if a.chunk == nil || a.choice == nil {
		return nil, errors.New("stream has no choice")
	}
	a.chunk["object"] = "text_completion"
	if operation == generator.ChatCompletions {
		a.chunk["object"] = "chat.completion"
		message, _ := a.choice["delta"].(map[string]any)
		if message == nil {
			message = map[string]any{}
		}
		if _, set := message["role"]; !set {
			message["role"] = "assistant"
		}
		if _, set := message["content"]; !set {
			message["content"] = nil
		}
		delete(a.choice, "delta")
		a.choice["message"] = message
	}
	a.chunk["choices"] = []any{a.choice}
	if a.usage != nil {
		a.chunk["usage"] = a.usage
	}
	return json.Marshal(a.chunk)
}

// whole lists the members whose values come whole; engines may repeat them in each chunk.
var whole = []string{"role", "id", "type", "name", "finish_reason", "object"}

func mergeObject(into, from map[string]any) map[string]any {
	if into == nil {
		into = make(map[string]any, len(from))
	}
	for name, value := range from {
		into[name] = mergeValue(name, into[name], value)
	}
	return into
}

// mergeValue appends text and lists, merges objects and replaces everything else.
func mergeValue(name string, old, value any) any {
	switch value := value.(type) {
	case nil:
		return old
	case string:
		if text, ok := old.(string); ok && !slices.Contains(whole, name) {
			return text + value
		}
	case map[string]any:
		object, _ := old.(map[string]any)
		return mergeObject(object, value)
	case []any:
		list, _ := old.([]any)
		return mergeList(list, value)
	}
	return value
}

// mergeList merges elements that carry the same "index", as parts of one tool call do, and appends the others.
func mergeList(into, from []any) []any {
	for _, element := range from {
		object, _ := element.(map[string]any)
		at := -1
		if index, numbered := object["index"]; numbered {
			at = slices.IndexFunc(into, func(other any) bool {
				o, _ := other.(map[string]any)
				return o["index"] == index
			})
		}
		if at < 0 {
			into = append(into, mergeValue("", nil, element))
			continue
		}
		earlier, _ := into[at].(map[string]any)
		into[at] = mergeObject(earlier, object)
	}
	return into
}
