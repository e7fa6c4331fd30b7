package app

import (
	"context"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/desk"
)

func (t *Tool) zoneCommands(k *kingpin.Application) {
	cmd := k.Command("zone", "Take availability zones out of service and back in.")
	list := cmd.Command("list", "List the availability zones.")
	list.Action(action(t.zoneList))
	for _, c := range []struct {
		name string
		help string
		out  bool
	}{
		{"out", "Stop all new work in an availability zone.", true},
		{"in", "Accept new work in an availability zone again.", false},
	} {
		sub := cmd.Command(c.name, c.help)
		zone := sub.Arg("zone", "Name of the availability zone.").Required().String()
		note := sub.Flag("note", "Note for the change history.").String()
		sub.Action(action(func(ctx context.Context) error {
			return t.postChange(ctx, "zones/"+*zone, &desk.ZoneChange{Out: c.out, Note: *note})
		}))
	}
}

// postChange posts a change of one object and prints its receipt.
func (t *Tool) postChange(ctx context.Context, path string, in any) error {
	var r catalogue.Receipt
	if err := t.admin.call(ctx, "POST", path, in, &r); err != nil {
		return err
	}
	return t.printReceipt(&r)
}

func (t *Tool) zoneList(ctx context.Context) error {
	var zones []desk.ZoneView
	if err := t.admin.get(ctx, "zones", &zones); err != nil {
		return err
	}
	rows := [][]string{}
	for _, z := range zones {
		rows = append(rows, []string{z.Name, yesOrNo(z.Out), dashIfEmpty(strings.Join(z.Upstreams, ",")), dashIfEmpty(strings.Join(z.Members, ","))})
	}
	return t.print(zones, []string{"ZONE", "OUT", "UPSTREAMS", "INSTANCES"}, rows)
}
