package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// minListedPrice keeps minor costs out of the table; it is a fraction of the day's worth.
const minListedPrice = 0.004

// writeTables writes Markdown tables of all scores and, for each site, of the days of its newest score.
func writeTables(w io.Writer, runs []*run) {
	sites, runsBySite := scoreRuns(runs)
	fmt.Fprintln(w, "| Site | Commit | Time | Score | Broken |\n|---|---|---|---|---|")
	for _, site := range sites {
		for _, r := range runsBySite[site] {
			fmt.Fprintf(w, "| %s | %s | %s | %.3f | %s |\n", site, r.commit(), r.startTime().Format("2006-01-02 15:04"), *r.Score, violations(r))
		}
	}
	for _, site := range sites {
		newest := runsBySite[site][len(runsBySite[site])-1]
		fmt.Fprintf(w, "\n%s, %s:\n\n| Day | Worth | Served | Prices |\n|---|---|---|---|\n", site, newest.commit())
		for _, d := range newest.Days {
			fmt.Fprintf(w, "| %s | %.3f | %.3f | %s |\n", d.Name, d.Worth, d.Served, largestPrices(d))
		}
	}
}

// violations lists the violated rules with their days.
func violations(r *run) string {
	var violated []string
	for _, d := range r.Days {
		for rule := range d.Broken {
			violated = append(violated, d.Name+" "+rule)
		}
	}
	slices.Sort(violated)
	if len(violated) == 0 {
		return "none"
	}
	return strings.Join(violated, ", ")
}

// largestPrices lists the prices of a day in descending order.
func largestPrices(d day) string {
	sorted := slices.Clone(d.Prices)
	slices.SortStableFunc(sorted, func(a, b price) int {
		if a.Worth > b.Worth {
			return -1
		}
		return 1
	})
	var listed []string
	for _, p := range sorted {
		if p.Worth >= minListedPrice {
			listed = append(listed, fmt.Sprintf("%s %.3f", p.Name, p.Worth))
		}
	}
	return strings.Join(listed, ", ")
}
