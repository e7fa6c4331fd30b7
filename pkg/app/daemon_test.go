package app

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/settings"
)

func TestRunDaemon(t *testing.T) {
	keyFile := writeFile(t, "a.key", testKey)
	settingsFile := func(name, adminKeyFile string) string {
		return writeFile(t, "entry.json", fmt.Sprintf(`{
	"Name": %q, "Zone": "arusha-1",
	"Platform": {"Log": "http://10.0.0.9:9000", "List": "http://10.0.0.9:9001"},
	"Keys": {"AdminFile": %q, "PeerFile": %q, "SessionFile": %q},
}`, name, adminKeyFile, keyFile, keyFile))
	}
	for _, c := range []struct {
		name   string
		args   []string
		serve  error
		code   int
		served bool
		out    string
	}{
		{name: "no settings flag", args: nil, code: ExitUsage, out: "--settings"},
		{name: "version", args: []string{"--version"}, code: ExitOK, out: Version},
		{name: "check", args: []string{"--settings", settingsFile("entry-1", keyFile), "--check"}, code: ExitOK, out: "entry-1 are valid"},
		{name: "check of invalid settings", args: []string{"--settings", settingsFile("entry 1", keyFile), "--check"}, code: ExitUsage, out: "entry.json:2: field Name"},
		{name: "check with a missing key file", args: []string{"--settings", settingsFile("entry-1", "/nowhere.key"), "--check"}, code: ExitUsage, out: "/nowhere.key"},
		{name: "serve", args: []string{"--settings", settingsFile("entry-1", keyFile)}, code: ExitOK, served: true},
		{name: "serve with an error", args: []string{"--settings", settingsFile("entry-1", keyFile)}, serve: errors.New("address in use"), code: ExitFailed, served: true, out: "address in use"},
	} {
		t.Run(c.name, func(t *testing.T) {
			served := false
			var out bytes.Buffer
			code := RunDaemon(c.args, &out, &out, func(_ context.Context, common settings.Common) error {
				served = common.Settings.Name == "entry-1" && common.Clock != nil
				return c.serve
			}, PlatformServer{})
			if code != c.code || served != c.served || !strings.Contains(out.String(), c.out) {
				t.Errorf("exit code %d, served %t; want %d, %t and output with %q:\n%s", code, served, c.code, c.served, c.out, out.String())
			}
		})
	}
}
