package configurer

import (
	"bytes"
	"fmt"
	"maps"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"apricotspool/decoder"
)

// Apply returns the document that a merge patch (RFC 7396) makes of d, which stays unchanged. The
// error is decoder.Faults: a patch that is not an object, or the faults of the resulting document.
// Only the entries that the patch names are encoded and decoded again: at 2,700 callers a whole
// document takes most of the time of a change.
func (d *Document) Apply(patch []byte) (*Document, error) {
	if faults := checkPatch(patch); len(faults) > 0 {
		return nil, faults
	}
	names, ok := touched(patch)
	if !ok {
		return d.applyWhole(patch)
	}
	part := &Document{
		DataCentres: only(d.DataCentres, names["data-centres"]),
		Models:      only(d.Models, names["models"]),
		Services:    only(d.Services, names["services"]),
		Callers:     only(d.Callers, names["callers"]),
		Endpoints:   only(d.Endpoints, names["endpoints"]),
	}
	merged, err := jsonpatch.MergePatch(part.Encode(), patch)
	if err != nil {
		return nil, fault(patch, err.Error())
	}
	changed := &Document{}
	if faults := decoder.Decode(merged, changed); len(faults) > 0 {
		return nil, faults
	}
	changed.canonicalise()
	next := &Document{
		DataCentres: overlay(d.DataCentres, changed.DataCentres, names["data-centres"]),
		Models:      overlay(d.Models, changed.Models, names["models"]),
		Services:    overlay(d.Services, changed.Services, names["services"]),
		Callers:     overlay(d.Callers, changed.Callers, names["callers"]),
		Endpoints:   overlay(d.Endpoints, changed.Endpoints, names["endpoints"]),
	}
	if size := len(next.Encode()); size > decoder.MaxBytes {
		return nil, fault(patch, fmt.Sprintf("the document would have %d bytes; at most %d are allowed", size, decoder.MaxBytes))
	}
	if err := next.Check().Err(); err != nil {
		return nil, err
	}
	return next, nil
}

// applyWhole serves patches that replace or remove whole sections.
func (d *Document) applyWhole(patch []byte) (*Document, error) {
	merged, err := jsonpatch.MergePatch(d.Encode(), patch)
	if err != nil {
		return nil, fault(patch, err.Error())
	}
	return Parse(merged)
}

// section holds the names of the entries that a patch changes in one section of the document.
type section map[string]jsontext.Value

// touched returns the entries that a patch names, by section. It fails for a patch that changes a
// section as a whole.
func touched(patch []byte) (map[string]section, bool) {
	var sections map[string]jsontext.Value
	if json.Unmarshal(patch, &sections) != nil {
		return nil, false
	}
	names := make(map[string]section, len(sections))
	for name, value := range sections {
		var entries section
		if value.Kind() != '{' || json.Unmarshal(value, &entries) != nil {
			return nil, false
		}
		names[name] = entries
	}
	return names, true
}

// only returns the entries of m that a patch names.
func only[K ~string, V any](m map[K]V, names section) map[K]V {
	part := make(map[K]V, len(names))
	for name := range names {
		if v, ok := m[K(name)]; ok {
			part[K(name)] = v
		}
	}
	return part
}

// overlay returns m with the entries that a patch names as they are in changed. A section that the
// patch doesn't name is shared, since documents are never changed.
func overlay[K ~string, V any](m, changed map[K]V, names section) map[K]V {
	if len(names) == 0 {
		return m
	}
	next := make(map[K]V, len(m)+len(changed))
	maps.Copy(next, m)
	for name := range names {
		if v, ok := changed[K(name)]; ok {
			next[K(name)] = v
		} else {
			delete(next, K(name))
		}
	}
	return next
}

// checkPatch refuses what the patch library accepts or merges silently: doubled names, a document
// that is not an object (it would replace the whole configuration), and oversized patches.
func checkPatch(patch []byte) decoder.Faults {
	if len(patch) > decoder.MaxBytes {
		return fault(patch, "the patch is over the limit of one document")
	}
	value := jsontext.Value(bytes.Clone(patch))
	if err := value.Canonicalize(jsontext.AllowInvalidUTF8(false)); err != nil {
		return fault(patch, err.Error())
	}
	if value.Kind() != '{' {
		return fault(patch, "a merge patch is an object")
	}
	return nil
}

func fault(patch []byte, problem string) decoder.Faults {
	var faults decoder.Faults
	faults.Addf("", string(patch), "%s", problem)
	return faults
}
