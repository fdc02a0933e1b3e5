package decoder

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-json-experiment/json"
)

// shown cuts a refused value to a length that is readable in a fault.
func shown(value []byte) string {
	if len(value) <= maxValueShown {
		return string(value)
	}
	return string(value[:maxValueShown]) + "…"
}

// reason prefers the message of a type that checks itself over the decoder's own.
func reason(err error, target reflect.Type) string {
	var semantic *json.SemanticError
	if errors.As(err, &semantic) && semantic.Err != nil {
		return semantic.Err.Error()
	}
	return fmt.Sprintf("expected %s", describe(target))
}

func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number that is not negative"
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
