package distributor_test

import (
	"flag"
	"testing"
)

// TestMain gives rapid a fixed seed and, since a schedule takes long, a lower number of checks, unless
// they are set on the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string][2]string{"rapid.seed": {"0", "1"}, "rapid.checks": {"100", "30"}}
	for name, value := range defaults {
		if f := flag.Lookup(name); f.Value.String() == value[0] {
			f.Value.Set(value[1])
		}
	}
	m.Run()
}
