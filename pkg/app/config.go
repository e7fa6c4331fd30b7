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
	errUnconfirmed = errors.New("the change is in the log, but the instances under MISSING have not confirmed it yet; check again with: carawayknot state --all")
	errRefused     = errors.New("the change was refused; fetch the current configuration with: carawayknot config show")
)

func (t *Tool) configCommands(k *kingpin.Application) {
	cmd := k.Command("config", "Check, apply and show the configuration.")
	t.checkCommand(cmd)

	apply := cmd.Command("apply", "Apply the changes that a file makes to the configuration, all of them or none.")
	applyFile := apply.Arg("file", "Configuration file, JSON with comments.").Required().String()
	note := apply.Flag("note", "Note for the change history.").String()
	prune := apply.Flag("prune", "Remove objects that the file does not contain.").Bool()
	dryRun := apply.Flag("dry-run", "Print the changes without applying them.").Bool()
	apply.Action(action(func(ctx context.Context) error {
		return t.configApply(ctx, *applyFile, *note, *prune, *dryRun)
	}))

	show := cmd.Command("show", "Show the configuration that an instance uses.")
	show.Action(action(t.configShow))

	history := cmd.Command("history", "Show the latest changes, newest first.")
	limit := history.Flag("limit", "Maximum number of changes to show.").Default("20").Int()
	history.Action(action(func(ctx context.Context) error { return t.configHistory(ctx, *limit) }))
}

func (t *Tool) configApply(ctx context.Context, path, note string, prune, dryRun bool) error {
	d, err := readDocument(path)
	if err != nil {
		return err
	}
	var current catalogue.State
	if err := t.admin.get(ctx, "config", &current); err != nil {
		return err
	}
	edits, err := d.edits(path, &current, prune)
	if err != nil {
		return err
	}
	if len(edits) == 0 {
		fmt.Fprintln(t.Stderr, "configuration is up to date; nothing to apply")
		return nil
	}
	if dryRun {
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
		operation := "put"
		if e.Remove {
			operation = "remove"
		}
		rows = append(rows, []string{operation, string(e.Kind), e.Name, fmt.Sprint(e.Base)})
	}
	return t.print(edits, []string{"EDIT", "KIND", "NAME", "BASE"}, rows)
}

func (t *Tool) configShow(ctx context.Context) error {
	var current catalogue.State
	if err := t.admin.get(ctx, "config", &current); err != nil {
		return err
	}
	// The configuration does not fit a table; the file format is printed instead, so that it can be edited and applied.
	if t.asJSON {
		return t.printJSON(&current)
	}
	fmt.Fprintf(t.Stdout, "// Revision %d\n", current.Revision)
	return t.printJSON(documentOf(&current))
}

func (t *Tool) configHistory(ctx context.Context, limit int) error {
	var changes []catalogue.ChangeResult
	if err := t.admin.get(ctx, "history?limit="+strconv.Itoa(limit), &changes); err != nil {
		return err
	}
	rows := [][]string{}
	for _, c := range changes {
		state := "in force"
		if c.Refused != "" {
			state = "refused: " + c.Refused
		}
		rows = append(rows, []string{fmt.Sprint(c.Revision), formatTime(c.At), dashIfEmpty(c.Author), state, dashIfEmpty(c.Note), c.ID})
	}
	return t.print(changes, []string{"REVISION", "AT", "AUTHOR", "STATE", "NOTE", "ID"}, rows)
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

func marshalObject(v any) (json.RawMessage, error) {
	b, err := json.Marshal(v)
	return b, errors.Wrap(err, "object")
}
