package membership

import (
	"bufio"
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

const (
	// freeMessageBytes is the length of a message up to which it isn't accounted for.
	freeMessageBytes = 4 << 10
	// maxOneByteLength is the largest length that gob writes as a single byte; a longer one follows a byte with the negated number of its bytes.
	maxOneByteLength = 0x7f
	maxLengthBytes   = 8
)

// errMessageTooLarge closes the connection of a peer that sent a message above maxMessageBytes, or one that there is no memory for.
var errMessageTooLarge = errors.New("message is too large")

// messageMemory bounds the bytes of messages that are being received.
type messageMemory interface {
	TakeBody(n int64) bool
	GiveBody(n int64)
}

// frameReader reads gob messages and checks the length of each before the decoder, which allocates it at once, gets it.
type frameReader struct {
	r *bufio.Reader
	// memory may be nil.
	memory messageMemory
	// remaining is the rest of the current message, and taken what it counts.
	remaining, taken int64
}

// Read returns errMessageTooLarge at the start of a message that is too long.
func (f *frameReader) Read(p []byte) (int, error) {
	if f.remaining == 0 {
		if err := f.begin(); err != nil {
			return 0, err
		}
	}
	n, err := f.r.Read(p[:min(int64(len(p)), f.remaining)])
	f.remaining -= int64(n)
	return n, err
}

// ReadByte reads one byte, which keeps the decoder from adding a buffer of its own.
func (f *frameReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := f.Read(b[:])
	return b[0], err
}

// begin reads the length of the next message ahead and takes the memory for it, which the message before gives back.
func (f *frameReader) begin() error {
	f.release()
	header, length, err := f.peekLength()
	if err != nil {
		return err
	}
	if length > maxMessageBytes || f.memory != nil && length > freeMessageBytes && !f.memory.TakeBody(int64(length)) {
		return errMessageTooLarge
	}
	if length > freeMessageBytes {
		f.taken = int64(length)
	}
	f.remaining = int64(header) + int64(length)
	return nil
}

func (f *frameReader) peekLength() (header int, length uint64, err error) {
	b, err := f.r.Peek(1)
	if err != nil {
		return 0, 0, err
	}
	if b[0] <= maxOneByteLength {
		return 1, uint64(b[0]), nil
	}
	n := -int(int8(b[0]))
	if n > maxLengthBytes {
		return 0, 0, errMessageTooLarge
	}
	if b, err = f.r.Peek(1 + n); err != nil {
		return 0, 0, err
	}
	var wide [maxLengthBytes]byte
	copy(wide[maxLengthBytes-n:], b[1:])
	return 1 + n, binary.BigEndian.Uint64(wide[:]), nil
}

func (f *frameReader) release() {
	if f.memory != nil && f.taken > 0 {
		f.memory.GiveBody(f.taken)
	}
	f.taken = 0
}
