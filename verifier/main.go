// Command verifier reads the output of "go test -json" on standard input and decides whether CI passes.
// It tolerates and prints the failures of exactly those tests that the known-failures file lists. It fails
// if an unlisted test or a package fails, if a listed test does not fail, or if no test passes.
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

// maxLineBytes bounds one line of the JSON output.
const maxLineBytes = 16 << 20

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

// readKnown returns the tests listed in a known-failures file as "package.Test". An entry starts with a
// "test: " line; the lines that follow it are a description. A missing file lists no tests.
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

// event is one line of the output of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

type results struct {
	passed, failed, skipped []string
	output                  map[string][]string // by test or package
	failedPackages          []string            // packages that failed without a failed test, such as in the build
}

func readResults(r io.Reader) (*results, error) {
	collected := &results{output: map[string][]string{}}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	packageFailures := map[string]bool{}
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			fmt.Println(lines.Text())
			continue
		}
		collected.add(e, packageFailures)
	}
	for name := range packageFailures {
		if !slices.ContainsFunc(collected.failed, func(test string) bool { return strings.HasPrefix(test, name+".") }) {
			collected.failedPackages = append(collected.failedPackages, name)
		}
	}
	return collected, lines.Err()
}

func (r *results) add(e event, packageFailures map[string]bool) {
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
			packageFailures[name] = true
			return
		}
		r.failed = append(r.failed, name)
	}
}

// report prints the failures and a summary, and reports whether CI passes.
func (r *results) report(w io.Writer, known map[string]bool) bool {
	passes := true
	for _, test := range r.failed {
		if known[test] || failedOnlyInKnownSubtests(test, r.failed, known) {
			fmt.Fprintf(w, "known failure: %s\n", test)
			continue
		}
		passes = false
		fmt.Fprintf(w, "FAILED: %s\n%s", test, strings.Join(r.output[test], ""))
	}
	for _, name := range r.failedPackages {
		passes = false
		fmt.Fprintf(w, "FAILED PACKAGE: %s\n%s", name, strings.Join(r.output[name], ""))
	}
	for test := range known {
		if !slices.Contains(r.failed, test) {
			passes = false
			fmt.Fprintf(w, "NOT FAILING: %s is listed as a known failure but did not fail; remove its entry\n", test)
		}
	}
	if len(r.passed) == 0 {
		passes = false
		fmt.Fprintln(w, "no test passed")
	}
	for _, test := range r.skipped {
		fmt.Fprintf(w, "skipped: %s\n", test)
	}
	unlisted := 0
	for _, test := range r.failed {
		if !known[test] && !failedOnlyInKnownSubtests(test, r.failed, known) {
			unlisted++
		}
	}
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", len(r.passed), unlisted+len(r.failedPackages), len(r.skipped))
	return passes
}

// failedOnlyInKnownSubtests reports whether test has failed subtests and each of them is listed or has itself
// failed only in listed subtests.
func failedOnlyInKnownSubtests(test string, failed []string, known map[string]bool) bool {
	children := 0
	for _, other := range failed {
		if !strings.HasPrefix(other, test+"/") {
			continue
		}
		if !known[other] && !failedOnlyInKnownSubtests(other, failed, known) {
			return false
		}
		children++
	}
	return children > 0
}
