// Command verdict reads the output of go test -json, prints the failed tests and exits with 1
// when a test failed that KNOWN-RED.txt doesn't name.
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

// event is one line of go test -json.
type event struct {
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

// String returns the name for print.
func (n testName) String() string { return strings.TrimSpace(n.Package + " " + n.Test) }

// tally adds up the events of a run.
type tally struct {
	passed  int
	skipped []testName
	failed  map[testName]bool
	output  map[testName][]string
	slow    []event
}

// slowTest is the running time from which a test is named, in seconds.
const slowTest = 10

func main() {
	red, err := readRed("KNOWN-RED.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(2)
	}
	t := read(os.Stdin)
	os.Exit(t.report(os.Stdout, red))
}

// readRed returns the tests named by lines that begin with "test:".
func readRed(path string) (map[string]bool, error) {
	red := map[string]bool{}
	b, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return red, nil
	}
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(b)) {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), "test:"); ok {
			red[strings.TrimSpace(name)] = true
		}
	}
	return red, nil
}

func read(r io.Reader) *tally {
	t := &tally{failed: map[testName]bool{}, output: map[testName][]string{}}
	s := bufio.NewScanner(r)
	s.Buffer(nil, 16<<20)
	for s.Scan() {
		var e event
		if json.Unmarshal(s.Bytes(), &e) != nil {
			fmt.Println(s.Text())
			continue
		}
		t.add(e)
	}
	return t
}

func (t *tally) add(e event) {
	name := testName{Package: e.Package, Test: e.Test}
	if e.Package == "" {
		name.Package = e.ImportPath
	}
	switch e.Action {
	case "output", "build-output":
		t.output[name] = append(t.output[name], e.Output)
	case "fail", "build-fail":
		t.failed[name] = true
	case "skip":
		if e.Test != "" {
			t.skipped = append(t.skipped, name)
		}
	case "pass":
		if e.Test == "" {
			return
		}
		t.passed++
		delete(t.output, name)
		if e.Elapsed >= slowTest {
			t.slow = append(t.slow, e)
		}
	}
}

// known tells whether KNOWN-RED.txt names the test or its parent, or one of its subtests.
func known(test string, red map[string]bool) bool {
	for n := range red {
		if n == test || strings.HasPrefix(test, n+"/") || strings.HasPrefix(n, test+"/") {
			return true
		}
	}
	return false
}

// explained tells whether a package failed only because of its tests.
func (t *tally) explained(pkg string) bool {
	for n := range t.failed {
		if n.Package == pkg && n.Test != "" {
			return true
		}
	}
	return false
}

func (t *tally) report(w io.Writer, red map[string]bool) int {
	names := slices.SortedFunc(maps.Keys(t.failed), func(a, b testName) int {
		return strings.Compare(a.String(), b.String())
	})
	unknown := 0
	for _, name := range names {
		if name.Test == "" && t.explained(name.Package) {
			continue
		}
		if known(name.Test, red) {
			fmt.Fprintln(w, "KNOWN RED:", name)
			continue
		}
		unknown++
		fmt.Fprintln(w, "FAILED:", name)
		for _, line := range t.output[name] {
			fmt.Fprint(w, "    ", line)
		}
	}
	for _, name := range t.skipped {
		fmt.Fprintln(w, "SKIPPED:", name)
	}
	for _, e := range t.slow {
		fmt.Fprintf(w, "slow: %s %s %.0f s\n", e.Package, e.Test, e.Elapsed)
	}
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", t.passed, unknown, len(t.skipped))
	if unknown > 0 {
		return 1
	}
	return 0
}
