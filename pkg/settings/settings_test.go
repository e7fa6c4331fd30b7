package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

const goodFile = `{
	// An example instance.
	"Name": "entry-1",
	"Zone": "arusha-1",
	"CallerAddress": "10.0.0.1:8080",
	"Platform": {
		"Log": "http://10.0.0.9:9000", /* the log service */
		"List": "http://10.0.0.9:9001",
	},
	"Keys": {
		"AdminFile": "admin.key",
		"PeerFile": "peer.key",
		"SessionFile": "session.key",
	},
	"Limits": {"InFlight": 300},
}
`

func TestParseFillsInDefaults(t *testing.T) {
	want := Default()
	want.Name, want.Zone, want.CallerAddress = "entry-1", "arusha-1", "10.0.0.1:8080"
	want.Platform = Platform{Log: "http://10.0.0.9:9000", List: "http://10.0.0.9:9001"}
	want.Keys = KeyFiles{AdminFile: "admin.key", PeerFile: "peer.key", SessionFile: "session.key"}
	want.Limits.InFlight = 300
	got, err := Parse([]byte(goodFile))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&want, got); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

func TestParseErrorNamesLineAndField(t *testing.T) {
	for _, c := range []struct {
		name string
		from string
		to   string
		want FieldError
	}{
		{"unknown field", `"InFlight"`, `"Inflight"`, FieldError{Line: 15, Field: "Limits.Inflight", Want: "one of the known fields"}},
		{"unknown field at the top", `"Zone"`, `"AvailabilityZone"`, FieldError{Line: 4, Field: "AvailabilityZone", Want: "one of the known fields"}},
		{"duplicate field", `"Zone": "arusha-1",`, `"Zone": "arusha-1", "Zone": "b",`, FieldError{Line: 4, Field: "Zone", Want: "once"}},
		{"number as string", `300`, `"300"`, FieldError{Line: 15, Field: "Limits.InFlight", Want: "a whole number"}},
		{"number with a fraction", `300`, `300.5`, FieldError{Line: 15, Field: "Limits.InFlight", Want: "a whole number"}},
		{"null", `300`, `null`, FieldError{Line: 15, Field: "Limits.InFlight", Want: "a whole number"}},
		{"object in place of a string", `"arusha-1"`, `{}`, FieldError{Line: 4, Field: "Zone", Want: "a string in quotes"}},
		{"string in place of an object", `{"InFlight": 300}`, `"x"`, FieldError{Line: 15, Field: "Limits", Want: "an object"}},
		{"zero in flight", `300`, `0`, FieldError{Line: 15, Field: "Limits.InFlight", Want: "from 1"}},
		{"host name as address", `10.0.0.1:8080`, `localhost:8080`, FieldError{Line: 5, Field: "CallerAddress", Want: "an IP address and a port"}},
		{"URL without a scheme", `http://10.0.0.9:9001`, `10.0.0.9:9001`, FieldError{Line: 8, Field: "Platform.List", Want: "a URL"}},
		{"name with a space", `entry-1`, `entry 1`, FieldError{Line: 3, Field: "Name", Want: "a name"}},
		{"missing name", `"Name": "entry-1",`, ``, FieldError{Line: 0, Field: "Name", Want: "a name"}},
		{"missing key file", `"PeerFile": "peer.key",`, ``, FieldError{Line: 0, Field: "Keys.PeerFile", Want: "the path of a file"}},
		{"limit of one request above the limit of all", `{"InFlight": 300}`, `{"AnswerBytes": 70000}`, FieldError{Line: 15, Field: "Limits.AnswerBytes", Want: "from 262144"}},
		{"horizon below the gossip period", `"Limits": {"InFlight": 300}`, `"Times": {"PeerTick": 9000}`, FieldError{Line: 15, Field: "Times.PeerTick", Want: "less than Times.Horizon"}},
		{"negative time", `"Limits": {"InFlight": 300}`, `"Times": {"Stall": -1}`, FieldError{Line: 15, Field: "Times.Stall", Want: "milliseconds"}},
		{"unknown log format", `"Limits": {"InFlight": 300}`, `"Logging": {"Format": "xml"}`, FieldError{Line: 15, Field: "Logging.Format", Want: "json"}},
		{"missing comma", `"Zone": "arusha-1",`, `"Zone": "arusha-1"`, FieldError{Line: 5, Want: "JSON with comments"}},
		{"truncated file", `"Limits": {"InFlight": 300},` + "\n}\n", ``, FieldError{Line: 15, Want: "JSON with comments"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !strings.Contains(goodFile, c.from) {
				t.Fatalf("goodFile does not contain %s", c.from)
			}
			_, err := Parse([]byte(strings.Replace(goodFile, c.from, c.to, 1)))
			var got *FieldError
			if !errors.As(err, &got) {
				t.Fatalf("got %v, want a *FieldError", err)
			}
			if got.Line != c.want.Line || got.Field != c.want.Field || !strings.Contains(got.Want, c.want.Want) {
				t.Errorf("got %v, want line %d, field %q and the text %q", got, c.want.Line, c.want.Field, c.want.Want)
			}
		})
	}
}

func TestDefaultsPassChecks(t *testing.T) {
	s := Default()
	required := map[string]bool{
		"Name": true, "Zone": true, "Platform.Log": true, "Platform.List": true,
		"Keys.AdminFile": true, "Keys.PeerFile": true, "Keys.SessionFile": true,
	}
	for _, c := range settingsChecks(&s) {
		if !c.ok && !required[c.field] {
			t.Errorf("default of %s is invalid: want %s", c.field, c.want)
		}
	}
}

func TestLoadErrorNamesFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.json")
	if err := os.WriteFile(path, []byte(`{"Nmae": "x"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path)
	want := path + ":1: field Nmae: want one of the known fields Name, Zone, CallerAddress, AdminAddress, PeerAddress, Platform, Keys, Limits, Times, Logging"
	if err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

func TestReadKey(t *testing.T) {
	for _, c := range []struct {
		name    string
		content string
		want    string
		ok      bool
	}{
		{"with a newline", "0123456789abcdef\n", "0123456789abcdef", true},
		{"too short", "short\n", "", false},
		{"empty", "", "", false},
		{"too long", strings.Repeat("x", 5000), "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "a.key")
			if err := os.WriteFile(path, []byte(c.content), 0o600); err != nil {
				t.Fatal(err)
			}
			got, err := ReadKey(path)
			var keyErr *KeyError
			if string(got) != c.want || (err == nil) != c.ok || err != nil && !errors.As(err, &keyErr) {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}

func TestNewLogger(t *testing.T) {
	for _, l := range []Logging{{Format: "json"}, {Format: "console", Verbosity: 2}} {
		log, err := NewLogger(l)
		if err != nil {
			t.Fatal(err)
		}
		if got := log.V(2).Enabled(); got != (l.Verbosity == 2) {
			t.Errorf("logger of %+v: got level 2 enabled %t, want the opposite", l, got)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(goodFile))
	f.Add([]byte(`{`))
	f.Add([]byte(`{"Limits": {"InFlight": 1e400}}`))
	f.Add([]byte("{/*\n\n*/\"Name\"://x\n\"y\"}"))
	f.Add([]byte(`{"\u0000": [[[[]]]]}`))
	f.Add([]byte("\xff\xfe{}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(b)
		if err == nil {
			for _, c := range settingsChecks(s) {
				if !c.ok {
					t.Errorf("Parse accepted an invalid value of %s", c.field)
				}
			}
			return
		}
		var field *FieldError
		if !errors.As(err, &field) {
			t.Errorf("got %T, want a *FieldError", err)
		}
	})
}
