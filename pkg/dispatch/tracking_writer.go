package dispatch

import (
	"context"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// trackingWriter records whether any part of an answer was written to the caller, and reports the first token of each attempt.
type trackingWriter struct {
	request.Writer
	balancer *Balancer
	// sentAt is the monotonic start of the current attempt, in milliseconds.
	sentAt clock.Millis
	// committed is true once a part of the answer was written, after which the call may not be retried.
	committed bool
	// startSampled is true once the sample of the first token was reported.
	startSampled bool
}

// WriteHead implements request.Writer and commits the answer.
func (w *trackingWriter) WriteHead(ctx context.Context, c *request.Call, h request.Head) error {
	w.committed = true
	return w.Writer.WriteHead(ctx, c, h)
}

// WriteChunk implements request.Writer, commits the answer and reports the first token.
func (w *trackingWriter) WriteChunk(ctx context.Context, c *request.Call, k request.Chunk) error {
	w.committed = true
	w.sampleStart(c)
	return w.Writer.WriteChunk(ctx, c, k)
}

// WriteBytes implements request.Writer, commits the answer and reports the first token.
func (w *trackingWriter) WriteBytes(ctx context.Context, c *request.Call, b []byte) error {
	w.committed = true
	w.sampleStart(c)
	return w.Writer.WriteBytes(ctx, c, b)
}

// WriteEnd implements request.Writer and commits the answer.
func (w *trackingWriter) WriteEnd(ctx context.Context, c *request.Call, e request.End) error {
	w.committed = true
	return w.Writer.WriteEnd(ctx, c, e)
}

// sampleStart reports a sample at the first token, because the rest of the answer may take many more seconds.
func (w *trackingWriter) sampleStart(c *request.Call) {
	if w.startSampled || w.balancer.Started == nil {
		return
	}
	w.startSampled = true
	now := w.balancer.Clock.Now()
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
	w.balancer.Started(s)
}
