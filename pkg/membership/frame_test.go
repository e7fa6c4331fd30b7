package membership

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// fixedMemory has room for a number of bytes.
type fixedMemory struct{ free int64 }

func (m *fixedMemory) TakeBody(n int64) bool {
	if n > m.free {
		return false
	}
	m.free -= n
	return true
}

func (m *fixedMemory) GiveBody(n int64) { m.free += n }

func TestFrameReader(t *testing.T) {
	const room = 1 << 20
	encode := func(texts ...string) []byte {
		var b bytes.Buffer
		enc := gob.NewEncoder(&b)
		for _, text := range texts {
			if err := enc.Encode(text); err != nil {
				t.Fatal(err)
			}
		}
		return b.Bytes()
	}
	long := strings.Repeat("x", room/2)
	for _, c := range []struct {
		name  string
		input []byte
		want  []string
		free  int64
		err   error
	}{
		{"short and long messages", encode("a", long, "b", long, ""), []string{"a", long, "b", long, ""}, room, nil},
		{"a long message that stops", encode(long)[:room/4], nil, room - room/2 - 6, nil},
		{"a message beyond the memory", encode("a", strings.Repeat("x", room)), []string{"a"}, room, errMessageTooLarge},
		{"a length beyond the limit", []byte{0xfb, 1, 0, 0, 0, 0, 1}, nil, room, errMessageTooLarge},
		{"a length of too many bytes", []byte{0x80, 1, 1, 1, 1, 1, 1, 1, 1, 1}, nil, room, errMessageTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := &fixedMemory{free: room}
			dec := gob.NewDecoder(&frameReader{r: bufio.NewReader(bytes.NewReader(c.input)), memory: m})
			var got []string
			var err error
			for {
				var text string
				if err = dec.Decode(&text); err != nil {
					break
				}
				got = append(got, text)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("messages (-want +got):\n%s", diff)
			}
			if c.err != nil && !errors.Is(err, c.err) {
				t.Errorf("got error %v, want %v", err, c.err)
			}
			if m.free != c.free {
				t.Errorf("got %d bytes free, want %d", m.free, c.free)
			}
		})
	}
}
