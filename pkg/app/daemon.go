package app

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

// ServeFunc runs an entry instance until ctx ends, then drains it, and returns an error if it could not start or drain.
type ServeFunc func(ctx context.Context, common settings.Common) error

// RunDaemon runs the command line of the daemon and returns its exit code, one of the Exit constants.
func RunDaemon(args []string, stdout, stderr io.Writer, serve ServeFunc, platformServer PlatformServer) int {
	k := newParser("carawayknotd", "Entry instance of the carawayknot router.", stdout, stderr)
	addEntryCommand(k, stdout, platformServer)
	serveCmd := k.Command("serve", "Serve callers through the native HTTP API.").Default()
	file := serveCmd.Flag("settings", "Settings file, JSON with comments.").Short('s').Required().String()
	check := serveCmd.Flag("check", "Validate the settings and the key files, then exit.").Bool()
	serveCmd.Action(func(*kingpin.ParseContext) error {
		s, err := loadSettings(*file)
		if err != nil {
			return &exitError{code: ExitUsage, cause: err}
		}
		if *check {
			fmt.Fprintf(stdout, "%s: the settings of instance %s are valid\n", *file, s.Name)
			return nil
		}
		return runServe(s, serve)
	})
	return run(k, args, stderr)
}

// loadSettings reads the settings and checks that the key files they name can be read.
func loadSettings(path string) (*settings.Settings, error) {
	s, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	for _, file := range []string{s.Keys.AdminFile, s.Keys.PeerFile, s.Keys.SessionFile} {
		if _, err := settings.ReadKey(file); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// runServe serves until SIGTERM or SIGINT; further signals don't shorten the drain.
func runServe(s *settings.Settings, serve ServeFunc) error {
	log, err := settings.NewLogger(s.Logging)
	if err != nil {
		return &exitError{code: ExitUsage, cause: err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	common := settings.Common{Log: log.WithValues("instance", s.Name), Settings: s, Clock: clock.NewReal()}
	if err := serve(ctx, common); err != nil {
		return &exitError{code: ExitFailed, cause: err}
	}
	return nil
}
