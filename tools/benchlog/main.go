// Command benchlog makes tables and a plot of the runs in journal/: the scores of each site by commit, and the newest score of each
// site by day and price.
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
	runs, err := read(os.Args[1])
	if err == nil {
		err = plotScores(runs, os.Args[2])
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "benchlog:", err)
		os.Exit(1)
	}
	writeTables(os.Stdout, runs)
}
