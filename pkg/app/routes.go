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

// ServeRoutes runs an entry instance on the users' platform.
type ServeRoutes struct {
	// SettingsPath returns the path of the settings file where the command line names none.
	SettingsPath func() string
	// Serve runs the instance until ctx ends, then drains it.
	Serve func(ctx context.Context, e *settings.Entry, o Outside) error
}

// Outside is what an instance gets from its process.
type Outside struct {
	Log logr.Logger
	// LogDropped returns how many log lines were dropped.
	LogDropped func() int64
	// Reloads has settings that were read anew.
	Reloads <-chan *settings.Entry
}

// memoryPart is the part of the memory from which on the garbage collector works harder.
const memoryPart = 0.5

// addRoutes adds the command that serves routes.
func addRoutes(k *kingpin.Application, stdout io.Writer, routes ServeRoutes) {
	cmd := k.Command("entry", "Serve the routes of the platform.")
	file := cmd.Flag("settings", "The settings file, JSON with comments; the platform names it otherwise.").Short('s').String()
	check := cmd.Flag("check", "Check the settings, then exit.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		path := *file
		if path == "" {
			path = routes.SettingsPath()
		}
		e, err := settings.LoadEntry(path)
		if err != nil {
			return &exitError{code: ExitUsage, cause: err}
		}
		if *check {
			fmt.Fprintf(stdout, "%s: the settings of instance %s are in order\n", path, e.Name)
			return nil
		}
		return runRoutes(path, e, stdout, routes)
	})
}

func runRoutes(path string, e *settings.Entry, stdout io.Writer, routes ServeRoutes) error {
	runtime.GOMAXPROCS(e.Machine.Cores)
	debug.SetMemoryLimit(int64(memoryPart * float64(e.Machine.MemoryMegabytes<<20)))
	out, log := settings.NewOutLog(stdout, e.Logging)
	defer out.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	o := Outside{Log: log, LogDropped: out.Dropped.Load, Reloads: reloads(ctx, path, log)}
	if err := routes.Serve(ctx, e, o); err != nil {
		log.Error(err, "failed")
		return &exitError{code: ExitFailed, cause: err}
	}
	return nil
}

// reloads reads the settings anew at each SIGHUP; a file that is wrong changes nothing. The signal stays caught after ctx has
// ended, since it would end the process in the middle of its drain otherwise.
func reloads(ctx context.Context, path string, log logr.Logger) <-chan *settings.Entry {
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
				log.Info("settings not reloaded", "cause", err.Error())
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
