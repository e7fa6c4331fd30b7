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

var errMissed = errors.New("an outcome that the trace states was missed")

// replayFlags say how to play a trace.
type replayFlags struct {
	trace     string
	baselines bool
	noHistory bool
	plot      string
	target    string
	keys      map[string]string
	speed     float64
}

func (t *Tool) replayCommand(k *kingpin.Application) {
	f := replayFlags{keys: map[string]string{}}
	cmd := k.Command("replay", "Play a recorded trace through the request filters on a manual clock, or send it as load.")
	cmd.Arg("trace", "Trace file, JSON with comments.").Required().StringVar(&f.trace)
	cmd.Flag("baselines", "Compare with the baseline policies.").Default("true").BoolVar(&f.baselines)
	cmd.Flag("no-history", "Start without the ratings of before the trace.").BoolVar(&f.noHistory)
	cmd.Flag("plot", "File for a plot of cost and quality, .svg or .png.").StringVar(&f.plot)
	cmd.Flag("target", "URL for callers of a running set, to which the trace is sent as load.").StringVar(&f.target)
	cmd.Flag("workspace-key", "File with the key of a workspace for --target, as NAME=FILE; can be repeated.").StringMapVar(&f.keys)
	cmd.Flag("speed", "How much faster than recorded the load is sent.").Default("1").Float64Var(&f.speed)
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

// replay plays the trace inside this process and fails when an outcome that it states was missed.
func (t *Tool) replay(ctx context.Context, tr *trace.Trace, f *replayFlags) error {
	rep, err := trace.Replay(ctx, tr, trace.Options{Baselines: f.baselines, NoHistory: f.noHistory})
	if err != nil {
		return &exitError{code: ExitFailed, cause: err}
	}
	write := rep.WriteTable
	if t.asJSON {
		write = rep.WriteJSON
	}
	if err := write(t.Stdout); err != nil {
		return &exitError{code: ExitFailed, cause: err}
	}
	if f.plot != "" {
		if err := rep.WritePlot(f.plot); err != nil {
			return &exitError{code: ExitFailed, cause: err}
		}
	}
	for _, s := range rep.Stated {
		if !s.Met {
			return &exitError{code: ExitFailed, cause: errMissed}
		}
	}
	return nil
}

// sendLoad sends the trace to a running set and prints what its callers saw.
func (t *Tool) sendLoad(ctx context.Context, tr *trace.Trace, f *replayFlags) error {
	if f.speed <= 0 {
		return &exitError{code: ExitUsage, cause: errors.New("--speed: want a number above 0")}
	}
	l := &load{trace: tr, target: strings.TrimSuffix(f.target, "/"), keys: map[string]string{}, speed: f.speed, clock: clock.NewReal()}
	for name, file := range f.keys {
		key, err := settings.ReadKey(file)
		if err != nil {
			return &exitError{code: ExitUsage, cause: err}
		}
		l.keys[name] = string(key)
	}
	for i := range tr.Requests {
		if name := tr.Requests[i].Workspace; l.keys[name] == "" {
			return &exitError{code: ExitUsage, cause: errors.Newf("no key of workspace %s; give --workspace-key %s=FILE", name, name)}
		}
	}
	rows := l.run(ctx)
	return t.print(rows, loadHead, loadRows(rows))
}
