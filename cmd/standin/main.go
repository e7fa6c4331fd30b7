// Command standin plays one service of the platform for tests and first trials.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"carawayknot.example/carawayknot/pkg/standin"
)

func main() {
	app := kingpin.New("standin", "Plays one service of the platform for tests and first trials.")
	listen := app.Flag("listen", "Listen address as ip:port; port 0 picks a free one.").Default("127.0.0.1:0").String()
	faults := app.Flag("faults", "Faults as JSON with fields in Pascal case, as PUT /faults takes them.").Default("{}").String()
	report := app.Flag("ratings", "Base URL of the ratings stand-in that an engine tells of its answers.").String()
	for _, name := range standin.Names() {
		app.Command(name, "Plays the "+name+" service.")
	}
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	s, err := standin.New(name, *faults, *report)
	app.FatalIfError(err, "")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app.FatalIfError(standin.Serve(ctx, *listen, s, os.Stdout), "")
}
