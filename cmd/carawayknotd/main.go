// Command carawayknotd is an entry instance.
package main

import (
	"os"

	"carawayknot.example/carawayknot/pkg/app"
)

func main() {
	os.Exit(app.RunDaemon(os.Args[1:], os.Stdout, os.Stderr, app.ServeCallers))
}
