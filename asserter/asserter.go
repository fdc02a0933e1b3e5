// Package asserter checks invariants at run time. After a violated invariant the state of the process can
// no longer be trusted, so the process prints the violation and ends. Ordinary failures are reported as
// outcomes or errors instead.
package asserter

import (
	"fmt"
	"os"
	"sync/atomic"
)

// Violation is the panic value for a violated invariant.
type Violation struct {
	Invariant string
	State     string
}

func (v Violation) Error() string {
	return fmt.Sprintf("invariant %q violated: %s", v.Invariant, v.State)
}

var checks atomic.Uint64

// Check panics with a Violation if ok is false. The daemon never recovers this panic, so the process ends
// with the state and the stack of the goroutine. The state is formatted only if the check fails.
func Check(ok bool, invariant, format string, state ...any) {
	checks.Add(1)
	if ok {
		return
	}
	v := Violation{Invariant: invariant, State: fmt.Sprintf(format, state...)}
	fmt.Fprintln(os.Stderr, v.Error())
	panic(v)
}

// CheckCount returns the number of invariant checks in this process.
func CheckCount() uint64 { return checks.Load() }
