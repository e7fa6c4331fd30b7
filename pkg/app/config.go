package app

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

var (
	errRecorded = errors.New("the change is in the log; instances in MISSING are not known to have it yet, look again by: carawayknot state --all")
	errRefused  = errors.New("the change was refused; read the configuration again by: carawayknot config show")
)

func (t *Tool) configCommands(k *kingpin.Application) {
	cmd := k.Command("config", "Check, apply and show the configuration.")
	check := cmd.Command("check", "Check a configuration file; nothing is sent.")
	checkFile := check.Arg("file", "Configuration file, JSON with comments.").Required().String()
	check.Action(action(func(context.Context) error { return t.configCheck(*checkFile) }))

	apply := cmd.Command("apply", "Send what a file changes in the configuration, all of it or nothing.")
	applyFile := apply.Arg("file", "Configuration file, JSON with comments.").Required().String()
	note := apply.Flag("note", "Note for the history.").String()
	prune := apply.Flag("prune", "Remove objects that the file does not have.").Bool()
	dry := apply.Flag("dry-run", "Show what would change.").Bool()
	apply.Action(action(func(ctx context.Context) error {
		return t.configApply(ctx, *applyFile, *note, *prune, *dry)
	}))

	show := cmd.Command("show", "Show the configuration in force on an instance.")
	show.Action(action(t.configShow))

	history := cmd.Command("history", "Show the latest changes, newest first.")
	limit := history.Flag("limit", "How many changes.").Default("20").Int()
	history.Action(action(func(ctx context.Context) error { return t.configHistory(ctx, *limit) }))
}

func (t *Tool) configCheck(path string) error {
	d, err := readDocument(path)
	if err != nil {
		return err
	}
	edits, err := d.edits(path, catalogue.NewState(), false)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.Stdout, "%s: %d objects in order\n", path, len(edits))
	return nil
}

func (t *Tool) configApply(ctx context.Context, path, note string, prune, dry bool) error {
	d, err := readDocument(path)
	if err != nil {
		return err
	}
	var now catalogue.State
	if err := t.admin.get(ctx, "config", &now); err != nil {
		return err
	}
	edits, err := d.edits(path, &now, prune)
	if err != nil {
		return err
	}
	if len(edits) == 0 {
		fmt.Fprintln(t.Stderr, "nothing to change")
		return nil
	}
	if dry {
		return t.printEdits(edits)
	}
	var r catalogue.Receipt
	if err := t.admin.call(ctx, "POST", "changes", &catalogue.Change{Note: note, Edits: edits}, &r); err != nil {
		return err
	}
	return t.printReceipt(&r)
}

func (t *Tool) printEdits(edits []catalogue.Edit) error {
	rows := [][]string{}
	for _, e := range edits {
		what := "put"
		if e.Remove {
			what = "remove"
		}
		rows = append(rows, []string{what, string(e.Kind), e.Name, fmt.Sprint(e.Base)})
	}
	return t.print(edits, []string{"EDIT", "KIND", "NAME", "BASE"}, rows)
}

func (t *Tool) configShow(ctx context.Context) error {
	var now catalogue.State
	if err := t.admin.get(ctx, "config", &now); err != nil {
		return err
	}
	// The configuration has no good form as a table; its file form can be edited and applied.
	if t.asJSON {
		return t.printJSON(&now)
	}
	fmt.Fprintf(t.Stdout, "// Revision %d\n", now.Revision)
	return t.printJSON(documentOf(&now))
}

func (t *Tool) configHistory(ctx context.Context, limit int) error {
	var h []catalogue.ChangeResult
	if err := t.admin.get(ctx, "history?limit="+strconv.Itoa(limit), &h); err != nil {
		return err
	}
	rows := [][]string{}
	for _, c := range h {
		state := "in force"
		if c.Refused != "" {
			state = "refused: " + c.Refused
		}
		rows = append(rows, []string{fmt.Sprint(c.Revision), wallTime(c.At), dash(c.Author), state, dash(c.Note), c.ID})
	}
	return t.print(h, []string{"REVISION", "AT", "AUTHOR", "STATE", "NOTE", "ID"}, rows)
}

func readDocument(path string) (*document, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, &exitError{code: ExitUsage, cause: err}
	}
	d, err := parseDocument(path, b)
	if err != nil {
		return nil, &exitError{code: ExitUsage, cause: err}
	}
	return d, nil
}

func raw(v any) (json.RawMessage, error) {
	b, err := json.Marshal(v)
	return b, errors.Wrap(err, "object")
}
