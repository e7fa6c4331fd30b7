package app

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/audit"
	"carawayknot.example/carawayknot/pkg/catalogue"
)

// TableReader reads files with a route configuration.
type TableReader interface {
	// Recognizes reports whether b is meant as a route configuration, be it valid or not.
	Recognizes(b []byte) bool
	// Read returns the configuration with all errors for which an instance refuses it; the configuration is nil when b is damaged.
	Read(b []byte) (*audit.Configuration, []error)
}

// The values of the flag --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// configCheck is one run of the command config check.
type configCheck struct {
	tool    *Tool
	file    string
	against string
	output  string
	// memory is the memory of a machine in bytes, or 0.
	memory int64
}

func (t *Tool) checkCommand(parent *kingpin.CmdClause) {
	c := &configCheck{tool: t}
	cmd := parent.Command("check", "Check a configuration file without sending it. Exit codes: 0 no findings, 1 findings, 2 not readable or, "+
		"if it is no route configuration, invalid.")
	cmd.Arg("file", "Configuration file, JSON with comments, or a route configuration of the platform, plain JSON.").Required().StringVar(&c.file)
	cmd.Flag("against", "Route configuration to list the differences from.").PlaceHolder("FILE").StringVar(&c.against)
	cmd.Flag("output", "Format of the findings: text, one a line, or json.").Default(outputText).EnumVar(&c.output, outputText, outputJSON)
	memory := cmd.Flag("memory", "Memory of a machine, such as 512MB, to compare limits with.").Default("0B").Bytes()
	cmd.Action(action(func(context.Context) error {
		c.memory = int64(*memory)
		return c.run()
	}))
}

func (c *configCheck) run() error {
	b, err := os.ReadFile(c.file)
	if err != nil {
		return &exitError{code: ExitUsage, cause: err}
	}
	if c.tool.Tables == nil || !c.tool.Tables.Recognizes(b) {
		return c.checkDocument(b)
	}
	found, err := c.checkTable(b)
	if err != nil {
		return err
	}
	if err := c.print(found); err != nil || len(found) == 0 {
		return err
	}
	return &exitError{code: ExitFailed, cause: errors.Newf("%s: findings: %d", c.file, len(found))}
}

func (c *configCheck) checkDocument(b []byte) error {
	if c.against != "" {
		return &exitError{code: ExitUsage, cause: errors.Newf("%s is no route configuration; compare it with: carawayknot config apply --dry-run", c.file)}
	}
	d, err := parseDocument(c.file, b)
	if err != nil {
		return &exitError{code: ExitUsage, cause: err}
	}
	edits, err := d.edits(c.file, catalogue.NewState(), false)
	if err != nil {
		return err
	}
	if c.json() {
		return c.print(nil)
	}
	fmt.Fprintf(c.tool.Stdout, "%s: %d objects are valid\n", c.file, len(edits))
	return nil
}

func (c *configCheck) checkTable(b []byte) ([]audit.Finding, error) {
	cfg, errs := c.tool.Tables.Read(b)
	if cfg == nil {
		return nil, damaged(c.file, b, errs)
	}
	found := audit.Refusals(c.file, b, errs)
	if slices.ContainsFunc(errs, isTypeError) {
		// A value of the wrong type is missing in the table, so that further findings could be due to that alone.
		return found, nil
	}
	found = append(found, audit.Check(cfg, c.memory)...)
	if c.against == "" {
		return found, nil
	}
	inForce, err := os.ReadFile(c.against)
	if err != nil {
		return nil, &exitError{code: ExitUsage, cause: err}
	}
	from, errs := c.tool.Tables.Read(inForce)
	if len(errs) > 0 {
		return nil, damaged(c.against, inForce, errs)
	}
	return audit.Sorted(append(found, audit.Compare(from.Table, cfg.Table)...)), nil
}

func isTypeError(err error) bool {
	var typeErr *json.UnmarshalTypeError
	return errors.As(err, &typeErr)
}

func (c *configCheck) json() bool { return c.output == outputJSON || c.tool.asJSON }

func (c *configCheck) print(found []audit.Finding) error {
	if c.json() {
		if found == nil {
			found = []audit.Finding{}
		}
		return c.tool.printJSON(found)
	}
	for _, f := range found {
		fmt.Fprintln(c.tool.Stdout, f)
	}
	if len(found) == 0 {
		fmt.Fprintf(c.tool.Stderr, "%s: no findings\n", c.file)
	}
	return nil
}

// damaged returns the first error of a file that can't be read, with its position.
func damaged(path string, b []byte, errs []error) error {
	return &exitError{code: ExitUsage, cause: errors.Wrap(errs[0], audit.Place(path, b, errs[0]))}
}
