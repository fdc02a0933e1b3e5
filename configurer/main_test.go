package configurer_test

import (
	"flag"
	"testing"
)

// TestMain gives rapid a fixed seed unless one is set on the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("1")
	}
	m.Run()
}
