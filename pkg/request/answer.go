package request

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Chunk is a piece of an answer; Offset counts the tokens before it.
type Chunk struct {
	Offset int
	Text   string
	Tokens int
}

// Head is what precedes an answer.
type Head struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 when it is not known.
	Length int64
	// Confidence is the model's own opinion of its answer, from 0 to 100; -1 when it gave none.
	Confidence int
	// Load is what the upstream says of its load; it is nil when it says nothing.
	Load *LoadReport
}

// LoadReport is the load that an upstream tells with an answer.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
}

// End closes an answer that is complete.
type End struct {
	FinishReason string
	InputTokens  int
	OutputTokens int
}

// ErrTurnedDown is returned by a writer that has no use for the answer because another one is asked for in its place.
var ErrTurnedDown = errors.New("the answer was turned down")

// Writer takes an answer in order: one Head, chunks or bytes, one End.
// An answer without End is incomplete, and the writer tells the caller so.
type Writer interface {
	WriteHead(ctx context.Context, c *Call, h Head) error
	WriteChunk(ctx context.Context, c *Call, k Chunk) error
	WriteBytes(ctx context.Context, c *Call, b []byte) error
	WriteEnd(ctx context.Context, c *Call, e End) error
}

// Handler answers a call or returns a *Refusal.
type Handler interface {
	Handle(ctx context.Context, c *Call) error
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(ctx context.Context, c *Call) error

// Handle calls f.
func (f HandlerFunc) Handle(ctx context.Context, c *Call) error { return f(ctx, c) }

// Filter does its step of a call and passes the call on to next.
type Filter interface {
	Filter(ctx context.Context, c *Call, next Handler) error
}

// Line joins filters into one handler; the last one gets a next that must not be called.
func Line(filters ...Filter) Handler {
	var h Handler = HandlerFunc(func(context.Context, *Call) error {
		return Refuse(ReasonNoUpstream, 0, "no filter answered")
	})
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], h
		h = HandlerFunc(func(ctx context.Context, c *Call) error { return f.Filter(ctx, c, next) })
	}
	return h
}
