// Command verifier reads the output of "go test -json" on standard input and gives the verdict of
// CI. It passes over exactly the tests that the known-failures file lists, prints them, and fails
// when a listed test passes or an unlisted one fails.
//
//	go test -race -json ./... | go run ./verifier KNOWN-RED.txt
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// maxLine bounds one line of test output.
const maxLine = 16 << 20

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: verifier KNOWN-RED.txt < test.json")
		os.Exit(2)
	}
	known, err := readKnown(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "verifier:", err)
		os.Exit(2)
	}
	results, err := readResults(os.Stdin)
	if err != nil {
		fmt.Fprintln(os.Stderr, "verifier:", err)
		os.Exit(2)
	}
	if !results.report(os.Stdout, known) {
		os.Exit(1)
	}
}

// readKnown returns the tests that a file lists, as "package.Test". An entry is a line that starts
// with "test: "; the lines below it describe the case.
func readKnown(name string) (map[string]bool, error) {
	text, err := os.ReadFile(name)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	known := map[string]bool{}
	for line := range strings.Lines(string(text)) {
		if test, ok := strings.CutPrefix(strings.TrimSpace(line), "test: "); ok {
			known[test] = true
		}
	}
	return known, nil
}

// event is one line of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

type results struct {
	passed, failed, skipped []string
	output                  map[string][]string // by test
	broken                  []string            // packages that failed without a failed test, for example in the build
}

func readResults(r io.Reader) (*results, error) {
	all := &results{output: map[string][]string{}}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	failedPackages := map[string]bool{}
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			fmt.Println(lines.Text())
			continue
		}
		all.add(e, failedPackages)
	}
	for name := range failedPackages {
		if !slices.ContainsFunc(all.failed, func(test string) bool { return strings.HasPrefix(test, name+".") }) {
			all.broken = append(all.broken, name)
		}
	}
	return all, lines.Err()
}

func (r *results) add(e event, failedPackages map[string]bool) {
	name := e.Package
	if e.Test != "" {
		name = e.Package + "." + e.Test
	}
	switch e.Action {
	case "output", "build-output":
		r.output[name] = append(r.output[name], e.Output)
	case "pass":
		if e.Test != "" {
			r.passed = append(r.passed, name)
		}
	case "skip":
		if e.Test != "" {
			r.skipped = append(r.skipped, name)
		}
	case "fail":
		if e.Test == "" {
			failedPackages[name] = true
			return
		}
		r.failed = append(r.failed, name)
	}
}

// report prints the verdict and says whether CI passes.
func (r *results) report(w io.Writer, known map[string]bool) bool {
	good := true
	for _, test := range r.failed {
		if known[test] || knownChild(test, r.failed, known) {
			fmt.Fprintf(w, "known failure: %s\n", test)
			continue
		}
		good = false
		fmt.Fprintf(w, "FAILED: %s\n%s", test, strings.Join(r.output[test], ""))
	}
	for _, name := range r.broken {
		good = false
		fmt.Fprintf(w, "FAILED PACKAGE: %s\n%s", name, strings.Join(r.output[name], ""))
	}
	for test := range known {
		if !slices.Contains(r.failed, test) {
			good = false
			fmt.Fprintf(w, "NOT FAILING: %s is listed as a known failure but did not fail; remove its entry\n", test)
		}
	}
	if len(r.passed) == 0 {
		good = false
		fmt.Fprintln(w, "no test was run")
	}
	for _, test := range r.skipped {
		fmt.Fprintf(w, "skipped: %s\n", test)
	}
	unlisted := 0
	for _, test := range r.failed {
		if !known[test] && !knownChild(test, r.failed, known) {
			unlisted++
		}
	}
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", len(r.passed), unlisted+len(r.broken), len(r.skipped))
	return good
}

// knownChild reports whether test is a parent that failed only because of listed subtests.
func knownChild(test string, failed []string, known map[string]bool) bool {
	children := 0
	for _, other := range failed {
		if !strings.HasPrefix(other, test+"/") {
			continue
		}
		if !known[other] && !knownChild(other, failed, known) {
			return false
		}
		children++
	}
	return children > 0
}
