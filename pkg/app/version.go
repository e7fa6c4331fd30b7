package app

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/desk"
)

func (t *Tool) versionCommands(k *kingpin.Application) {
	cmd := k.Command("version", "List, withdraw and roll out versions.")
	list := cmd.Command("list", "List the versions with their health and rollouts.")
	list.Action(action(t.versionList))

	withdraw := cmd.Command("withdraw", "Stop all new work on a version.")
	id := withdraw.Arg("version", "Version as model@version.").Required().String()
	undo := withdraw.Flag("undo", "Accept new work on a withdrawn version again.").Bool()
	note := withdraw.Flag("note", "Note for the change history.").String()
	withdraw.Action(action(func(ctx context.Context) error {
		return t.postChange(ctx, "versions/"+*id, &desk.VersionChange{Withdrawn: !*undo, Note: *note})
	}))
	t.rolloutCommand(cmd)
}

func (t *Tool) rolloutCommand(cmd *kingpin.CmdClause) {
	c := cmd.Command("rollout", "Shift new sessions of a model to another version, or hold the rollout.")
	model := c.Arg("model", "Name of the model.").Required().String()
	from := c.Flag("from", "Version to shift sessions from, as model@version.").String()
	to := c.Flag("to", "Version to shift sessions to, as model@version.").String()
	share := c.Flag("share", "Fraction of new sessions on the new version, from 0 to 1.").Default("-1").Float64()
	hold := c.Flag("hold", "Assign no further new sessions to the new version.").Bool()
	resume := c.Flag("resume", "Resume a held rollout.").Bool()
	note := c.Flag("note", "Note for the change history.").String()
	c.Action(action(func(ctx context.Context) error {
		if *hold && *resume {
			return &exitError{code: ExitUsage, cause: errors.New("set --hold or --resume, not both")}
		}
		in := desk.RolloutChange{Note: *note, From: optionalVersion(*from), To: optionalVersion(*to)}
		if *share >= 0 {
			in.Share = share
		}
		if *hold || *resume {
			in.Held = hold
		}
		return t.postChange(ctx, "rollouts/"+*model, &in)
	}))
}

func optionalVersion(s string) *catalogue.VersionID {
	if s == "" {
		return nil
	}
	id := catalogue.VersionID(s)
	return &id
}

func (t *Tool) versionList(ctx context.Context) error {
	var versions []desk.VersionView
	if err := t.admin.get(ctx, "versions", &versions); err != nil {
		return err
	}
	rows := [][]string{}
	for _, v := range versions {
		rows = append(rows, []string{
			string(v.Version.ID), yesOrNo(v.Version.Withdrawn),
			fmt.Sprintf("%d/%d", v.Version.InputCost, v.Version.OutputCost),
			rolloutText(v), healthText(v.Health), dashIfEmpty(strings.Join(v.Upstreams, ",")),
		})
	}
	return t.print(versions, []string{"VERSION", "WITHDRAWN", "COST IN/OUT", "ROLLOUT", "HEALTH", "UPSTREAMS"}, rows)
}

func rolloutText(v desk.VersionView) string {
	r := v.Rollout
	if r == nil {
		return "-"
	}
	if r.To != v.Version.ID {
		return "from"
	}
	text := fmt.Sprintf("to, share %.2f", r.Share)
	if r.Held {
		text += ", held: " + dashIfEmpty(r.Evidence)
	}
	return text
}

func healthText(health []catalogue.Health) string {
	var parts []string
	for _, h := range health {
		text := fmt.Sprintf("%s %.2f of %d", h.Task, h.Mean, h.Rated)
		if h.Suspect {
			text += " SUSPECT"
		}
		parts = append(parts, text)
	}
	return dashIfEmpty(strings.Join(parts, "; "))
}
