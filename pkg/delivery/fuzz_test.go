package delivery

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/request"
)

// FuzzAnswer decodes arbitrary bytes as an engine's response: tokens must come in order without gaps, and a response must not
// end without both its last event and its end marker.
func FuzzAnswer(f *testing.F) {
	complete := tokenEvent(0, "a ") + tokenEvent(1, "table") + endEvent(2) + doneEvent
	for _, seed := range []string{
		complete, doneEvent, endEvent(0) + doneEvent, complete[:100], strings.Repeat("data:\n", 100),
		"data: null\n\n", "data: {\"choices\":[{},{}]}\n\n", "event: error\ndata: {}\n\n", "\r\n\r\n:\n\x00",
		strings.ReplaceAll(complete, "\n", "\r\n"), tokenEvent(0, "a") + tokenEvent(0, "a") + tokenEvent(7, "b"),
		"data: {\"id\":\"r-1\",\"model\":\"chai@2\",\"offset\":-1,\"choices\":null}\n\n",
	} {
		f.Add([]byte(seed), 0)
	}
	f.Add([]byte(tokenEvent(5, "more")+endEvent(6)+doneEvent), 5)
	f.Fuzz(func(t *testing.T, b []byte, from int) {
		check := &sequence{id: testID, version: testVersion, offset: from, resumed: from > 0}
		r := NewEventReader(bytes.NewReader(b))
		next, finished := from, false
		for {
			ev, err := r.Next()
			if err != nil {
				return
			}
			if len(ev.Data) > maxEventBytes {
				t.Fatalf("event has %d bytes, more than the limit", len(ev.Data))
			}
			if ev.IsEnd() {
				if (check.end != nil) != finished {
					t.Errorf("end is %v, but last event seen is %t", check.end, finished)
				}
				return
			}
			ce, err := parseChatEvent(ev)
			if err != nil {
				return
			}
			last := len(ce.Choices) > 0 && ce.Choices[0].FinishReason != nil && *ce.Choices[0].FinishReason != ""
			k, err := check.next(ce)
			if err != nil {
				checkSequenceError(t, err)
				return
			}
			if k.Tokens > 0 && k.Offset != next {
				t.Fatalf("chunk at offset %d, want %d", k.Offset, next)
			}
			finished = finished || last
			next += k.Tokens
		}
	})
}

func checkSequenceError(t *testing.T, err error) {
	t.Helper()
	var (
		incomplete *incompleteError
		mismatch   *mismatchError
		refusal    *request.Refusal
	)
	if !errors.As(err, &incomplete) && !errors.As(err, &mismatch) || errors.As(err, &refusal) {
		t.Errorf("error is %T %v, want an *incompleteError or *mismatchError", err, err)
	}
}
