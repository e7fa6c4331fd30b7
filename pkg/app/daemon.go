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

// Serve runs a daemon until ctx ends, then drains it.
type Serve func(ctx context.Context, common settings.Common) error

// RunDaemon carries out the command line of the daemon and returns the exit code.
func RunDaemon(args []string, stdout, stderr io.Writer, serve Serve, routes ServeRoutes) int {
	k := newParser("carawayknotd", "An entry instance of carawayknot.", stdout, stderr)
	addRoutes(k, stdout, routes)
	own := k.Command("serve", "Serve callers by the own interface.").Default()
	file := own.Flag("settings", "The settings file, JSON with comments.").Short('s').Required().String()
	check := own.Flag("check", "Check the settings and the key files, then exit.").Bool()
	own.Action(func(*kingpin.ParseContext) error {
		s, err := loadSettings(*file)
		if err != nil {
			return &exitError{code: ExitUsage, cause: err}
		}
		if *check {
			fmt.Fprintf(stdout, "%s: the settings of instance %s are in order\n", *file, s.Name)
			return nil
		}
		return runDaemon(s, serve)
	})
	return run(k, args, stderr)
}

// loadSettings reads the settings and tries the key files that they name.
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

// runDaemon serves until SIGTERM or SIGINT; further signals don't shorten the drain.
func runDaemon(s *settings.Settings, serve Serve) error {
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
