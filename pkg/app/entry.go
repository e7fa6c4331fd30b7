package app

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/settings"
)

// PlatformServer runs an entry instance that serves the routes of the users' platform.
type PlatformServer struct {
	// SettingsPath returns the path of the settings file for a command line without --settings.
	SettingsPath func() string
	// Serve runs the instance until ctx ends, then drains it, and returns an error if it could not start or drain.
	Serve func(ctx context.Context, e *settings.Entry, deps EntryDeps) error
}

// EntryDeps has what the process provides to the instance.
type EntryDeps struct {
	Log logr.Logger
	// LogDropped returns the number of log lines dropped since the start.
	LogDropped func() int64
	// Reloads delivers the valid settings that SIGHUP made the process read again.
	Reloads <-chan *settings.Entry
}

// addEntryCommand adds the command that serves the routes of the platform.
func addEntryCommand(k *kingpin.Application, stdout io.Writer, server PlatformServer) {
	cmd := k.Command("entry", "Serve the routes of the platform.")
	file := cmd.Flag("settings", "Settings file, JSON with comments; by default the one that the platform names.").Short('s').String()
	check := cmd.Flag("check", "Validate the settings, then exit.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		path := *file
		if path == "" {
			path = server.SettingsPath()
		}
		e, err := settings.LoadEntry(path)
		if err != nil {
			return &exitError{code: ExitUsage, cause: err}
		}
		if *check {
			fmt.Fprintf(stdout, "%s: the settings of instance %s are valid\n", path, e.Name)
			return nil
		}
		return runEntry(path, e, stdout, server)
	})
}

// runEntry serves until SIGTERM or SIGINT; further signals don't shorten the drain.
func runEntry(path string, e *settings.Entry, stdout io.Writer, server PlatformServer) error {
	runtime.GOMAXPROCS(e.Machine.Cores)
	debug.SetMemoryLimit(e.Machine.CollectorBytes())
	out, log := settings.NewAsyncLog(stdout, e.Logging)
	defer out.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	deps := EntryDeps{Log: log, LogDropped: out.Dropped.Load, Reloads: watchReloads(ctx, path, log)}
	if err := server.Serve(ctx, e, deps); err != nil {
		log.Error(err, "failed")
		return &exitError{code: ExitFailed, cause: err}
	}
	return nil
}

// watchReloads reads the settings again on each SIGHUP and skips invalid ones. It keeps catching the signal after ctx has
// ended, since the default action would kill the process during its drain.
func watchReloads(ctx context.Context, path string, log logr.Logger) <-chan *settings.Entry {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	out := make(chan *settings.Entry)
	go func() {
		for range hup {
			if ctx.Err() != nil {
				continue
			}
			e, err := settings.LoadEntry(path)
			if err != nil {
				log.Info("reloading the settings failed, keeping the current ones", "error", err.Error())
				continue
			}
			select {
			case out <- e:
			case <-ctx.Done():
			}
		}
	}()
	return out
}
