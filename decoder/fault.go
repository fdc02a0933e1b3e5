package decoder

import (
	"fmt"
	"strings"
)

// Fault is one validation error of a document.
type Fault struct {
	Path    string `json:"path"`    // JSON pointer to the value
	Value   string `json:"value"`   // the value, truncated
	Problem string `json:"problem"` // what is wrong, and usually what is allowed
}

func (f Fault) String() string {
	path := f.Path
	if path == "" {
		path = "/"
	}
	return fmt.Sprintf("%s: %s (value %s)", path, f.Problem, f.Value)
}

// Faults holds all validation errors of a document. It is empty for a valid document.
type Faults []Fault

// Add appends a fault unless MaxFaults is reached.
func (f *Faults) Add(path, value, problem string) {
	if len(*f) < MaxFaults {
		*f = append(*f, Fault{Path: path, Value: value, Problem: problem})
	}
}

// Addf appends a fault with a formatted problem. The value is formatted as by fmt.Print.
func (f *Faults) Addf(path string, value any, problem string, args ...any) {
	f.Add(path, quoteValue(fmt.Append(nil, value)), fmt.Sprintf(problem, args...))
}

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil when there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
