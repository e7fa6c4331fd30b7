package settings

import (
	"os"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

const maxFileBytes = 64 << 10

// Load reads a settings file and returns the errors of Parse, with the path of the file, and those of reading it.
func Load(path string) (*Settings, error) { return load(path, Parse) }

// Parse reads settings in JSON with comments, applies the defaults and checks each field; its errors are *FieldError.
func Parse(b []byte) (*Settings, error) { return parse(b, Default(), settingsChecks) }

func load[T any](path string, parse func(b []byte) (*T, error)) (*T, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s, err := parse(b)
	var fieldErr *FieldError
	if errors.As(err, &fieldErr) {
		fieldErr.File = path
	}
	return s, err
}

// parse returns the defaults s overridden by the fields of the file.
func parse[T any](b []byte, s T, checks func(s *T) []fieldCheck) (*T, error) {
	if len(b) > maxFileBytes {
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
