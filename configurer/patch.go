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

// Apply returns the result of applying a merge patch (RFC 7396) to d, which is not modified. The error is
// a decoder.Faults with the faults of the patch or of the resulting document. Only the entries that the
// patch names are encoded and decoded again: with 2,700 callers, doing so for the whole document takes
// most of the time of a change.
func (d *Document) Apply(patch []byte) (*Document, error) {
	if faults := checkPatch(patch); len(faults) > 0 {
		return nil, faults
	}
	names, ok := patchedEntries(patch)
	if !ok {
		return d.applyWhole(patch)
	}
	part := &Document{
		DataCentres: selectEntries(d.DataCentres, names["data-centres"]),
		Models:      selectEntries(d.Models, names["models"]),
		Services:    selectEntries(d.Services, names["services"]),
		Callers:     selectEntries(d.Callers, names["callers"]),
		Endpoints:   selectEntries(d.Endpoints, names["endpoints"]),
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
		return nil, fault(patch, fmt.Sprintf("the resulting document has %d bytes; at most %d are allowed", size, decoder.MaxBytes))
	}
	if err := next.Check().Err(); err != nil {
		return nil, err
	}
	return next, nil
}

// applyWhole applies a patch that replaces or removes whole sections.
func (d *Document) applyWhole(patch []byte) (*Document, error) {
	merged, err := jsonpatch.MergePatch(d.Encode(), patch)
	if err != nil {
		return nil, fault(patch, err.Error())
	}
	return Parse(merged)
}

// entryPatches holds the patch of each changed entry of one section, by entry name.
type entryPatches map[string]jsontext.Value

// patchedEntries returns the entries that a patch names, by section. It returns false for a patch that
// replaces or removes a whole section.
func patchedEntries(patch []byte) (map[string]entryPatches, bool) {
	var sections map[string]jsontext.Value
	if json.Unmarshal(patch, &sections) != nil {
		return nil, false
	}
	names := make(map[string]entryPatches, len(sections))
	for name, value := range sections {
		var entries entryPatches
		if value.Kind() != '{' || json.Unmarshal(value, &entries) != nil {
			return nil, false
		}
		names[name] = entries
	}
	return names, true
}

// selectEntries returns the entries of m that a patch names.
func selectEntries[K ~string, V any](m map[K]V, names entryPatches) map[K]V {
	part := make(map[K]V, len(names))
	for name := range names {
		if v, ok := m[K(name)]; ok {
			part[K(name)] = v
		}
	}
	return part
}

// overlay returns m with the entries that a patch names replaced by those in changed, or removed. A
// section that the patch does not name is shared, since documents are immutable.
func overlay[K ~string, V any](m, changed map[K]V, names entryPatches) map[K]V {
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

// checkPatch rejects patches that the patch library would accept: duplicate names, a value that is not an
// object (it would replace the whole configuration), and oversized patches.
func checkPatch(patch []byte) decoder.Faults {
	if len(patch) > decoder.MaxBytes {
		return fault(patch, "the patch is larger than the limit for a document")
	}
	value := jsontext.Value(bytes.Clone(patch))
	if err := value.Canonicalize(jsontext.AllowInvalidUTF8(false)); err != nil {
		return fault(patch, err.Error())
	}
	if value.Kind() != '{' {
		return fault(patch, "a merge patch must be an object")
	}
	return nil
}

func fault(patch []byte, problem string) decoder.Faults {
	var faults decoder.Faults
	faults.Addf("", string(patch), "%s", problem)
	return faults
}
