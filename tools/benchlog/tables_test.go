package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const entryTemplate = `{"cmd":"score","site":"SITE","head":"0123456789","dirty":false,"at":["2026-12-0DAYT00:00:00Z",""],"score":SCORE,
 "days":[{"name":"quiet-1","G":0.75,"served":0.97,"rules":RULES,"prices":[["calls",12,0.002],["machines",3.5,0.03],["use of models",9,0.09]]}]}`

func TestTables(t *testing.T) {
	dir := t.TempDir()
	for name, values := range map[string][]string{
		"a.json": {"SITE", "tea", "DAY", "2", "SCORE", "0.5", "RULES", `{"DRAIN":1}`},
		"b.json": {"SITE", "tea", "DAY", "3", "SCORE", "0.8", "RULES", "{}"},
		"c.json": {"SITE", "rugs", "DAY", "1", "SCORE", "null", "RULES", "{}"},
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(strings.NewReplacer(values...).Replace(entryTemplate)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	runs, err := readJournal(dir)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	writeTables(&out, runs)
	for _, want := range []string{
		"| tea | 01234567 | 2026-12-02 00:00 | 0.500 | quiet-1 DRAIN |\n| tea | 01234567 | 2026-12-03 00:00 | 0.800 | none |",
		"| quiet-1 | 0.750 | 0.970 | use of models 0.090, machines 0.030 |",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("tables lack %q:\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "rugs") {
		t.Error("tables list site rugs, whose score run did not finish")
	}
	if err := plotScores(runs, filepath.Join(dir, "plot.svg")); err != nil {
		t.Error(err)
	}
}
