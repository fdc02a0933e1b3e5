package decoder

import (
	"encoding"
	"reflect"
)

// FieldPaths returns the path of every field of a document type, in declaration order. "*" stands for the keys
// of a map and the elements of an array. Tests compare reference pages with it.
func FieldPaths(document any) []string {
	var paths []string
	collectPaths(&paths, "", reflect.TypeOf(document))
	return paths
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

func collectPaths(paths *[]string, path string, t reflect.Type) {
	if reflect.PointerTo(t).Implements(textType) {
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		for i := range t.NumField() {
			if name := jsonName(t.Field(i)); name != "" {
				*paths = append(*paths, path+"/"+name)
				collectPaths(paths, path+"/"+name, t.Field(i).Type)
			}
		}
	case reflect.Map, reflect.Slice:
		collectPaths(paths, path+"/*", t.Elem())
	case reflect.Pointer:
		collectPaths(paths, path, t.Elem())
	}
}
