package app

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

// Tool is the operator tool; commands read and write the given streams instead of those of the process.
type Tool struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Tables reads route configurations; it is nil where there are none.
	Tables TableReader

	admin  client
	asJSON bool
}

// RunTool runs the command line of the operator tool and returns its exit code, one of the Exit constants; tables may be nil.
func RunTool(args []string, stdin io.Reader, stdout, stderr io.Writer, tables TableReader) int {
	t := &Tool{Stdin: stdin, Stdout: stdout, Stderr: stderr, Tables: tables}
	return t.Run(args)
}

// Run executes one command line, without the program name, and returns the exit code.
func (t *Tool) Run(args []string) int {
	k := newParser("carawayknot", toolHelp, t.Stdout, t.Stderr)
	k.Flag("admin", "URL of the admin API of any instance.").Envar("CARAWAYKNOT_ADMIN").
		Default("http://127.0.0.1:8081").StringVar(&t.admin.base)
	k.Flag("key-file", "File that holds the admin key.").Envar("CARAWAYKNOT_KEY_FILE").StringVar(&t.admin.keyFile)
	k.Flag("author", "Name to record as the author of changes.").Envar("USER").StringVar(&t.admin.author)
	k.Flag("json", "Print JSON instead of tables.").BoolVar(&t.asJSON)
	t.configCommands(k)
	t.zoneCommands(k)
	t.versionCommands(k)
	t.upstreamCommands(k)
	t.stateCommand(k)
	t.dutyCommand(k)
	t.billCommand(k)
	t.requestCommand(k)
	t.replayCommand(k)
	if len(args) == 0 {
		k.Usage(nil)
		return ExitUsage
	}
	return run(k, args, t.Stderr)
}

const toolHelp = `Operate a running carawayknot through the admin API of any of its instances.

Exit codes: 0 success, 1 refused, failed or with findings, 2 invalid command line or file, 3 no response from the instance, 4 the change is in
the log but not yet confirmed by a majority of instances. Shell completion: eval "$(carawayknot --completion-script-bash)".`

// action adapts f to a parser action; its context ends on SIGINT and SIGTERM.
func action(f func(ctx context.Context) error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		return f(ctx)
	}
}
