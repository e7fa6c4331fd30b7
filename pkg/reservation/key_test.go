package reservation

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/request"
)

// A key that comes again with another request must not get the answer to the first one.
func TestP07KeyOfAnotherRequestIsNoticed(t *testing.T) {
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
		{"another value", map[string]json.RawMessage{"temperature": json.RawMessage("1"), "n": json.RawMessage("1")}, false},
		{"an option less", map[string]json.RawMessage{"temperature": json.RawMessage("0")}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.same, bodyDigest(chat(tc.options)) == first); diff != "" {
				t.Errorf("taken for the same request (-want +got):\n%s", diff)
			}
		})
	}
}
