// Command carawayknotd is an entry instance.
package main

import (
	"os"

	"carawayknot.example/carawayknot/pkg/app"
	"carawayknot.example/carawayknot/platform"
)

func main() {
	routes := app.ServeRoutes{SettingsPath: platform.SettingsPath, Serve: platform.Serve}
	os.Exit(app.RunDaemon(os.Args[1:], os.Stdout, os.Stderr, app.ServeCallers, routes))
}
