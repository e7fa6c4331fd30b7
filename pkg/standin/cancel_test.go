package standin

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
)

func TestEngineCancel(t *testing.T) {
	const hour = 3600 * 1000
	cases := []struct {
		name string
		keep bool
		// wantStatus is that of a request that resumes the cancelled one.
		wantStatus int
	}{
		{name: "drop", wantStatus: 404},
		{name: "keep", keep: true, wantStatus: 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			// The second token is due after an hour, but at once after the request is resumed, as TokenMillis is 0 by then.
			e := NewEngine(EngineFaults{Versions: []catalogue.VersionID{"m@1"}, Tokens: 2, TokenMillis: hour})
			srv := httptest.NewServer(e.Handler())
			defer srv.Close()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+"/v1/chat/completions", strings.NewReader(chatBody))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("X-Request-Id", "r")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			first, _ := bufio.NewReader(resp.Body).ReadString('\n')
			if diff := cmp.Diff(tokenEvent("r", 0, false), first+"\n"); diff != "" {
				t.Errorf("first event (-want +got):\n%s", diff)
			}
			address := strings.TrimPrefix(srv.URL, "http://")
			if err := (&backoffice.Engines{}).Cancel(t.Context(), address, "r", c.keep); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(resp.Body); err == nil {
				t.Error("cancelled request: response ended normally, want it cut off")
			}
			e.Faults.Update(func(f *EngineFaults) { f.TokenMillis = 0 })
			status, body := post(t, srv.URL, "r", "1")
			if diff := cmp.Diff(c.wantStatus, status); diff != "" {
				t.Errorf("status of the resumed request (-want +got):\n%s", diff)
			}
			if want := tokenEvent("r", 1, true) + "data: [DONE]\n\n"; c.keep && body != want {
				t.Errorf("resumed answer (-want +got):\n%s", cmp.Diff(want, body))
			}
		})
	}
}

func TestEngineDropsAllOverHoldBytes(t *testing.T) {
	e := NewEngine(EngineFaults{Versions: []catalogue.VersionID{"m@1"}, Tokens: 1_000_000, HoldBytes: 1000})
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	status, body := post(t, srv.URL, "r", "")
	if status != 200 || strings.HasSuffix(body, "[DONE]\n\n") {
		t.Errorf("status %d, %d bytes; want status 200 and a response that is cut off", status, len(body))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stats.FellOver == 0 {
		t.Error("FellOver = 0, want at least 1")
	}
}
