package settings

import (
	"bytes"
	"os"

	"github.com/cockroachdb/errors"
)

// Bounds of the length of a key, without surrounding white space.
const (
	minKeyBytes = 16
	maxKeyBytes = 4096
)

// ReadKey returns the key in a file without surrounding white space; its errors are *KeyError and those of reading the file.
func ReadKey(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "key file")
	}
	key := bytes.TrimSpace(b)
	if len(key) < minKeyBytes || len(key) > maxKeyBytes {
		return nil, &KeyError{File: path, Want: "a key of 16 to 4096 bytes"}
	}
	return key, nil
}
