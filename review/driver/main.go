//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario runs a case and returns how the rule was broken, or "" if it held; trouble is false for the run without the disruption.
type scenario func(c *cluster, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{
	"memory":     runMemory,
	"quarantine": runQuarantine,
	"refusal":    runRefusal,
	"revocation": runRevocation,
}

func main() { os.Exit(run(os.Args[1:], os.Getenv("TROUBLE") != "0")) }

// run plays the scenario args[0] and writes the record of what happened to record.txt in the folder args[1].
func run(args []string, trouble bool) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver SCENARIO FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	rec.printf("scenario %s, trouble %t", args[0], trouble)
	c, err := newCluster(rec)
	if err != nil {
		rec.printf("could not run: %v", err)
		return exitNotRun
	}
	defer c.close()
	broken, err := scenarios[args[0]](c, trouble)
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		return exitNotRun
	case broken != "":
		rec.printf("BROKEN: %s", broken)
		return exitBroken
	}
	rec.printf("held")
	return exitHeld
}
