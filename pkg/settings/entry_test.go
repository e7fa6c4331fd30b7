package settings

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// entryFile has settings as the platform fills them in.
const entryFile = `{
	"Name": "edge-a-1", "Zone": "a",
	"CallerAddress": "10.0.0.1:8080", "ReadyAddress": "10.0.0.1:8081", "AdminAddress": "10.0.0.1:9464", "PeerAddress": "10.0.0.1:7340",
	"StoreAddress": "10.0.0.9:8223",
	"Machine": {"MemoryMegabytes": 284, "Descriptors": 4100, "Cores": 1},
	"Bounds": {
		"Revocation": 5000, "ConfigApply": 4000, "Drain": 4000, "GraceSeconds": 8, "SessionSeconds": 6.5, "ExposureShare": 0.12,
		"ExposureSlack": 30, "RetryShare": 0.9, "RetrySlack": 630, "RetryWindowSeconds": 10
	}
}`

// Failure: a platform that plays a share of its traffic names bounds with fractions, and instances refused to start.
func TestBoundsMayHaveFractions(t *testing.T) {
	for _, c := range []struct{ from, to string }{
		{`"Revocation": 5000`, `"Revocation": 4999.5`},
		{`"ConfigApply": 4000`, `"ConfigApply": 4000.25`},
		{`"Drain": 4000`, `"Drain": 3999.9`},
		{`"GraceSeconds": 8`, `"GraceSeconds": 7.75`},
		{`"SessionSeconds": 6.5`, `"SessionSeconds": 6.4999`},
		{`"ExposureSlack": 30`, `"ExposureSlack": 1.57`},
		{`"RetryShare": 0.9`, `"RetryShare": 0.905`},
		{`"RetrySlack": 630`, `"RetrySlack": 33.157894`},
		{`"RetryWindowSeconds": 10`, `"RetryWindowSeconds": 9.5`},
	} {
		t.Run(c.to, func(t *testing.T) {
			e, err := ParseEntry([]byte(replaceOnce(t, c.from, c.to)))
			if err != nil {
				t.Fatal(err)
			}
			whole, err := ParseEntry([]byte(entryFile))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(whole.Bounds, e.Bounds); diff == "" && c.to != `"ConfigApply": 4000.25` {
				t.Error("the fraction changed nothing")
			}
		})
	}
}

// Bounds on times round down, so that no request is served later than the platform allows.
func TestFractionsOfTimesAreRoundedDown(t *testing.T) {
	e, err := ParseEntry([]byte(replaceOnce(t, `"Drain": 4000`, `"Drain": 3999.9`)))
	if err != nil {
		t.Fatal(err)
	}
	if e.Bounds.Drain != 3999 {
		t.Errorf("got a drain time of %d ms, want 3999", e.Bounds.Drain)
	}
}

func TestCountsOfEntryStayWhole(t *testing.T) {
	for _, c := range []struct{ from, to, field, want string }{
		{`"MemoryMegabytes": 284`, `"MemoryMegabytes": 284.5`, "Machine.MemoryMegabytes", "a whole number"},
		{`"Descriptors": 4100`, `"Descriptors": 4100.5`, "Machine.Descriptors", "a whole number"},
		{`"Cores": 1`, `"Cores": 0.5`, "Machine.Cores", "a whole number"},
		{`"RetrySlack": 630`, `"RetrySlack": -0.5`, "Bounds.RetrySlack", "a number of at least 0"},
		{`"ExposureSlack": 30`, `"ExposureSlack": "30"`, "Bounds.ExposureSlack", "a number"},
		{`"Drain": 4000`, `"Drain": 1e300`, "Bounds.Drain", "a number"},
		{`"Drain": 4000`, `"Drain": null`, "Bounds.Drain", "a number"},
	} {
		t.Run(c.to, func(t *testing.T) {
			_, err := ParseEntry([]byte(replaceOnce(t, c.from, c.to)))
			var got *FieldError
			if !errors.As(err, &got) || got.Field != c.field || !strings.Contains(got.Want, c.want) {
				t.Errorf("got %v, want field %s and the text %q", err, c.field, c.want)
			}
		})
	}
}

func replaceOnce(t *testing.T, from, to string) string {
	t.Helper()
	if strings.Count(entryFile, from) != 1 {
		t.Fatalf("entryFile does not contain %s once", from)
	}
	return strings.Replace(entryFile, from, to, 1)
}
