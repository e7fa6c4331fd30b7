// Command standin plays one service of a platform for tests and first trials.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"carawayknot.example/carawayknot/pkg/standin"
	usersstandin "carawayknot.example/carawayknot/platform/standin"
)

// events and pace are the length of the streams of the users' upstreams and the pause between their events.
const (
	events = 6
	pace   = 20 * time.Millisecond
)

// served makes a stand-in of a handler.
type served struct{ handler http.Handler }

// Handler returns the handler.
func (s served) Handler() http.Handler { return s.handler }

func main() {
	app := kingpin.New("standin", "Plays one service of the platform for tests and first trials.")
	listen := app.Flag("listen", "Listen address as ip:port; port 0 picks a free one.").Default("127.0.0.1:0").String()
	faults := app.Flag("faults", "Faults as JSON with fields in Pascal case, as PUT /faults takes them.").Default("{}").String()
	report := app.Flag("ratings", "Base URL of the ratings stand-in that an engine tells of its answers.").String()
	for _, name := range standin.Names() {
		app.Command(name, "Plays the "+name+" service.")
	}
	store := app.Command("users-store", "Plays the store of the users' platform.")
	records := store.Arg("records", "Files with records: lines of a topic, a key and a value.").ExistingFiles()
	replica := app.Command("users-upstream", "Plays an upstream of the users' platform.")
	id := replica.Arg("id", "Name of the upstream.").Required().String()
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	var s standin.StandIn
	var err error
	switch name {
	case store.FullCommand():
		var h *usersstandin.Store
		h, err = usersstandin.LoadStore(*records)
		s = served{h}
	case replica.FullCommand():
		s = served{&usersstandin.Replica{ID: *id, Events: events, Pace: pace}}
	default:
		s, err = standin.New(name, *faults, *report)
	}
	app.FatalIfError(err, "")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app.FatalIfError(standin.Serve(ctx, *listen, s, os.Stdout), "")
}
