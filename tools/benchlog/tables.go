package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// leastPrice is the price from which on one is named, as a part of a day's worth.
const leastPrice = 0.004

// writeTables writes the scores by commit, and each site's newest score by day.
func writeTables(w io.Writer, runs []*run) {
	sites, of := scores(runs)
	fmt.Fprintln(w, "| Site | Commit | Time | Score | Broken |\n|---|---|---|---|---|")
	for _, site := range sites {
		for _, r := range of[site] {
			fmt.Fprintf(w, "| %s | %s | %s | %.3f | %s |\n", site, r.commit(), r.at().Format("2006-01-02 15:04"), *r.Score, broken(r))
		}
	}
	for _, site := range sites {
		newest := of[site][len(of[site])-1]
		fmt.Fprintf(w, "\n%s, %s:\n\n| Day | Worth | Served | Prices |\n|---|---|---|---|\n", site, newest.commit())
		for _, d := range newest.Days {
			fmt.Fprintf(w, "| %s | %.3f | %.3f | %s |\n", d.Name, d.Worth, d.Served, prices(d))
		}
	}
}

func broken(r *run) string {
	var names []string
	for _, d := range r.Days {
		for rule := range d.Broken {
			names = append(names, d.Name+" "+rule)
		}
	}
	slices.Sort(names)
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// prices names what a day paid, the dearest first.
func prices(d day) string {
	sorted := slices.Clone(d.Prices)
	slices.SortStableFunc(sorted, func(a, b price) int {
		if a.Worth > b.Worth {
			return -1
		}
		return 1
	})
	var named []string
	for _, p := range sorted {
		if p.Worth >= leastPrice {
			named = append(named, fmt.Sprintf("%s %.3f", p.Name, p.Worth))
		}
	}
	return strings.Join(named, ", ")
}
