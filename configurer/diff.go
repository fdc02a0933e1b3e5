package configurer

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"apricotspool/asserter"
)

// Change is one difference between two documents.
type Change struct {
	Path   string `json:"path"`             // JSON pointer
	Before string `json:"before,omitempty"` // JSON value; empty if the path did not exist
	After  string `json:"after,omitempty"`  // JSON value; empty if the path no longer exists
}

func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("%s: added %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("%s: removed %s", c.Path, c.Before)
	}
	return fmt.Sprintf("%s: %s -> %s", c.Path, c.Before, c.After)
}

// Diff returns the differences between two documents in path order. An added or removed object and a
// changed array each count as one change.
func Diff(before, after *Document) []Change {
	var changes []Change
	diff("", before.Encode(), after.Encode(), &changes)
	return changes
}

func diff(path string, before, after jsontext.Value, changes *[]Change) {
	if bytes.Equal(before, after) {
		return
	}
	if before.Kind() != '{' || after.Kind() != '{' || len(before) == 0 || len(after) == 0 {
		*changes = append(*changes, Change{Path: path, Before: string(before), After: string(after)})
		return
	}
	old, new := members(before), members(after)
	names := slices.Collect(maps.Keys(old))
	for name := range new {
		if _, both := old[name]; !both {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		diff(path+"/"+pointerEscape.Replace(name), old[name], new[name], changes)
	}
}

var pointerEscape = strings.NewReplacer("~", "~0", "/", "~1")

func members(object jsontext.Value) map[string]jsontext.Value {
	var m map[string]jsontext.Value
	err := json.Unmarshal(object, &m)
	asserter.Check(err == nil, "canonical encoding can be decoded", "%v", err)
	return m
}
