package pricing

import (
	"context"
	"net/http"
	"strings"

	"carawayknot.example/carawayknot/pkg/request"
)

// chunkOverhead is the memory that a buffered chunk takes besides its text, in bytes.
const chunkOverhead = 64

// bufferLimitError reports that an answer exceeded the limit or the available memory of its buffer.
type bufferLimitError struct {
	limit int64
}

// Error returns the same text for both causes.
func (e *bufferLimitError) Error() string {
	return "buffered answer exceeds its limit or the available memory"
}

// bufferWriter buffers an answer until it is rated.
type bufferWriter struct {
	// Limit is the maximum number of buffered bytes of text.
	Limit int64
	// Memory reserves memory for the buffer; if nil, only Limit applies.
	Memory MemoryReservation

	head   *request.Head
	chunks []request.Chunk
	end    *request.End
	size   int64
	// overflowed is true once the answer exceeded Limit or Memory.
	overflowed bool
}

// WriteHead buffers the head and never fails.
func (w *bufferWriter) WriteHead(_ context.Context, _ *request.Call, h request.Head) error {
	w.head = &h
	return nil
}

// WriteChunk buffers the chunk, or fails when the answer exceeds the limit or the available memory.
func (w *bufferWriter) WriteChunk(_ context.Context, _ *request.Call, k request.Chunk) error {
	n := int64(len(k.Text))
	if w.size += n; w.size > w.Limit || w.Memory != nil && !w.Memory.TryAcquire(n+chunkOverhead) {
		w.overflowed = true
		return &bufferLimitError{limit: w.Limit}
	}
	w.chunks = append(w.chunks, k)
	return nil
}

// WriteBytes buffers the bytes as a chunk of text.
func (w *bufferWriter) WriteBytes(ctx context.Context, c *request.Call, b []byte) error {
	return w.WriteChunk(ctx, c, request.Chunk{Text: string(b)})
}

// WriteEnd buffers the end, which makes the answer complete.
func (w *bufferWriter) WriteEnd(_ context.Context, _ *request.Call, e request.End) error {
	w.end = &e
	return nil
}

func (w *bufferWriter) complete() bool { return w.head != nil && w.end != nil }

func (w *bufferWriter) text() string {
	var b strings.Builder
	for i := range w.chunks {
		b.WriteString(w.chunks[i].Text)
	}
	return b.String()
}

// flush writes the buffered answer to the call's writer.
func (w *bufferWriter) flush(ctx context.Context, c *request.Call) error {
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

// pinWriter adds the session pin to the head of the answer.
type pinWriter struct {
	request.Writer
	pin string
}

// WriteHead forwards the head with the pin in a header; an empty pin adds none.
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

// teeWriter forwards an answer and keeps a copy of its text up to a limit.
type teeWriter struct {
	request.Writer
	// Limit is the maximum number of bytes kept.
	Limit int64

	text  strings.Builder
	ended bool
}

// WriteChunk forwards the chunk and keeps its text unless that exceeds the limit.
func (w *teeWriter) WriteChunk(ctx context.Context, c *request.Call, k request.Chunk) error {
	if int64(w.text.Len()+len(k.Text)) <= w.Limit {
		w.text.WriteString(k.Text)
	}
	return w.Writer.WriteChunk(ctx, c, k)
}

// WriteEnd forwards the end and marks the answer as complete.
func (w *teeWriter) WriteEnd(ctx context.Context, c *request.Call, e request.End) error {
	w.ended = true
	return w.Writer.WriteEnd(ctx, c, e)
}
