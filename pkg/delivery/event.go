package delivery

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

const (
	// maxEventBytes bounds an event and each of its lines.
	maxEventBytes = 32 << 10
	// lineBufferBytes is the size of the read buffer of an EventReader.
	lineBufferBytes = 4 << 10
)

var (
	errEventTooLong = errors.New("server-sent event exceeds the size limit")
	// ErrTruncated reports that an event stream ended without its end marker.
	ErrTruncated = errors.New("event stream ended without its end marker")
)

// chatEvent is an event of an engine's response: one token, or the end of the response.
type chatEvent struct {
	ID      string              `json:"id"`
	Model   catalogue.VersionID `json:"model"`
	Offset  *int                `json:"offset"`
	Choices []choice            `json:"choices"`
	Usage   *tokenUsage         `json:"usage"`
}

type choice struct {
	Index int `json:"index"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type tokenUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Event is one server-sent event; Name is empty if the stream sets no event name.
type Event struct {
	Name string
	Data []byte
}

// EventReader reads server-sent events of limited size in order.
type EventReader struct {
	r     *bufio.Reader
	event Event
}

// NewEventReader returns an EventReader that buffers r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, lineBufferBytes)}
}

// Next returns the next event, which is valid until the following call; errors are those of the underlying reader,
// ErrTruncated at its end, and one for an event that is too long.
func (e *EventReader) Next() (Event, error) {
	e.event.Name, e.event.Data = "", e.event.Data[:0]
	for {
		line, err := e.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) > 0 {
			if err := e.parseField(line); err != nil {
				return Event{}, err
			}
			continue
		}
		if len(e.event.Data) > 0 {
			return e.event, nil
		}
	}
}

// parseField adds one line to the event; only the fields event and data matter in a response.
func (e *EventReader) parseField(line []byte) error {
	if name, found := bytes.CutPrefix(line, []byte("event:")); found {
		e.event.Name = string(bytes.TrimSpace(name))
		return nil
	}
	data, found := bytes.CutPrefix(line, []byte("data:"))
	if !found {
		return nil
	}
	if len(e.event.Data)+len(data) >= maxEventBytes {
		return errEventTooLong
	}
	e.event.Data = append(e.event.Data, bytes.TrimPrefix(data, []byte(" "))...)
	e.event.Data = append(e.event.Data, '\n')
	return nil
}

func (e *EventReader) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := e.r.ReadSlice('\n')
		if err == nil && line == nil {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		line = append(line, part...)
		if len(line) > maxEventBytes {
			return nil, errEventTooLong
		}
		switch {
		case err == nil:
			return bytes.TrimRight(line, "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			return nil, ErrTruncated
		default:
			return nil, err
		}
	}
}

// endMarker is the data of the event that ends a complete response.
const endMarker = "[DONE]"

// IsEnd reports whether the event is the end marker of a response.
func (e Event) IsEnd() bool { return string(bytes.TrimSpace(e.Data)) == endMarker }

// parseChatEvent decodes an event of an engine's response.
func parseChatEvent(ev Event) (chatEvent, error) {
	var ce chatEvent
	if err := json.Unmarshal(ev.Data, &ce); err != nil {
		return chatEvent{}, errors.Wrap(err, "decode chat event")
	}
	return ce, nil
}
