package app

import (
	"context"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
	"carawayknot.example/carawayknot/pkg/trace"
)

var errExpectationNotMet = errors.New("the replay did not meet an outcome that the trace states")

// replayFlags are the flags of the replay command.
type replayFlags struct {
	trace     string
	baselines bool
	noHistory bool
	plot      string
	target    string
	keyFiles  map[string]string
	speed     float64
}

func (t *Tool) replayCommand(k *kingpin.Application) {
	f := replayFlags{keyFiles: map[string]string{}}
	cmd := k.Command("replay", "Replay a recorded trace through the request filters on a simulated clock, or send it as load to a running instance.")
	cmd.Arg("trace", "Trace file, JSON with comments.").Required().StringVar(&f.trace)
	cmd.Flag("baselines", "Compare with the baseline policies.").Default("true").BoolVar(&f.baselines)
	cmd.Flag("no-history", "Start without the ratings from before the trace.").BoolVar(&f.noHistory)
	cmd.Flag("plot", "Output file for a plot of cost and quality, .svg or .png.").StringVar(&f.plot)
	cmd.Flag("target", "Caller URL of a running instance to which the trace is sent as load.").StringVar(&f.target)
	cmd.Flag("workspace-key", "File with the key of a workspace for --target, as NAME=FILE; repeatable.").StringMapVar(&f.keyFiles)
	cmd.Flag("speed", "Speed-up factor over the recorded request times, for --target.").Default("1").Float64Var(&f.speed)
	cmd.Action(action(func(ctx context.Context) error {
		tr, err := trace.Load(f.trace)
		if err != nil {
			return &exitError{code: ExitUsage, cause: err}
		}
		if f.target != "" {
			return t.sendLoad(ctx, tr, &f)
		}
		return t.replay(ctx, tr, &f)
	}))
}

// replay simulates the trace in this process; an outcome that the trace states and the replay does not meet is an error.
func (t *Tool) replay(ctx context.Context, tr *trace.Trace, f *replayFlags) error {
	rep, err := trace.Replay(ctx, tr, trace.Options{Baselines: f.baselines, NoHistory: f.noHistory})
	if err != nil {
		return &exitError{code: ExitFailed, cause: err}
	}
	writeReport := rep.WriteTable
	if t.asJSON {
		writeReport = rep.WriteJSON
	}
	if err := writeReport(t.Stdout); err != nil {
		return &exitError{code: ExitFailed, cause: err}
	}
	if f.plot != "" {
		if err := rep.WritePlot(f.plot); err != nil {
			return &exitError{code: ExitFailed, cause: err}
		}
	}
	for _, s := range rep.Stated {
		if !s.Met {
			return &exitError{code: ExitFailed, cause: errExpectationNotMet}
		}
	}
	return nil
}

// sendLoad sends the trace to a running instance and prints outcomes and latencies as callers saw them.
func (t *Tool) sendLoad(ctx context.Context, tr *trace.Trace, f *replayFlags) error {
	if f.speed <= 0 {
		return &exitError{code: ExitUsage, cause: errors.New("--speed must be above 0")}
	}
	l := &loadGenerator{trace: tr, target: strings.TrimSuffix(f.target, "/"), workspaceKeys: map[string]string{}, speed: f.speed,
		clock: clock.NewReal()}
	for name, file := range f.keyFiles {
		key, err := settings.ReadKey(file)
		if err != nil {
			return &exitError{code: ExitUsage, cause: err}
		}
		l.workspaceKeys[name] = string(key)
	}
	for i := range tr.Requests {
		if name := tr.Requests[i].Workspace; l.workspaceKeys[name] == "" {
			return &exitError{code: ExitUsage, cause: errors.Newf("no key for workspace %s; set --workspace-key %s=FILE", name, name)}
		}
	}
	reports := l.run(ctx)
	return t.print(reports, loadHeader, loadRows(reports))
}
