// Command verdict reads the output of go test -json from stdin, prints the failed, skipped and slow tests, and exits with 1 if a
// test failed that KNOWN-RED.txt doesn't list.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

// testEvent is one line of the output of go test -json.
type testEvent struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
	Elapsed    float64
}

// testName names a test; Test is empty for a package as a whole.
type testName struct {
	Package string
	Test    string
}

// String returns the package and the test, separated by a space.
func (n testName) String() string { return strings.TrimSpace(n.Package + " " + n.Test) }

// testResults collects the results of a test run.
type testResults struct {
	passed  int
	skipped []testName
	failed  map[testName]bool
	// unfinished has the tests that started and have no result yet; they remain when the test binary exits early.
	unfinished map[testName]bool
	output     map[testName][]string
	slow       []testEvent
}

// slowTestSeconds is the shortest running time of a passed test that is reported as slow.
const slowTestSeconds = 10

func main() {
	knownRed, err := readKnownRed("KNOWN-RED.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(2)
	}
	results := readEvents(os.Stdin)
	os.Exit(results.report(os.Stdout, knownRed))
}

// readKnownRed returns the tests on the lines that begin with "test:"; without the file there are none.
func readKnownRed(path string) (map[string]bool, error) {
	knownRed := map[string]bool{}
	b, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return knownRed, nil
	}
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(b)) {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), "test:"); ok {
			knownRed[strings.TrimSpace(name)] = true
		}
	}
	return knownRed, nil
}

// readEvents collects the results; lines that are not JSON are printed as they are.
func readEvents(r io.Reader) *testResults {
	results := &testResults{failed: map[testName]bool{}, unfinished: map[testName]bool{}, output: map[testName][]string{}}
	s := bufio.NewScanner(r)
	s.Buffer(nil, 16<<20)
	for s.Scan() {
		var e testEvent
		if json.Unmarshal(s.Bytes(), &e) != nil {
			fmt.Println(s.Text())
			continue
		}
		results.add(e)
	}
	return results
}

func (r *testResults) add(e testEvent) {
	name := testName{Package: e.Package, Test: e.Test}
	if e.Package == "" {
		name.Package = e.ImportPath
	}
	switch e.Action {
	case "run":
		r.unfinished[name] = true
	case "pass", "fail", "skip":
		delete(r.unfinished, name)
	}
	switch e.Action {
	case "output", "build-output":
		r.output[name] = append(r.output[name], e.Output)
	case "fail", "build-fail":
		r.failed[name] = true
	case "skip":
		if e.Test != "" {
			r.skipped = append(r.skipped, name)
		}
	case "pass":
		if e.Test == "" {
			return
		}
		r.passed++
		delete(r.output, name)
		if e.Elapsed >= slowTestSeconds {
			r.slow = append(r.slow, e)
		}
	}
}

// isKnownRed reports whether KNOWN-RED.txt lists the test, its parent or one of its subtests.
func isKnownRed(test string, knownRed map[string]bool) bool {
	for n := range knownRed {
		if n == test || strings.HasPrefix(test, n+"/") || strings.HasPrefix(n, test+"/") {
			return true
		}
	}
	return false
}

// hasFailedTest reports whether a test of the package failed, so that the failure of the package needs no line of its own.
func (r *testResults) hasFailedTest(pkg string) bool {
	for n := range r.failed {
		if n.Package == pkg && n.Test != "" {
			return true
		}
	}
	return false
}

func (r *testResults) report(w io.Writer, knownRed map[string]bool) int {
	names := slices.SortedFunc(maps.Keys(r.failed), func(a, b testName) int {
		return strings.Compare(a.String(), b.String())
	})
	newFailures := 0
	for _, name := range names {
		if name.Test == "" && r.hasFailedTest(name.Package) {
			continue
		}
		if isKnownRed(name.Test, knownRed) {
			fmt.Fprintln(w, "KNOWN RED:", name)
			continue
		}
		newFailures++
		fmt.Fprintln(w, "FAILED:", name)
		for _, line := range r.output[name] {
			fmt.Fprint(w, "    ", line)
		}
	}
	for name := range r.unfinished {
		newFailures++
		fmt.Fprintln(w, "FAILED:", name, "(no result, the test binary exited)")
	}
	for _, name := range r.skipped {
		fmt.Fprintln(w, "SKIPPED:", name)
	}
	for _, e := range r.slow {
		fmt.Fprintf(w, "slow: %s %s %.0f s\n", e.Package, e.Test, e.Elapsed)
	}
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", r.passed, newFailures, len(r.skipped))
	if newFailures > 0 {
		return 1
	}
	return 0
}
