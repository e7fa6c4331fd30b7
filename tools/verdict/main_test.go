package main

import (
	"bytes"
	"strings"
	"testing"
)

// TestReport guards against a verdict that passes over more than the listed tests.
func TestReport(t *testing.T) {
	const listed = `{"Action":"run","Package":"p","Test":"TestRed"}
{"Action":"fail","Package":"p","Test":"TestRed"}
{"Action":"fail","Package":"p"}
`
	for _, tc := range []struct {
		name, events, output string
		want                 int
	}{
		{"pass", `{"Action":"run","Package":"p","Test":"TestA"}` + "\n" + `{"Action":"pass","Package":"p","Test":"TestA"}`, "1 passed, 0 failed", 0},
		{"listed test", listed, "KNOWN RED: p TestRed", 0},
		{"other test", strings.ReplaceAll(listed, "TestRed", "TestOther"), "FAILED: p TestOther", 1},
		{"package without a failed test", `{"Action":"fail","Package":"p"}`, "FAILED: p", 1},
		{"binary exits beside a listed test", `{"Action":"run","Package":"p","Test":"TestZ"}` + "\n" + listed, "FAILED: p TestZ", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out bytes.Buffer
			got := readEvents(strings.NewReader(tc.events)).report(&out, map[string]bool{"TestRed": true})
			if got != tc.want || !strings.Contains(out.String(), tc.output) {
				t.Errorf("report() = %d with output %q, want %d and %q", got, out.String(), tc.want, tc.output)
			}
		})
	}
}
