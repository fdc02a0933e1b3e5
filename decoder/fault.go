package decoder

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong in a document.
type Fault struct {
	Path    string `json:"path"`    // JSON pointer to the value
	Value   string `json:"value"`   // the value, cut to a readable length
	Problem string `json:"problem"` // what is wrong and what is allowed
}

func (f Fault) String() string {
	path := f.Path
	if path == "" {
		path = "/"
	}
	return fmt.Sprintf("%s: %s (value %s)", path, f.Problem, f.Value)
}

// Faults lists all that is wrong in a document. An empty list means that the document is valid.
type Faults []Fault

// Add appends a fault unless the list is full.
func (f *Faults) Add(path, value, problem string) {
	if len(*f) < MaxFaults {
		*f = append(*f, Fault{Path: path, Value: value, Problem: problem})
	}
}

// Addf appends a fault with the value formatted as Go prints it.
func (f *Faults) Addf(path string, value any, problem string, args ...any) {
	f.Add(path, shown(fmt.Append(nil, value)), fmt.Sprintf(problem, args...))
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
