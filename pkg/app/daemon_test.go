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
	key := writeFile(t, "a.key", testKey)
	file := func(name, adminKey string) string {
		return writeFile(t, "entry.json", fmt.Sprintf(`{
	"Name": %q, "Zone": "arusha-1",
	"Platform": {"Log": "http://10.0.0.9:9000", "List": "http://10.0.0.9:9001"},
	"Keys": {"AdminFile": %q, "PeerFile": %q, "SessionFile": %q},
}`, name, adminKey, key, key))
	}
	for _, c := range []struct {
		name   string
		args   []string
		serve  error
		code   int
		served bool
		out    string
	}{
		{name: "no settings", args: nil, code: ExitUsage, out: "--settings"},
		{name: "version", args: []string{"--version"}, code: ExitOK, out: Version},
		{name: "check", args: []string{"--settings", file("entry-1", key), "--check"}, code: ExitOK, out: "entry-1 are in order"},
		{name: "check of wrong settings", args: []string{"--settings", file("entry 1", key), "--check"}, code: ExitUsage, out: "entry.json:2: field Name"},
		{name: "check of a missing key", args: []string{"--settings", file("entry-1", "/nowhere.key"), "--check"}, code: ExitUsage, out: "/nowhere.key"},
		{name: "serve", args: []string{"--settings", file("entry-1", key)}, code: ExitOK, served: true},
		{name: "serve and fail", args: []string{"--settings", file("entry-1", key)}, serve: errors.New("address in use"), code: ExitFailed, served: true, out: "address in use"},
	} {
		t.Run(c.name, func(t *testing.T) {
			served := false
			var out bytes.Buffer
			code := RunDaemon(c.args, &out, &out, func(_ context.Context, common settings.Common) error {
				served = common.Settings.Name == "entry-1" && common.Clock != nil
				return c.serve
			}, ServeRoutes{})
			if code != c.code || served != c.served || !strings.Contains(out.String(), c.out) {
				t.Errorf("exit code %d, served %t, want %d, %t and %q:\n%s", code, served, c.code, c.served, c.out, out.String())
			}
		})
	}
}
