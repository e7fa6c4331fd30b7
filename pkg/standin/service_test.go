package standin

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestServiceBreaks(t *testing.T) {
	type outcome struct {
		Status int
		Whole  bool
		Runs   int
	}
	cases := []struct {
		name   string
		faults ServiceFaults
		want   outcome
	}{
		{name: "no fault", want: outcome{200, true, 1}},
		{name: "before read", faults: ServiceFaults{Break: BreakBeforeRead, Breaks: 1}},
		{name: "after header", faults: ServiceFaults{Break: BreakAfterHeader, Breaks: 1}},
		{name: "after body", faults: ServiceFaults{Break: BreakAfterBody, Breaks: 1}},
		{name: "after run", faults: ServiceFaults{Break: BreakAfterRun, Breaks: 1}, want: outcome{0, false, 1}},
		{name: "in response", faults: ServiceFaults{Break: BreakInAnswer, Breaks: 1}, want: outcome{200, false, 1}},
		{name: "unframed", faults: ServiceFaults{Unframed: true}, want: outcome{200, true, 1}},
		{name: "unframed, reset in response", faults: ServiceFaults{Unframed: true, Break: BreakInAnswer, Breaks: 1}, want: outcome{200, false, 1}},
		{name: "pause in response", faults: ServiceFaults{PauseMillis: 20}, want: outcome{200, true, 1}},
		{name: "unframed, pause in response", faults: ServiceFaults{Unframed: true, PauseMillis: 20}, want: outcome{200, true, 1}},
		{name: "refused", faults: ServiceFaults{Status: 503}, want: outcome{503, true, 0}},
		{name: "refused after the run", faults: ServiceFaults{Status: 503, RunRefused: true}, want: outcome{503, true, 1}},
		{name: "response lost", faults: ServiceFaults{Faults: Faults{LoseAnswers: 1}}, want: outcome{0, false, 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &Service{}
			s.Faults.Update(func(f *ServiceFaults) { *f = c.faults })
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			srv := &httptest.Server{Listener: s.Listener(ln), Config: &http.Server{Handler: s.Handler()}}
			srv.Start()
			defer srv.Close()
			got := outcome{}
			resp, err := http.Post(srv.URL+"/book", "text/plain", strings.NewReader("table 4"))
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				got.Status, got.Whole = resp.StatusCode, err == nil
				if isUnframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0; isUnframed != c.faults.Unframed {
					t.Errorf("response is unframed: %t, want %t", isUnframed, c.faults.Unframed)
				}
			}
			got.Runs = len(s.Runs().Runs)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}
