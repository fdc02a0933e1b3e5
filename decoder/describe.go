package decoder

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-json-experiment/json"
)

// quoteValue truncates a rejected value to maxQuotedValue bytes.
func quoteValue(value []byte) string {
	if len(value) <= maxQuotedValue {
		return string(value)
	}
	return string(value[:maxQuotedValue]) + "…"
}

// decodeProblem returns the message of the target's own unmarshaler if there is one, and otherwise names
// the expected type.
func decodeProblem(err error, target reflect.Type) string {
	var semantic *json.SemanticError
	if errors.As(err, &semantic) && semantic.Err != nil {
		return semantic.Err.Error()
	}
	return fmt.Sprintf("expected %s", expectedType(target))
}

func expectedType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "an integer"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a non-negative integer"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Map, reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	}
	return "a string"
}

func fieldsByName(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if name := jsonName(t.Field(i)); name != "" {
			fields[name] = i
		}
	}
	return fields
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if name := jsonName(t.Field(i)); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" || !f.IsExported() {
		return ""
	}
	return name
}
