package trace

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// WriteJSON writes the report to w as indented JSON.
func (rep *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(rep), "encoding the report")
}

// WriteTable writes the report to w as aligned text tables.
func (rep *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "trace %s, seed %d, %d requests, prior ratings: %t\n\n", rep.Trace, rep.Seed, rep.Requests, rep.History)
	rep.writePolicies(t)
	rep.writeTasks(t)
	rep.writeExposures(t)
	rep.writeZoneMove(t)
	rep.writeStated(t)
	return t.Flush()
}

func (rep *Report) writePolicies(w io.Writer) {
	fmt.Fprintln(w, "policy\tcost\tcost/oracle\tquality shortfall\tanswered\trefused\tincomplete\tlate\tattempts/request\tattempts/request in outage\tcold-start crashes\tfirst token p50/p95/p99 ms\ttotal p50/p95/p99 ms")
	for i := range rep.Policies {
		p := &rep.Policies[i]
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%d\t%s\t%s\n", p.Name, p.Cost, p.CostOverOracle, p.QualityShortfall,
			p.Answered, p.Refused, p.Cut, p.Late, p.AttemptsPerRequest, p.AttemptsWhileFailing, p.ColdFallOvers, p.FirstToken, p.Total)
	}
	fmt.Fprintln(w)
}

// String returns the 50th, 95th and 99th percentile in milliseconds, separated by slashes.
func (l Latency) String() string { return fmt.Sprintf("%d/%d/%d", l.P50, l.P95, l.P99) }

func (rep *Report) writeTasks(w io.Writer) {
	fmt.Fprintln(w, "policy\ttask\ttarget\tmean rating\tcost\tanswers by version")
	for i := range rep.Policies {
		p := &rep.Policies[i]
		for _, t := range p.Tasks {
			fmt.Fprintf(w, "%s\t%s\t%.2f\t%.3f\t%d\t", p.Name, t.Task, t.Target, t.Quality, t.Cost)
			for _, v := range t.Versions {
				fmt.Fprintf(w, "%s %d  ", v.Version, v.Answers)
			}
			fmt.Fprintln(w)
		}
	}
	fmt.Fprintln(w)
}

func (rep *Report) writeExposures(w io.Writer) {
	for i := range rep.Exposures {
		x := &rep.Exposures[i]
		fmt.Fprintf(w, "version %s degraded at %d ms, detected at %d ms, by the ideal test at %d ms\n", x.Version, x.TurnedAt, x.FoundAt, x.IdealAt)
		fmt.Fprintf(w, "  sends after degradation: %d, ideal %d, ratio %.2f; without pinned sessions %.2f\n", x.Sends, x.Ideal, x.OverIdeal, x.UnpinnedOverIdeal)
		fmt.Fprintf(w, "  evidence: %s\n\n", x.Evidence)
	}
}

func (rep *Report) writeZoneMove(w io.Writer) {
	z := rep.ZoneMove
	if z == nil {
		return
	}
	fmt.Fprintf(w, "zone %s evacuated at %d ms, restored at %d ms: %d requests failed because of it (%d fail without it too), %d s of raised latency, worst second %.2f times the latency without it\n\n",
		z.Zone, z.LeftAt, z.BackAt, z.Failed, z.FailedBefore, z.RaisedSeconds, z.WorstSecond)
}

func (rep *Report) writeStated(w io.Writer) {
	fmt.Fprintln(w, "stated outcome\tat most\tmeasured\t")
	for _, s := range rep.Stated {
		verdict := "met"
		if !s.Met {
			verdict = "MISSED"
		}
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%s\n", s.Measure, s.AtMost, s.Got, verdict)
	}
}
