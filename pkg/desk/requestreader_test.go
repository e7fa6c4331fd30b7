package desk

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/request"
)

// A chunked request has no Content-Length, so memory for the longest body is reserved before it is read. The reservation must
// shrink to the bytes received, or such requests use up the budget until they end.
func TestBodyOfUnknownLengthReservesItsSize(t *testing.T) {
	var free bool
	caller := testCaller(testSnapshot(testNow), nil)
	limit := caller.Settings.Limits.BodyBytes
	caller.Budget = &delivery.Budget{Total: limit, PerRequest: limit}
	caller.Handler = request.HandlerFunc(func(context.Context, *request.Call) error {
		var allocation *delivery.Allocation
		if allocation, free = caller.Budget.Reserve(limit - int64(len(validChat))); free {
			allocation.Close()
		}
		return request.Refuse(request.ReasonNoVersion, 0, "the test ends here")
	})
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, chatPath, strings.NewReader(validChat))
	r.ContentLength = -1
	r.Header.Set("Authorization", "Bearer "+workspaceKey)
	r.Header.Set(HeaderProfile, "chat")
	w := httptest.NewRecorder()
	caller.ServeHTTP(w, r)
	if e := decodeError(t, w.Body.String()); e.Reason != request.ReasonNoVersion {
		t.Fatalf("got %+v, want NoVersion from the filter chain", e)
	}
	if diff := cmp.Diff(true, free); diff != "" {
		t.Errorf("memory free beside the body (-want +got):\n%s", diff)
	}
	if _, ok := caller.Budget.Reserve(limit); !ok {
		t.Error("memory is still reserved after the request")
	}
}
