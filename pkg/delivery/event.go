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
	// eventBytes bounds one event, and each line of it.
	eventBytes = 32 << 10
	// lineBufferBytes is what a reader holds of a stream.
	lineBufferBytes = 4 << 10
)

var (
	errEventTooLong = errors.New("an event of the answer is too long")
	// ErrCut says that a stream of events ended without its end mark.
	ErrCut = errors.New("the answer ended without its end mark")
)

// chatEvent is an event of an engine's answer, with one token or with the end of the answer.
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

// Event is one server-sent event; Name is empty where the stream gives none.
type Event struct {
	Name string
	Data []byte
}

// EventReader reads server-sent events in order.
type EventReader struct {
	r     *bufio.Reader
	event Event
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, lineBufferBytes)}
}

// Next returns the next event, which holds until the call after; the error is one of r, ErrCut at the end of r, or that
// an event is too long.
func (e *EventReader) Next() (Event, error) {
	e.event.Name, e.event.Data = "", e.event.Data[:0]
	for {
		line, err := e.line()
		if err != nil {
			return Event{}, err
		}
		if len(line) > 0 {
			if err := e.field(line); err != nil {
				return Event{}, err
			}
			continue
		}
		if len(e.event.Data) > 0 {
			return e.event, nil
		}
	}
}

// field takes up one line of an event; other fields than event and data carry nothing for an answer.
func (e *EventReader) field(line []byte) error {
	if name, found := bytes.CutPrefix(line, []byte("event:")); found {
		e.event.Name = string(bytes.TrimSpace(name))
		return nil
	}
	data, found := bytes.CutPrefix(line, []byte("data:"))
	if !found {
		return nil
	}
	if len(e.event.Data)+len(data) >= eventBytes {
		return errEventTooLong
	}
	e.event.Data = append(e.event.Data, bytes.TrimPrefix(data, []byte(" "))...)
	e.event.Data = append(e.event.Data, '\n')
	return nil
}

func (e *EventReader) line() ([]byte, error) {
	var line []byte
	for {
		part, err := e.r.ReadSlice('\n')
		if err == nil && line == nil {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		line = append(line, part...)
		if len(line) > eventBytes {
			return nil, errEventTooLong
		}
		switch {
		case err == nil:
			return bytes.TrimRight(line, "\r\n"), nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			return nil, ErrCut
		default:
			return nil, err
		}
	}
}

// endMark is the data of the event that ends a whole answer.
const endMark = "[DONE]"

// IsEnd tells whether the event is the end mark of an answer.
func (e Event) IsEnd() bool { return string(bytes.TrimSpace(e.Data)) == endMark }

// parseChatEvent reads an event of an engine's answer.
func parseChatEvent(ev Event) (chatEvent, error) {
	var t chatEvent
	if err := json.Unmarshal(ev.Data, &t); err != nil {
		return chatEvent{}, errors.Wrap(err, "event")
	}
	return t, nil
}
