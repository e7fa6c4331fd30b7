package app

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// print writes v as JSON when that was asked for, or else as a table of the head and rows.
func (t *Tool) print(v any, head []string, rows [][]string) error {
	if t.asJSON {
		return t.printJSON(v)
	}
	w := tabwriter.NewWriter(t.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(head, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (t *Tool) printJSON(v any) error {
	e := json.NewEncoder(t.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printReceipt tells how far a change has come; the error carries the exit code.
func (t *Tool) printReceipt(r *catalogue.Receipt) error {
	rows := [][]string{{r.ID, string(r.State), fmt.Sprint(r.Revision), dash(r.Why), dash(strings.Join(r.Missing, ","))}}
	if err := t.print(r, []string{"CHANGE", "STATE", "REVISION", "WHY", "MISSING"}, rows); err != nil {
		return err
	}
	switch r.State {
	case catalogue.ChangeAccepted:
		return nil
	case catalogue.ChangeRecorded:
		return &exitError{code: ExitRecorded, cause: errRecorded}
	default:
		return &exitError{code: ExitFailed, cause: errRefused}
	}
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func wallTime(at clock.Millis) string {
	return time.UnixMilli(int64(at)).UTC().Format("2006-01-02 15:04:05Z")
}
