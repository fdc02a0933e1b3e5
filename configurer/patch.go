package configurer

import (
	"bytes"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/go-json-experiment/json/jsontext"

	"apricotspool/decoder"
)

// Apply returns the document that a merge patch (RFC 7396) makes of d, which stays unchanged. The
// error is decoder.Faults: a patch that is not an object, or the faults of the resulting document.
func (d *Document) Apply(patch []byte) (*Document, error) {
	if faults := checkPatch(patch); len(faults) > 0 {
		return nil, faults
	}
	merged, err := jsonpatch.MergePatch(d.Encode(), patch)
	if err != nil {
		return nil, fault(patch, err.Error())
	}
	return Parse(merged)
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
