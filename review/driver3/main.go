//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases has the cases by name. Each reports whether the rule was broken; an error means that the case could not run.
var cases = map[string]func(r *run) (broken bool, err error){
	"revocation":   runRevocation,
	"slow-reader":  runSlowReader,
	"eviction":     runEviction,
	"early-answer": runEarlyAnswer,
	"cold":         runCold,
	"rollouts":     runRollouts,
}

func main() { os.Exit(execute(os.Args[1:])) }

// execute runs the case named by the first argument and writes its record to the folder named by the second one.
func execute(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver3 CASE FOLDER")
		return exitFailed
	}
	r, err := newRun(filepath.Join(args[1], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	broken, err := cases[args[0]](r)
	switch {
	case err != nil:
		r.log("could not run: %v", err)
		return exitFailed
	case broken:
		r.log("the rule was BROKEN")
		return exitBroken
	}
	r.log("the rule held")
	return exitHeld
}
