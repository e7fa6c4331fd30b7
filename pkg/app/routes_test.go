package app

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/settings"
)

// entryFile writes the settings of an entry instance with the given confidence.
func entryFile(t *testing.T, confidence string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "entry.json")
	text := `{
	// for tests
	"Name": "edge-1", "Zone": "zone-a", "CallerAddress": "127.0.0.1:1", "ReadyAddress": "127.0.0.1:2", "AdminAddress": "127.0.0.1:3",
	"PeerAddress": "127.0.0.1:4", "StoreAddress": "127.0.0.1:5", "Policy": { "LeastConfidence": ` + confidence + ` }
}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestEntryCommand(t *testing.T) {
	for _, c := range []struct {
		name  string
		args  []string
		serve error
		code  int
		out   string
	}{
		{name: "check", args: []string{"--check", "--settings", entryFile(t, "60")}, code: ExitOK, out: "edge-1 are in order"},
		{name: "wrong value", args: []string{"--settings", entryFile(t, "101")}, code: ExitUsage, out: "Policy.LeastConfidence"},
		{name: "path of the platform", args: nil, code: ExitOK},
		{name: "failure", args: nil, serve: errors.New("address in use"), code: ExitFailed, out: "address in use"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := entryFile(t, "60")
			routes := ServeRoutes{
				SettingsPath: func() string { return path },
				Serve:        func(context.Context, *settings.Entry, Outside) error { return c.serve },
			}
			var out bytes.Buffer
			code := RunDaemon(append([]string{"entry"}, c.args...), &out, &out, nil, routes)
			if code != c.code || !strings.Contains(out.String(), c.out) {
				t.Errorf("exit code %d, want %d and %q:\n%s", code, c.code, c.out, out.String())
			}
		})
	}
}

// TestReloadDuringDrain sends SIGHUP to this process after its context has ended; were the signal no longer caught, the test
// would end here.
func TestReloadDuringDrain(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	path := entryFile(t, "45")
	out := reloads(ctx, path, logr.Discard())
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if e := <-out; e.Policy.LeastConfidence != 45 {
		t.Errorf("read a confidence of %d, want 45", e.Policy.LeastConfidence)
	}
	cancel()
	for range 3 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	select {
	case e := <-out:
		t.Errorf("read %+v after the end", e)
	default:
	}
}
