// Command losses prints where a day of the users' bench lost its worth, from the report that `run --report` writes: the parts of the
// worth, the prices, the routes, the worst windows and the ends of requests that were not served.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: losses REPORT.json...")
		os.Exit(2)
	}
	for _, path := range os.Args[1:] {
		b, err := os.ReadFile(path)
		var r report
		if err == nil {
			err = json.Unmarshal(b, &r)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "losses:", path+":", err)
			os.Exit(1)
		}
		fmt.Println(path)
		write(os.Stdout, &r)
	}
}

// write prints the losses of a report.
func write(w io.Writer, r *report) {
	fmt.Fprintf(w, "worth %.3f\n", r.worth())
	fmt.Fprintln(w, "lost    of      part")
	for _, p := range r.Parts {
		fmt.Fprintf(w, "%.3f   %.3f   %s\n", p.Weight*(1-p.Value), p.Weight, p.Name)
	}
	for _, p := range r.largestPrices() {
		fmt.Fprintf(w, "%.3f           price: %s (%.0f)\n", p.Cost, p.Name, p.Amount)
	}
	fmt.Fprintln(w, "route                owed   late  refused  failed  worth")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%-18s %6d %6d %8d %7d  %.3f\n", c.Name, c.owed(), c.Late, c.Refused, c.Failed, c.Worth)
	}
	fmt.Fprintln(w, "from second          owed   late  refused  failed  worth")
	for _, c := range r.worstWindows() {
		fmt.Fprintf(w, "%-18s %6d %6d %8d %7d  %.3f\n", c.Name, c.owed(), c.Late, c.Refused, c.Failed, c.Worth)
	}
	fmt.Fprintln(w, "not served, by the end of the last try")
	for _, u := range r.Unserved {
		fmt.Fprintf(w, "%6d %s\n", u.Requests, u.End)
		for _, line := range u.First {
			fmt.Fprintln(w, "         ", line)
		}
	}
}
