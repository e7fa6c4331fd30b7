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

// writeEntrySettings writes entry settings with the given Policy.LeastConfidence and returns the path.
func writeEntrySettings(t *testing.T, confidence string) string {
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
		{name: "check", args: []string{"--check", "--settings", writeEntrySettings(t, "60")}, code: ExitOK, out: "edge-1 are valid"},
		{name: "value out of range", args: []string{"--settings", writeEntrySettings(t, "101")}, code: ExitUsage, out: "Policy.LeastConfidence"},
		{name: "settings path from the platform", args: nil, code: ExitOK},
		{name: "serve with an error", args: nil, serve: errors.New("address in use"), code: ExitFailed, out: "address in use"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := writeEntrySettings(t, "60")
			server := PlatformServer{
				SettingsPath: func() string { return path },
				Serve:        func(context.Context, *settings.Entry, EntryDeps) error { return c.serve },
			}
			var out bytes.Buffer
			code := RunDaemon(append([]string{"entry"}, c.args...), &out, &out, nil, server)
			if code != c.code || !strings.Contains(out.String(), c.out) {
				t.Errorf("exit code %d; want %d and output with %q:\n%s", code, c.code, c.out, out.String())
			}
		})
	}
}

// TestReloadDuringDrain guards against a SIGHUP that kills the instance while it drains: if the signal were no longer caught
// after the context ends, it would kill the test process.
func TestReloadDuringDrain(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	path := writeEntrySettings(t, "45")
	out := watchReloads(ctx, path, logr.Discard())
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if e := <-out; e.Policy.LeastConfidence != 45 {
		t.Errorf("reloaded LeastConfidence %d, want 45", e.Policy.LeastConfidence)
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
		t.Errorf("reloaded %+v after the context ended", e)
	default:
	}
}
