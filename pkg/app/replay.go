package app

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

func (t *Tool) replayCommand(k *kingpin.Application) {
	cmd := k.Command("replay", "Play a recorded trace and print the measures.")
	trace := cmd.Arg("trace", "Trace file, JSON with comments.").Required().String()
	target := cmd.Flag("target", "URL for callers of a running set; without it stand-ins inside the tool answer.").String()
	cmd.Action(action(func(ctx context.Context) error {
		if t.Replay == nil {
			return &exitError{code: ExitFailed, cause: errors.New("replay is not built into this program")}
		}
		if err := t.Replay(ctx, *trace, *target, t.asJSON, t.Stdout); err != nil {
			return &exitError{code: ExitFailed, cause: err}
		}
		return nil
	}))
}
