package custody

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// smallBodyBytes is the part of a body that counts with its request.
const smallBodyBytes = 4 << 10

// DeniedError reports that there was no room for more bytes of a body.
type DeniedError struct{ Bytes int64 }

// Error names the bytes that there was no room for.
func (e *DeniedError) Error() string { return fmt.Sprintf("no room for %d bytes", e.Bytes) }

// ReadBody reads the body of a request to its end, of a given length or of an unknown one below 0, into a buffer that grows with what has
// arrived; without room it returns a *DeniedError.
func (c *Conn) ReadBody(body io.Reader, length int64) ([]byte, error) {
	if length == 0 {
		c.EndBody()
		return nil, nil
	}
	size := int64(smallBodyBytes)
	if length > 0 {
		size = min(size, length)
	}
	b := make([]byte, 0, size)
	for {
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			c.EndBody()
			return b, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read request body")
		}
		if len(b) < cap(b) {
			continue
		}
		if b, err = c.growBody(b, length); err != nil {
			return nil, err
		}
	}
}

// growBody returns b with twice its capacity.
func (c *Conn) growBody(b []byte, length int64) ([]byte, error) {
	size := 2 * int64(cap(b))
	if length > 0 {
		// One byte more than the length shows the end of the body.
		size = min(size, length+1)
	}
	if !c.TakeBody(size) {
		return nil, &DeniedError{Bytes: size}
	}
	grown := make([]byte, len(b), size)
	copy(grown, b)
	if cap(b) > smallBodyBytes {
		c.GiveBody(int64(cap(b)))
	}
	return grown, nil
}
