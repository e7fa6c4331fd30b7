package settings

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

func TestDuties(t *testing.T) {
	for _, c := range []struct {
		name, duties string
		// field is the one that is refused, or "".
		field   string
		enabled bool
	}{
		{"no duties", ``, "", false},
		{"a duty", `"Duties": {"Address": "10.0.0.8:8424", "Names": ["Usage"], "PerSecond": 0.5, "FencingRequired": false},`, "", true},
		{"another duty", `"Duties": {"Address": "10.0.0.8:8424", "Names": ["Scaling"]},`, "", false},
		{"names without an address", `"Duties": {"Names": ["Usage"]},`, "", false},
		{"no list", `"Duties": {"Address": "10.0.0.8:8424", "Names": "Usage"},`, "Duties.Names", false},
		{"a number in the list", `"Duties": {"Address": "10.0.0.8:8424", "Names": [1]},`, "Duties.Names", false},
		{"a short lease", `"Duties": {"Address": "10.0.0.8:8424", "Lease": 10},`, "Duties.Lease", false},
		{"no address", `"Duties": {"Address": "host"},`, "Duties.Address", false},
		{"a number as switch", `"Duties": {"FencingRequired": 1},`, "Duties.FencingRequired", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, err := ParseEntry([]byte(replaceOnce(t, `"Machine"`, c.duties+` "Machine"`)))
			field := ""
			var refused *FieldError
			if errors.As(err, &refused) {
				field = refused.Field
			}
			if diff := cmp.Diff(c.field, field); diff != "" {
				t.Fatalf("refused field (-want +got):\n%s", diff)
			}
			if err == nil && e.Duties.Enabled("Usage") != c.enabled {
				t.Errorf("got enabled %v, want %v", !c.enabled, c.enabled)
			}
		})
	}
}
