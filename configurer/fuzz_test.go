package configurer_test

import (
	"fmt"
	"strings"
	"testing"

	"apricotspool/configurer"
)

// Guards against a decoder that panics, accepts what Check refuses, or has no stable encoding.
func FuzzParse(f *testing.F) {
	f.Add(fmt.Appendf(nil, base, strings.Repeat("ab", 32)))
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
			t.Errorf("accepted document is not stable: %v", err)
		}
	})
}

// Guards against a patch that changes its document, or that leads to one that Parse refuses.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"callers":{"c1":null},"endpoints":{"e":{"state":"draining"}}}`))
	f.Add([]byte(`{"callers":null}`))
	f.Add([]byte(`{"callers":{"c9":{"weight":-1}}}`))
	f.Add([]byte(`{"services":[]}`))
	before, err := configurer.Parse(fmt.Appendf(nil, base, strings.Repeat("ab", 32)))
	if err != nil {
		f.Fatal(err)
	}
	encoded := string(before.Encode())
	f.Fuzz(func(t *testing.T, patch []byte) {
		after, err := before.Apply(patch)
		if string(before.Encode()) != encoded {
			t.Fatal("the patch changed its document")
		}
		if err == nil && len(after.Check()) > 0 {
			t.Errorf("accepted patch has faults: %v", after.Check())
		}
	})
}
