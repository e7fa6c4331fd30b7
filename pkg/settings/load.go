package settings

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// fileBytes bounds a settings file.
const fileBytes = 64 << 10

// Load reads, fills in and checks the settings file at path.
// Its errors are *FieldError and those of reading the file.
func Load(path string) (*Settings, error) { return load(path, Parse) }

// Parse reads settings in JSON with comments, fills in the defaults and checks each field.
// Its errors are *FieldError.
func Parse(b []byte) (*Settings, error) { return parse(b, Default(), checks) }

func load[T any](path string, parse func(b []byte) (*T, error)) (*T, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s, err := parse(b)
	var field *FieldError
	if errors.As(err, &field) {
		field.File = path
	}
	return s, err
}

// parse fills what the file has into the defaults s.
func parse[T any](b []byte, s T, checks func(s *T) []fieldCheck) (*T, error) {
	if len(b) > fileBytes {
		return nil, &FieldError{Want: "a settings file of at most 64 KiB"}
	}
	v, err := hujson.Parse(b)
	if err != nil {
		return nil, &FieldError{Line: syntaxLine(err), Want: "JSON with comments: " + err.Error()}
	}
	d := &decoder{source: b, offsets: map[string]int{}}
	if err := d.decode(&v, &s); err != nil {
		return nil, err
	}
	if err := d.verify(checks(&s)); err != nil {
		return nil, err
	}
	return &s, nil
}
