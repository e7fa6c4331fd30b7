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

// print writes v as JSON with --json, otherwise the header and rows as a table.
func (t *Tool) print(v any, header []string, rows [][]string) error {
	if t.asJSON {
		return t.printJSON(v)
	}
	w := tabwriter.NewWriter(t.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
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

// printReceipt prints the state of a change; a change that is not accepted is an error with its exit code.
func (t *Tool) printReceipt(r *catalogue.Receipt) error {
	rows := [][]string{{r.ID, string(r.State), fmt.Sprint(r.Revision), dashIfEmpty(r.Why), dashIfEmpty(strings.Join(r.Missing, ","))}}
	if err := t.print(r, []string{"CHANGE", "STATE", "REVISION", "WHY", "MISSING"}, rows); err != nil {
		return err
	}
	switch r.State {
	case catalogue.ChangeAccepted:
		return nil
	case catalogue.ChangeRecorded:
		return &exitError{code: ExitRecorded, cause: errUnconfirmed}
	default:
		return &exitError{code: ExitFailed, cause: errRefused}
	}
}

func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func yesOrNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func formatTime(at clock.Millis) string {
	return time.UnixMilli(int64(at)).UTC().Format("2006-01-02 15:04:05Z")
}
