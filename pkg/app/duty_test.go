package app

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestDutyCommand(t *testing.T) {
	for _, c := range []struct {
		name, state, want string
		code              int
	}{
		{"usage", `{"Now":9500,"Duties":{"Lease":{"Holder":"edge-1","Token":7,"Since":2000,"Held":true},"Usage":{"Next":12,"Sent":3}}}`,
			"edge-1 7 7.5 s yes no 12 0 3 0 0", ExitOK},
		{"no usage", `{"Now":9500,"Duties":{"Lease":{"Holder":"edge-1","Token":7,"Since":2000},"Standby":true}}`, "edge-1 7 7.5 s no yes", ExitOK},
		{"no duties", `{"Now":9500}`, "", ExitFailed},
		{"nonsense", `<html>`, "", ExitFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, c.state) }))
			t.Cleanup(srv.Close)
			var out, errOut bytes.Buffer
			code := RunTool([]string{"duty", srv.URL}, strings.NewReader(""), &out, &errOut, nil)
			_, row, _ := strings.Cut(out.String(), "\n")
			if diff := cmp.Diff([]any{c.want, c.code}, []any{strings.Join(strings.Fields(row), " "), code}); diff != "" {
				t.Errorf("row and exit code (-want +got):\n%s\n%s", diff, errOut.String())
			}
		})
	}
}
