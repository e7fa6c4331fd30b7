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

// FuzzCaller sends any bytes as headers, path and body: nothing panics, and each answer that is an error names one of
// the documented reasons and is NotRun.
func FuzzCaller(f *testing.F) {
	f.Add("POST", chatPath, goodChat, "", "", "")
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
		r.Header.Set("Authorization", "Bearer "+guestKey)
		r.Header.Set(HeaderDeadline, deadline)
		r.Header.Set(HeaderRepeatable, repeatable)
		r.Header.Set(HeaderProfile, profile)
		caller := testCaller(testSnapshot(testNow), func(_ context.Context, c *request.Call) error {
			if !c.Request.Repeatable && c.Request.Key == "" {
				t.Error("a request that must not run twice came without a key")
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
			t.Fatalf("status %d, body %q", w.Code, w.Body.String())
		}
		if _, known := statuses[e.Reason]; !known || e.Outcome != request.NotRun {
			t.Errorf("status %d, %+v", w.Code, e)
		}
	})
}
