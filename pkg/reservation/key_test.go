package reservation

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/request"
)

// TestP07KeyOfDifferentRequestIsDetected guards against a key that is reused for a different request and gets the answer to
// the first one.
func TestP07KeyOfDifferentRequestIsDetected(t *testing.T) {
	chat := func(options map[string]json.RawMessage) *request.Request {
		return &request.Request{Profile: "chat", Messages: []request.Message{{Role: "user", Content: "habari"}}, Options: options}
	}
	first := bodyDigest(chat(map[string]json.RawMessage{"temperature": json.RawMessage("0"), "n": json.RawMessage("1")}))
	for _, tc := range []struct {
		name    string
		options map[string]json.RawMessage
		same    bool
	}{
		{"same options", map[string]json.RawMessage{"n": json.RawMessage("1"), "temperature": json.RawMessage("0")}, true},
		{"different value", map[string]json.RawMessage{"temperature": json.RawMessage("1"), "n": json.RawMessage("1")}, false},
		{"option missing", map[string]json.RawMessage{"temperature": json.RawMessage("0")}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.same, bodyDigest(chat(tc.options)) == first); diff != "" {
				t.Errorf("digests equal (-want +got):\n%s", diff)
			}
		})
	}
}
