// Command carawayknot is the command-line tool with which operators configure and inspect running instances.
package main

import (
	"os"

	"carawayknot.example/carawayknot/pkg/app"
	"carawayknot.example/carawayknot/platform"
)

func main() {
	os.Exit(app.RunTool(os.Args[1:], os.Stdin, os.Stdout, os.Stderr, platform.ConfigReader{}))
}
