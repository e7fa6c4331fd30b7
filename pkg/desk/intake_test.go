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

// A client that streams a short body states no length; for the time of its answer it must not hold the room of the longest one.
func TestBodyOfUnknownLengthHoldsWhatItHas(t *testing.T) {
	var free bool
	caller := testCaller(testSnapshot(testNow), nil)
	limit := caller.Settings.Limits.BodyBytes
	caller.Budget = &delivery.Budget{Total: limit, PerRequest: limit}
	caller.Line = request.HandlerFunc(func(context.Context, *request.Call) error {
		var hold *delivery.Hold
		if hold, free = caller.Budget.Open(limit - int64(len(goodChat))); free {
			hold.Close()
		}
		return request.Refuse(request.ReasonNoVersion, 0, "enough seen")
	})
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, chatPath, strings.NewReader(goodChat))
	r.ContentLength = -1
	r.Header.Set("Authorization", "Bearer "+guestKey)
	r.Header.Set(HeaderProfile, "chat")
	w := httptest.NewRecorder()
	caller.ServeHTTP(w, r)
	if e := errorOf(t, w.Body.String()); e.Reason != request.ReasonNoVersion {
		t.Fatalf("the line was not reached: %+v", e)
	}
	if diff := cmp.Diff(true, free); diff != "" {
		t.Errorf("room beside the body (-want +got):\n%s", diff)
	}
	if _, ok := caller.Budget.Open(limit); !ok {
		t.Error("room is left reserved after the request")
	}
}
