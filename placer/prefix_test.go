package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/decider"
	"apricotspool/namer"
)

// Guards against processing prefixes again that another engine holds, after roles have changed and with them the
// engines that all daemons prefer for a prefix.
func TestChangedRolesDoNotLosePrefixes(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 2, 14)
	same := longPrompt
	same.sessions = 12
	fetched, processed := 0, 0
	f.onDispatch = func(a decider.Action, prefix uint64, prefilled bool) {
		if f.knownAt[prefix] == nil {
			f.knownAt[prefix] = map[namer.Endpoint]bool{}
		}
		known := f.knownAt[prefix]
		switch {
		case len(known) == 0 || known[a.Endpoint] || prefilled:
		case known[a.Fetch]:
			fetched++
		default:
			processed++
		}
		known[a.Endpoint] = true
	}
	f.generateLoad(same, 30, 4*time.Second)
	f.run(6 * time.Second)
	fetched, processed = 0, 0
	for i := 2; i < 12; i++ { // most engines begin to process prompts for others
		f.view.Endpoints[i].Role = namer.RolePrefill
		f.engines[f.names[i]].Engine.Role = namer.RolePrefill
	}
	f.configure()
	f.generateLoad(same, 30, 4*time.Second)
	f.run(12 * time.Second)
	t.Logf("at engines without the prefix: %d fetched, %d processed again", fetched, processed)
	is.True(fetched > 0)
	is.Equal(processed, 0)
}
