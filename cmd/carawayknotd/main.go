// Command carawayknotd runs an entry instance of the router.
package main

import (
	"os"

	"carawayknot.example/carawayknot/pkg/app"
	"carawayknot.example/carawayknot/platform"
)

func main() {
	server := app.PlatformServer{SettingsPath: platform.SettingsPath, Serve: platform.Serve}
	os.Exit(app.RunDaemon(os.Args[1:], os.Stdout, os.Stderr, app.ServeNativeAPI, server))
}
