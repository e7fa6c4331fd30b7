package desk

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"carawayknot.example/carawayknot/pkg/request"
)

// FuzzCaller sends arbitrary bytes as headers, path and body: nothing panics, and each error response has a documented
// reason and the outcome NotRun.
func FuzzCaller(f *testing.F) {
	f.Add("POST", chatPath, validChat, "", "", "")
	f.Add("POST", chatPath, `{"messages":[{"role":"user","content":"x"}],"n":1e99}`, "-5", "false", "chat")
	f.Add("POST", chatPath, "[[[[", "9223372036854775807", "", "\xff")
	f.Add("PUT", "/services/booking/%2e%2e/x?y=%zz", "six", "1", "true", "")
	f.Add("HEAD", "/services//", "", "", "", "")
	f.Add("OPTIONS", "*", "", "", "", "")
	f.Add("GET", "/readyz", "", "", "", "")
	f.Add("POST", chatPath, `{"model":null,"messages":null,"stream":null,"max_tokens":null}`, "", "", "")
	f.Fuzz(func(t *testing.T, method, path, body, deadline, repeatable, profile string) {
		r, err := http.NewRequest(method, "http://10.0.0.1", strings.NewReader(body))
		if err != nil {
			return
		}
		if r.URL, err = r.URL.Parse(path); err != nil {
			return
		}
		r.Header.Set("Authorization", "Bearer "+workspaceKey)
		r.Header.Set(HeaderDeadline, deadline)
		r.Header.Set(HeaderRepeatable, repeatable)
		r.Header.Set(HeaderProfile, profile)
		caller := testCaller(testSnapshot(testNow), func(_ context.Context, c *request.Call) error {
			if !c.Request.Repeatable && c.Request.Key == "" {
				t.Error("a request that is not repeatable reached the filter chain without an idempotency key")
			}
			return request.Refuse(request.ReasonNoUpstream, 0, "the test ends here")
		})
		w := httptest.NewRecorder()
		caller.ServeHTTP(w, r)
		if w.Code == http.StatusOK || w.Code == http.StatusMethodNotAllowed || r.URL.Path == "/readyz" {
			return
		}
		var e ErrorBody
		if err := json.Unmarshal(w.Body.Bytes(), &e); err != nil {
			t.Fatalf("got status %d and a body that is not an ErrorBody: %q", w.Code, w.Body.String())
		}
		if _, known := statusByReason[e.Reason]; !known || e.Outcome != request.NotRun {
			t.Errorf("got status %d and %+v, want a documented reason and NotRun", w.Code, e)
		}
	})
}
