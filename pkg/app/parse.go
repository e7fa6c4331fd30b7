package app

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

// Version is the version of both programs.
const Version = "0.1.0"

// newParser returns a parser that writes to stdout and stderr and ends a run by a panic that run catches.
func newParser(name, help string, stdout, stderr io.Writer) *kingpin.Application {
	k := kingpin.New(name, help)
	k.UsageWriter(stdout)
	k.ErrorWriter(stderr)
	k.Terminate(func(code int) { panic(stopped{code: code}) })
	k.Version(Version)
	k.HelpFlag.Short('h')
	return k
}

// run parses the arguments, which calls the action of the chosen command, and returns the exit code.
func run(k *kingpin.Application, args []string, stderr io.Writer) (code int) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case stopped:
			code = p.code
		default:
			panic(p)
		}
	}()
	_, err := k.Parse(args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(stderr, "%s: error: %s\n", k.Name, err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	fmt.Fprintf(stderr, "%s: try %s --help\n", k.Name, k.Name)
	return ExitUsage
}
