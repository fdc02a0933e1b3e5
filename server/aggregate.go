package server

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"apricotspool/generator"
)

// aggregate merges the chunks of a stream into the response to a request that does not stream.
type aggregate struct {
	firstChunk map[string]any // the first chunk, without choices and usage
	choice     map[string]any
	usage      any
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
	if a.firstChunk == nil {
		a.firstChunk = chunk
	}
	if len(choices) > 0 {
		choice, _ := choices[0].(map[string]any)
		a.choice = mergeObject(a.choice, choice)
	}
	return nil
}

// response returns the JSON body for the caller.
func (a *aggregate) response(operation generator.Operation) ([]byte, error) {
	if a.firstChunk == nil || a.choice == nil {
		return nil, errors.New("stream has no choice")
	}
	a.firstChunk["object"] = "text_completion"
	if operation == generator.ChatCompletions {
		a.firstChunk["object"] = "chat.completion"
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
	a.firstChunk["choices"] = []any{a.choice}
	if a.usage != nil {
		a.firstChunk["usage"] = a.usage
	}
	return json.Marshal(a.firstChunk)
}

// atomicMembers lists the members whose values are not split over chunks. Engines may repeat them in each
// chunk, so a later value replaces the earlier one.
var atomicMembers = []string{"role", "id", "type", "name", "finish_reason", "object"}

func mergeObject(into, from map[string]any) map[string]any {
	if into == nil {
		into = make(map[string]any, len(from))
	}
	for name, value := range from {
		into[name] = mergeValue(name, into[name], value)
	}
	return into
}

// mergeValue concatenates strings and merges lists and objects. Any other value replaces the old one.
func mergeValue(name string, old, value any) any {
	switch value := value.(type) {
	case nil:
		return old
	case string:
		if text, ok := old.(string); ok && !slices.Contains(atomicMembers, name) {
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

// mergeList merges elements with the same "index", such as the parts of a tool call, and appends all others.
func mergeList(into, from []any) []any {
	for _, element := range from {
		object, _ := element.(map[string]any)
		pos := -1
		if index, numbered := object["index"]; numbered {
			pos = slices.IndexFunc(into, func(other any) bool {
				o, _ := other.(map[string]any)
				return o["index"] == index
			})
		}
		if pos < 0 {
			into = append(into, mergeValue("", nil, element))
			continue
		}
		earlier, _ := into[pos].(map[string]any)
		into[pos] = mergeObject(earlier, object)
	}
	return into
}
