package configurer_test

import (
	"fmt"
	"strings"
	"testing"

	"apricotspool/configurer"
)

// Guards against a Parse that panics, accepts a document that Check rejects, or returns one whose
// encoding is not stable.
func FuzzParse(f *testing.F) {
	f.Add(fmt.Appendf(nil, baseDocument, strings.Repeat("ab", 32)))
	f.Add([]byte(`{"endpoints":{"e":{"address":"127.0.0.1:0","service":null,"models":[1]}}}`))
	f.Add([]byte(`{"services":{"s":{"ranks":{"r":{"share":1e400,"first-token":"-1s"}}}}}`))
	f.Add([]byte(`{"callers":{"a":{},"a":{}}}`))
	f.Add([]byte("{\"models\":{\"\xff\":{}}}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := configurer.Parse(data)
		if err != nil {
			return
		}
		again, err := configurer.Parse(d.Encode())
		if err != nil || string(again.Encode()) != string(d.Encode()) || len(d.Check()) > 0 {
			t.Errorf("encoding of the accepted document is not stable: %v", err)
		}
	})
}

// Guards against an Apply that modifies its receiver or returns an invalid document.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"callers":{"c1":null},"endpoints":{"e":{"state":"draining"}}}`))
	f.Add([]byte(`{"callers":null}`))
	f.Add([]byte(`{"callers":{"c9":{"weight":-1}}}`))
	f.Add([]byte(`{"services":[]}`))
	before, err := configurer.Parse(fmt.Appendf(nil, baseDocument, strings.Repeat("ab", 32)))
	if err != nil {
		f.Fatal(err)
	}
	encoded := string(before.Encode())
	f.Fuzz(func(t *testing.T, patch []byte) {
		after, err := before.Apply(patch)
		if string(before.Encode()) != encoded {
			t.Fatal("Apply modified its receiver")
		}
		if err == nil && len(after.Check()) > 0 {
			t.Errorf("accepted patch led to an invalid document: %v", after.Check())
		}
	})
}
