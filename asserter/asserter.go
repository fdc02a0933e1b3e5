// Package asserter checks invariants at run time. A broken invariant means that the process can't
// be trusted any more, so it prints its state and stops. Ordinary failures are outcomes or errors
// and never come here.
package asserter

import (
	"fmt"
	"os"
	"sync/atomic"
)

// Violation is the value that a broken invariant panics with.
type Violation struct {
	Invariant string
	State     string
}

func (v Violation) Error() string {
	return fmt.Sprintf("invariant %q is broken: %s", v.Invariant, v.State)
}

var checks atomic.Uint64

// Check panics with a Violation when ok is false. The panic is never recovered by the daemon, so
// the process stops with the state and the stack of the goroutine. The state is formatted only
// when the check fails.
func Check(ok bool, invariant, format string, state ...any) {
	checks.Add(1)
	if ok {
		return
	}
	v := Violation{Invariant: invariant, State: fmt.Sprintf(format, state...)}
	fmt.Fprintln(os.Stderr, v.Error())
	panic(v)
}

// Checks returns how many invariants this process has checked; randomised runs report it.
func Checks() uint64 { return checks.Load() }
