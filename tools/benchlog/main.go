// Command benchlog prints tables of the bench runs in a journal, the scores of each site by commit and the newest score of each
// site by day with its largest costs, and plots the scores.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: benchlog JOURNAL PLOT.svg")
		os.Exit(2)
	}
	runs, err := readJournal(os.Args[1])
	if err == nil {
		err = plotScores(runs, os.Args[2])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "benchlog:", err)
		os.Exit(1)
	}
	writeTables(os.Stdout, runs)
}
