// Command standin runs a simulated service of the platform, for tests and local trials.
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

// Events of one stream of a users' upstream and the interval between them, and how long it is down and slow after a crash.
const (
	streamEvents  = 6
	eventInterval = 20 * time.Millisecond
	downTime      = 2 * time.Second
	coldTime      = 2 * time.Second
)

// handlerStandIn is a stand-in that serves all requests with one handler.
type handlerStandIn struct{ handler http.Handler }

// Handler implements standin.StandIn.
func (s handlerStandIn) Handler() http.Handler { return s.handler }

func main() {
	app := kingpin.New("standin", "Simulates one service of the platform for tests and local trials.")
	listen := app.Flag("listen", "Listen address as ip:port; port 0 picks a free port.").Default("127.0.0.1:0").String()
	faults := app.Flag("faults", "Faults to inject, as JSON with PascalCase fields, like the body of PUT /faults.").Default("{}").String()
	ratingsURL := app.Flag("ratings", "Base URL of the ratings stand-in to which an engine reports its answers.").String()
	for _, name := range standin.Names() {
		app.Command(name, "Simulates the "+name+" service.")
	}
	store := app.Command("users-store", "Simulates the store of the users' platform.")
	records := store.Arg("records", "Files of records, one a line: topic, key and value.").ExistingFiles()
	replica := app.Command("users-upstream", "Simulates an upstream of the users' platform.")
	id := replica.Arg("id", "Name of the upstream.").Required().String()
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch name {
	case store.FullCommand():
		err = serveStore(ctx, *listen, *faults, *records)
	case replica.FullCommand():
		err = serveReplica(ctx, *listen, *faults, *id)
	default:
		err = serve(ctx, *listen, name, *faults, *ratingsURL)
	}
	app.FatalIfError(err, "")
}

func serve(ctx context.Context, listen, name, faults, ratingsURL string) error {
	s, err := standin.New(name, faults, ratingsURL)
	if err != nil {
		return err
	}
	return standin.Serve(ctx, listen, s, os.Stdout)
}

func serveStore(ctx context.Context, listen, faults string, records []string) error {
	f, err := usersstandin.ParseStoreFaults(faults)
	if err != nil {
		return err
	}
	s, err := usersstandin.LoadStore(records)
	if err != nil {
		return err
	}
	s.SetFaults(f)
	return standin.Serve(ctx, listen, handlerStandIn{s}, os.Stdout)
}

func serveReplica(ctx context.Context, listen, faults, id string) error {
	f, err := usersstandin.ParseReplicaFaults(faults)
	if err != nil {
		return err
	}
	rep := &usersstandin.Replica{ID: id, Events: streamEvents, EventInterval: eventInterval, DownTime: downTime, ColdTime: coldTime}
	rep.SetFaults(f)
	return usersstandin.Serve(ctx, rep, listen, os.Stdout)
}
