package gossiper_test

import (
	"flag"
	"testing"
)

// TestMain sets a fixed rapid seed unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("1")
	}
	m.Run()
}
