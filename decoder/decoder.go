// Package decoder decodes the project's JSON documents strictly: it refuses unknown and doubled
// fields and reports all faults of a document at once, each with its path. It owns no state.
package decoder

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// MaxBytes is the largest document that is decoded; it is the object API's limit on a value.
const MaxBytes = 1 << 20

// MaxFaults bounds the report on a document that is wrong throughout.
const MaxFaults = 100

// maxValueShown is the length to which a fault quotes the value it refuses.
const maxValueShown = 80

// Decode fills target, a pointer to a struct, from a JSON document. The target is usable only when
// no fault is returned.
func Decode(data []byte, target any) Faults {
	var faults Faults
	if len(data) > MaxBytes {
		faults.Add("", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes are allowed", MaxBytes))
		return faults
	}
	var document jsontext.Value
	if err := json.Unmarshal(data, &document); err != nil {
		faults.Add("", shown(data), err.Error())
		return faults
	}
	w := walker{faults: &faults}
	w.walk("", document, reflect.ValueOf(target).Elem())
	return faults
}

type walker struct{ faults *Faults }

func (w walker) walk(path string, value jsontext.Value, target reflect.Value) {
	if len(*w.faults) >= MaxFaults {
		return
	}
	if decodesItself(target) {
		w.leaf(path, value, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		w.object(path, value, target)
	case reflect.Map:
		w.mapping(path, value, target)
	case reflect.Slice:
		w.array(path, value, target)
	case reflect.Pointer:
		if value.Kind() != 'n' {
			target.Set(reflect.New(target.Type().Elem()))
			w.walk(path, value, target.Elem())
		}
	default:
		w.leaf(path, value, target)
	}
}

func decodesItself(target reflect.Value) bool {
	if !target.CanAddr() {
		return false
	}
	switch target.Addr().Interface().(type) {
	case encoding.TextUnmarshaler, json.Unmarshaler, *jsontext.Value:
		return true
	}
	return false
}

func (w walker) leaf(path string, value jsontext.Value, target reflect.Value) {
	if value.Kind() == 'n' {
		w.faults.Add(path, "null", fmt.Sprintf("expected %s", describe(target.Type())))
		return
	}
	if err := json.Unmarshal(value, target.Addr().Interface()); err != nil {
		w.faults.Add(path, shown(value), reason(err, target.Type()))
	}
}

func (w walker) object(path string, value jsontext.Value, target reflect.Value) {
	members, ok := w.members(path, value)
	if !ok {
		return
	}
	fields := fieldsByName(target.Type())
	for _, m := range members {
		index, ok := fields[m.name]
		if !ok {
			w.faults.Add(path+"/"+m.name, shown(m.value), "unknown field; allowed are "+strings.Join(fieldNames(target.Type()), ", "))
			continue
		}
		w.walk(path+"/"+m.name, m.value, target.Field(index))
	}
}

func (w walker) mapping(path string, value jsontext.Value, target reflect.Value) {
	members, ok := w.members(path, value)
	if !ok {
		return
	}
	target.Set(reflect.MakeMapWithSize(target.Type(), len(members)))
	for _, m := range members {
		key := reflect.New(target.Type().Key())
		name, _ := jsontext.AppendQuote(nil, m.name)
		if err := json.Unmarshal(name, key.Interface()); err != nil {
			w.faults.Add(path+"/"+m.name, m.name, reason(err, key.Type().Elem()))
			continue
		}
		element := reflect.New(target.Type().Elem()).Elem()
		w.walk(path+"/"+m.name, m.value, element)
		target.SetMapIndex(key.Elem(), element)
	}
}

func (w walker) array(path string, value jsontext.Value, target reflect.Value) {
	var elements []jsontext.Value
	if err := json.Unmarshal(value, &elements); err != nil || value.Kind() == 'n' {
		w.faults.Add(path, shown(value), "expected an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(elements), len(elements)))
	for i, element := range elements {
		w.walk(fmt.Sprintf("%s/%d", path, i), element, target.Index(i))
	}
}

type member struct {
	name  string
	value jsontext.Value
}

// members splits an object and keeps the order of the document, so that faults are reported in that order.
func (w walker) members(path string, value jsontext.Value) ([]member, bool) {
	if value.Kind() != '{' {
		w.faults.Add(path, shown(value), "expected an object")
		return nil, false
	}
	in := jsontext.NewDecoder(strings.NewReader(string(value)))
	in.ReadToken() // the opening brace; the document was validated as a whole
	var members []member
	for in.PeekKind() != '}' {
		name, err := in.ReadToken()
		if err != nil {
			w.faults.Add(path, shown(value), err.Error())
			return nil, false
		}
		text := name.String()
		element, err := in.ReadValue()
		if err != nil {
			w.faults.Add(path, shown(value), err.Error())
			return nil, false
		}
		members = append(members, member{text, element.Clone()})
	}
	return members, true
}
