package dispatch

import (
	"context"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// shownWriter notes whether anything of an answer was passed on, and when the first token came.
type shownWriter struct {
	request.Writer
	place  *Place
	sentAt clock.Millis
	shown  bool
	// started is true once the first token was noted.
	started bool
}

// WriteHead passes the head on.
func (w *shownWriter) WriteHead(ctx context.Context, c *request.Call, h request.Head) error {
	w.shown = true
	return w.Writer.WriteHead(ctx, c, h)
}

// WriteChunk passes the chunk on.
func (w *shownWriter) WriteChunk(ctx context.Context, c *request.Call, k request.Chunk) error {
	w.shown = true
	w.start(c)
	return w.Writer.WriteChunk(ctx, c, k)
}

// WriteBytes passes the bytes on.
func (w *shownWriter) WriteBytes(ctx context.Context, c *request.Call, b []byte) error {
	w.shown = true
	w.start(c)
	return w.Writer.WriteBytes(ctx, c, b)
}

// WriteEnd passes the end on.
func (w *shownWriter) WriteEnd(ctx context.Context, c *request.Call, e request.End) error {
	w.shown = true
	return w.Writer.WriteEnd(ctx, c, e)
}

// start gives a sample with the first token; the answer itself may take many seconds more.
func (w *shownWriter) start(c *request.Call) {
	if w.started || w.place.Started == nil {
		return
	}
	w.started = true
	now := w.place.Clock.Now()
	s := request.Sample{
		At:         now,
		RequestID:  c.Request.ID,
		Workspace:  c.Request.Workspace,
		Upstream:   c.Upstream.Name,
		Result:     request.ResultStarted,
		FirstToken: now - w.sentAt,
	}
	if c.Version != nil {
		s.Version = c.Version.ID
	}
	if c.Profile != nil {
		s.Task = c.Profile.Task
	}
	w.place.Started(s)
}
