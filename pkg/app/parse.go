package app

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

// Version is the version that both programs print with --version.
const Version = "0.1.0"

// newParser returns a command-line parser whose early exits are panics of type parserExit, which run recovers.
func newParser(name, help string, stdout, stderr io.Writer) *kingpin.Application {
	k := kingpin.New(name, help)
	k.UsageWriter(stdout)
	k.ErrorWriter(stderr)
	k.Terminate(func(code int) { panic(parserExit{code: code}) })
	k.Version(Version)
	k.HelpFlag.Short('h')
	return k
}

// run parses the arguments, executes the chosen command and returns the exit code.
func run(k *kingpin.Application, args []string, stderr io.Writer) (code int) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case parserExit:
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
