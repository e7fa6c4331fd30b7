package pricing

import (
	"context"
	"net/http"
	"strings"

	"carawayknot.example/carawayknot/pkg/request"
)

// chunkOverhead is what a held chunk costs besides its text, in bytes.
const chunkOverhead = 64

// heldTooLongError says that a held answer outgrew the bytes allowed for it.
type heldTooLongError struct {
	limit int64
}

// Error says what was outgrown.
func (e *heldTooLongError) Error() string { return "the held answer is too long" }

// holdWriter holds an answer back until it is rated.
type holdWriter struct {
	// Limit bounds the bytes held.
	Limit int64
	// Room is the memory for them; nil is no bound beside Limit.
	Room Room

	head   *request.Head
	chunks []request.Chunk
	end    *request.End
	size   int64
	// tooLong is true once the answer outgrew the limit or the room.
	tooLong bool
}

// WriteHead holds the head.
func (w *holdWriter) WriteHead(_ context.Context, _ *request.Call, h request.Head) error {
	w.head = &h
	return nil
}

// WriteChunk holds the chunk, unless too much is held already.
func (w *holdWriter) WriteChunk(_ context.Context, _ *request.Call, k request.Chunk) error {
	n := int64(len(k.Text))
	if w.size += n; w.size > w.Limit || w.Room != nil && !w.Room.Take(n+chunkOverhead) {
		w.tooLong = true
		return &heldTooLongError{limit: w.Limit}
	}
	w.chunks = append(w.chunks, k)
	return nil
}

// WriteBytes holds the bytes as a chunk.
func (w *holdWriter) WriteBytes(ctx context.Context, c *request.Call, b []byte) error {
	return w.WriteChunk(ctx, c, request.Chunk{Text: string(b)})
}

// WriteEnd holds the end.
func (w *holdWriter) WriteEnd(_ context.Context, _ *request.Call, e request.End) error {
	w.end = &e
	return nil
}

func (w *holdWriter) complete() bool { return w.head != nil && w.end != nil }

func (w *holdWriter) text() string {
	var b strings.Builder
	for i := range w.chunks {
		b.WriteString(w.chunks[i].Text)
	}
	return b.String()
}

// passOn writes the held answer to the call's writer.
func (w *holdWriter) passOn(ctx context.Context, c *request.Call) error {
	if err := c.Writer.WriteHead(ctx, c, *w.head); err != nil {
		return err
	}
	for _, k := range w.chunks {
		if err := c.Writer.WriteChunk(ctx, c, k); err != nil {
			return err
		}
	}
	return c.Writer.WriteEnd(ctx, c, *w.end)
}

// pinWriter puts the session pin into the head of the answer.
type pinWriter struct {
	request.Writer
	pin string
}

// WriteHead adds the pin and passes the head on.
func (w *pinWriter) WriteHead(ctx context.Context, c *request.Call, h request.Head) error {
	if w.pin == "" {
		return w.Writer.WriteHead(ctx, c, h)
	}
	h.Header = h.Header.Clone()
	if h.Header == nil {
		h.Header = http.Header{}
	}
	h.Header.Set(request.PinHeader, w.pin)
	return w.Writer.WriteHead(ctx, c, h)
}

// teeWriter passes an answer on and keeps its beginning.
type teeWriter struct {
	request.Writer
	// Limit bounds the bytes kept.
	Limit int64

	text  strings.Builder
	ended bool
}

// WriteChunk passes the chunk on and keeps it while there is room.
func (w *teeWriter) WriteChunk(ctx context.Context, c *request.Call, k request.Chunk) error {
	if int64(w.text.Len()+len(k.Text)) <= w.Limit {
		w.text.WriteString(k.Text)
	}
	return w.Writer.WriteChunk(ctx, c, k)
}

// WriteEnd passes the end on.
func (w *teeWriter) WriteEnd(ctx context.Context, c *request.Call, e request.End) error {
	w.ended = true
	return w.Writer.WriteEnd(ctx, c, e)
}
