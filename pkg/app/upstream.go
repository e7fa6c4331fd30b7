package app

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/desk"
)

func (t *Tool) upstreamCommands(k *kingpin.Application) {
	cmd := k.Command("upstream", "List and drain upstreams.")
	list := cmd.Command("list", "List the upstreams as an instance sees them.")
	list.Action(action(t.upstreamList))

	drain := cmd.Command("drain", "Stop new work on an upstream.")
	name := drain.Arg("upstream", "Name of the upstream.").Required().String()
	undo := drain.Flag("undo", "Accept new work on the upstream again.").Bool()
	note := drain.Flag("note", "Note for the change history.").String()
	drain.Action(action(func(ctx context.Context) error {
		return t.postChange(ctx, "upstreams/"+*name, &desk.UpstreamChange{Drained: !*undo, Note: *note})
	}))
}

func (t *Tool) upstreamList(ctx context.Context) error {
	var upstreams []*catalogue.Upstream
	if err := t.admin.get(ctx, "upstreams", &upstreams); err != nil {
		return err
	}
	rows := [][]string{}
	for _, u := range upstreams {
		rows = append(rows, []string{
			u.Name, string(u.Role), u.Zone, u.Address, upstreamState(u), fmt.Sprint(u.Share),
			fmt.Sprintf("%d/%d", u.Load.InFlight, u.Load.Bearable), servedNames(u),
		})
	}
	return t.print(upstreams, []string{"UPSTREAM", "ROLE", "ZONE", "ADDRESS", "STATE", "SHARE", "LOAD", "SERVES"}, rows)
}

func upstreamState(u *catalogue.Upstream) string {
	switch {
	case u.Leaving:
		return "leaving"
	case u.Rule.Drained:
		return "drained"
	case u.ZoneOut:
		return "zone out"
	case u.Cold:
		return "cold"
	default:
		return "warm"
	}
}

func servedNames(u *catalogue.Upstream) string {
	if u.Service != "" {
		return u.Service
	}
	ids := make([]string, 0, len(u.Versions))
	for _, v := range u.Versions {
		ids = append(ids, string(v))
	}
	return dashIfEmpty(strings.Join(ids, ","))
}
