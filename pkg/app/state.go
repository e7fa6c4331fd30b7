package app

import (
	"context"
	"encoding/json"
	"net/url"

	"github.com/alecthomas/kingpin/v2"
)

func (t *Tool) stateCommand(k *kingpin.Application) {
	cmd := k.Command("state", "Print the full state of an instance as JSON.")
	all := cmd.Flag("all", "Print the state of all instances.").Bool()
	cmd.Action(action(func(ctx context.Context) error {
		path := "state"
		if *all {
			path += "?scope=all"
		}
		return t.printReply(ctx, path)
	}))
}

func (t *Tool) billCommand(k *kingpin.Application) {
	cmd := k.Command("bill", "Print the bill of a request as JSON.")
	id := cmd.Arg("request", "Request ID.").Required().String()
	cmd.Action(action(func(ctx context.Context) error {
		return t.printReply(ctx, "bills?request="+url.QueryEscape(*id))
	}))
}

// printReply prints the JSON response of the admin API to a GET of path.
func (t *Tool) printReply(ctx context.Context, path string) error {
	var v json.RawMessage
	if err := t.admin.get(ctx, path, &v); err != nil {
		return err
	}
	return t.printJSON(v)
}
