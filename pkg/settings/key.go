package settings

import (
	"bytes"
	"os"

	"github.com/cockroachdb/errors"
)

// A key has minKeyBytes to maxKeyBytes after white space around it is dropped.
const (
	minKeyBytes = 16
	maxKeyBytes = 4096
)

// ReadKey returns the key in the file at path, without white space around it.
// Its errors are *KeyError and those of reading the file.
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
