// Package decoder strictly decodes the JSON documents of this project. It rejects unknown and duplicate
// fields and reports all faults of a document at once, each with its path. It has no state.
package decoder

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// MaxBytes is the maximum size of a document, which equals the object API's limit for a value.
const MaxBytes = 1 << 20

// MaxFaults is the maximum number of faults reported for one document.
const MaxFaults = 100

// maxQuotedValue is the maximum number of bytes of a rejected value that a fault quotes.
const maxQuotedValue = 80

// Decode decodes a JSON document into target, a pointer to a struct. The target is valid only if no fault
// is returned.
func Decode(data []byte, target any) Faults {
	var faults Faults
	if len(data) > MaxBytes {
		faults.Add("", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes are allowed", MaxBytes))
		return faults
	}
	var document jsontext.Value
	if err := json.Unmarshal(data, &document); err != nil {
		faults.Add("", quoteValue(data), err.Error())
		return faults
	}
	d := fieldDecoder{faults: &faults}
	d.decode("", document, reflect.ValueOf(target).Elem())
	return faults
}

type fieldDecoder struct{ faults *Faults }

func (d fieldDecoder) decode(path string, value jsontext.Value, target reflect.Value) {
	if len(*d.faults) >= MaxFaults {
		return
	}
	if hasCustomDecoding(target) {
		d.decodeLeaf(path, value, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, value, target)
	case reflect.Map:
		d.decodeMap(path, value, target)
	case reflect.Slice:
		d.decodeSlice(path, value, target)
	case reflect.Pointer:
		if value.Kind() != 'n' {
			target.Set(reflect.New(target.Type().Elem()))
			d.decode(path, value, target.Elem())
		}
	default:
		d.decodeLeaf(path, value, target)
	}
}

func hasCustomDecoding(target reflect.Value) bool {
	if !target.CanAddr() {
		return false
	}
	switch target.Addr().Interface().(type) {
	case encoding.TextUnmarshaler, json.Unmarshaler, *jsontext.Value:
		return true
	}
	return false
}

func (d fieldDecoder) decodeLeaf(path string, value jsontext.Value, target reflect.Value) {
	if value.Kind() == 'n' {
		d.faults.Add(path, "null", fmt.Sprintf("expected %s", expectedType(target.Type())))
		return
	}
	if err := json.Unmarshal(value, target.Addr().Interface()); err != nil {
		d.faults.Add(path, quoteValue(value), decodeProblem(err, target.Type()))
	}
}

func (d fieldDecoder) decodeStruct(path string, value jsontext.Value, target reflect.Value) {
	members, ok := d.members(path, value)
	if !ok {
		return
	}
	fields := fieldsByName(target.Type())
	for _, m := range members {
		index, ok := fields[m.name]
		if !ok {
			d.faults.Add(path+"/"+m.name, quoteValue(m.value), "unknown field; allowed are "+strings.Join(fieldNames(target.Type()), ", "))
			continue
		}
		d.decode(path+"/"+m.name, m.value, target.Field(index))
	}
}

func (d fieldDecoder) decodeMap(path string, value jsontext.Value, target reflect.Value) {
	members, ok := d.members(path, value)
	if !ok {
		return
	}
	target.Set(reflect.MakeMapWithSize(target.Type(), len(members)))
	for _, m := range members {
		key := reflect.New(target.Type().Key())
		name, _ := jsontext.AppendQuote(nil, m.name)
		if err := json.Unmarshal(name, key.Interface()); err != nil {
			d.faults.Add(path+"/"+m.name, m.name, decodeProblem(err, key.Type().Elem()))
			continue
		}
		element := reflect.New(target.Type().Elem()).Elem()
		d.decode(path+"/"+m.name, m.value, element)
		target.SetMapIndex(key.Elem(), element)
	}
}

func (d fieldDecoder) decodeSlice(path string, value jsontext.Value, target reflect.Value) {
	var elements []jsontext.Value
	if err := json.Unmarshal(value, &elements); err != nil || value.Kind() == 'n' {
		d.faults.Add(path, quoteValue(value), "expected an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(elements), len(elements)))
	for i, element := range elements {
		d.decode(fmt.Sprintf("%s/%d", path, i), element, target.Index(i))
	}
}

type member struct {
	name  string
	value jsontext.Value
}

// members returns the members of an object in document order, so that faults are reported in that order.
func (d fieldDecoder) members(path string, value jsontext.Value) ([]member, bool) {
	if value.Kind() != '{' {
		d.faults.Add(path, quoteValue(value), "expected an object")
		return nil, false
	}
	in := jsontext.NewDecoder(strings.NewReader(string(value)))
	in.ReadToken() // the opening brace; the document was validated as a whole
	var members []member
	for in.PeekKind() != '}' {
		name, err := in.ReadToken()
		if err != nil {
			d.faults.Add(path, quoteValue(value), err.Error())
			return nil, false
		}
		text := name.String()
		element, err := in.ReadValue()
		if err != nil {
			d.faults.Add(path, quoteValue(value), err.Error())
			return nil, false
		}
		members = append(members, member{text, element.Clone()})
	}
	return members, true
}
